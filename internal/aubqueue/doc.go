// Package aubqueue admits requests at one entry instance: it bounds what runs
// for each model or service, orders what waits and refuses at once what cannot
// start by its deadline.
package aubqueue

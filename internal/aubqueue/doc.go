// Package aubqueue is the admission queue of an entry instance. It limits the
// running requests of each model or service, orders the waiting requests and
// immediately refuses a request that can't start by its deadline.
package aubqueue

// Package aubagent is the process beside each backend server: it runs requests
// on it, is the only one to give it orders, keeps its memory ledger and
// reports its load.
package aubagent

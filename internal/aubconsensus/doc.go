// Package aubconsensus replicates a log of commands over a few members with the
// Raft algorithm: pre-vote, leader lease, read index, learners, joint membership
// changes, snapshots and leadership transfer.
//
// One goroutine owns all state of a node. It gathers what the waiting inputs
// change, saves that with one sync, and only then sends what depends on it. A
// member is one disk: a replica whose disk was lost is another member.
package aubconsensus

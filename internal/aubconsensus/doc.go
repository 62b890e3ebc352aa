// Package aubconsensus replicates a log of commands over a few members with the
// Raft algorithm: pre-vote, leader lease, read index, learners, joint membership
// changes, snapshots and leadership transfer.
//
// One goroutine owns the state of a node. In each iteration it handles the
// waiting inputs, saves all resulting changes with one sync, and only then sends
// the messages that depend on them. A member is identified by its disk: a
// replica that lost its disk becomes a new member.
package aubconsensus

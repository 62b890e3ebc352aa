// Package aubcontrol connects the replicated log, the replicated tables and the
// callers that commit commands to them.
package aubcontrol

import (
	"context"
	"time"
)

// Table is one part of the replicated state. On every replica the machine calls
// Apply from one goroutine, in log order; Apply must be deterministic and must
// not block. A table takes only its own lock, so readers may use it
// concurrently.
type Table interface {
	// Name identifies the table in the log; it never changes.
	Name() string
	// Apply executes one committed command and returns its encoded result.
	Apply(cmd Command) []byte
	// Snapshot encodes the whole table.
	Snapshot() ([]byte, error)
	// Restore replaces the whole table.
	Restore(data []byte) error
}

// Command is one committed command.
type Command struct {
	// Index is the position in the replicated log.
	Index uint64
	// Clock is the replicated clock: it never runs faster than real time, never
	// goes back and is not affected by clock steps of a machine.
	Clock time.Duration
	Body  []byte
}

// Result is the outcome of a committed command.
type Result struct {
	Index uint64
	Body  []byte
}

// Proposer commits commands. After *NotCommittedError the command is not
// committed and never will be; after *UncertainError it may be.
type Proposer interface {
	Apply(ctx context.Context, table string, body []byte) (Result, error)
}

// Reader confirms linearizable reads.
type Reader interface {
	// Confirm waits until the local state holds everything that the leader had
	// committed when Confirm was called, and returns that index.
	Confirm(ctx context.Context) (uint64, error)
}

// Leadership reports whether this process holds the leader's lease.
type Leadership interface {
	// Leading returns the term, and true while the local replica holds the
	// leader's lease by its own monotonic clock. Check it after the work and
	// before its effect.
	Leading() (term uint64, ok bool)
}

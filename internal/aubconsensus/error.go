package aubconsensus

import "fmt"

// NotLeaderError reports that this node is not the leader; nothing was proposed.
type NotLeaderError struct {
	// Leader is the known leader, or the zero peer if none is known.
	Leader Peer
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader.Name == "" {
		return "no leader is known"
	}
	return "leader is " + e.Leader.Name
}

// OverwrittenError reports that another leader's entry has the command's index:
// the command is not and never will be committed.
type OverwrittenError struct {
	Index uint64
}

// Error implements error.
func (e *OverwrittenError) Error() string {
	return fmt.Sprintf("entry %d was overwritten by another leader", e.Index)
}

// UnknownOutcomeError reports that the outcome of a call is unknown; a command
// may or may not be committed.
type UnknownOutcomeError struct {
	Err error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string { return fmt.Sprintf("outcome is unknown: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// StoppedError reports that the node has stopped. Err is the failure that
// stopped it, or nil if its context ended.
type StoppedError struct {
	Err error
}

// Error implements error.
func (e *StoppedError) Error() string {
	if e.Err == nil {
		return "replica stopped"
	}
	return fmt.Sprintf("replica stopped: %v", e.Err)
}

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error { return e.Err }

// CommandSizeError reports a command that exceeds MaxCommandBytes; nothing was
// proposed.
type CommandSizeError struct {
	Bytes int
}

// Error implements error.
func (e *CommandSizeError) Error() string {
	return fmt.Sprintf("command has %d bytes, at most %d are allowed", e.Bytes, MaxCommandBytes)
}

// MembershipChangeError reports why a membership change or a leadership transfer is
// refused.
type MembershipChangeError struct {
	Reason string
}

// Error implements error.
func (e *MembershipChangeError) Error() string { return "membership change refused: " + e.Reason }

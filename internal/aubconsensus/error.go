package aubconsensus

import "fmt"

// NotLeaderError says that this node does not lead; nothing was proposed.
type NotLeaderError struct {
	// Leader is the known leader, or the zero peer.
	Leader Peer
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader.Name == "" {
		return "no leader is known"
	}
	return "leader is " + e.Leader.Name
}

// OverwrittenError says that another leader's entry took the command's place: it
// is not and never will be committed.
type OverwrittenError struct {
	Index uint64
}

// Error implements error.
func (e *OverwrittenError) Error() string {
	return fmt.Sprintf("entry %d was overwritten by another leader", e.Index)
}

// UnknownOutcomeError says that the node can't tell what became of a command.
type UnknownOutcomeError struct {
	Err error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string { return fmt.Sprintf("outcome is unknown: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// StoppedError says that the node ended.
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

// CommandSizeError says that a command is too large; nothing was proposed.
type CommandSizeError struct {
	Bytes int
}

// Error implements error.
func (e *CommandSizeError) Error() string {
	return fmt.Sprintf("command has %d bytes, at most %d are allowed", e.Bytes, MaxCommandBytes)
}

// ChangeError says why a change of the members is refused.
type ChangeError struct {
	Reason string
}

// Error implements error.
func (e *ChangeError) Error() string { return "membership change refused: " + e.Reason }

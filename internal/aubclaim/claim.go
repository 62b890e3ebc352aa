package aubclaim

import "time"

// ID names a claimed call: the caller's workspace and its idempotency key.
type ID struct {
	Workspace string
	Key       string
}

// Owner is the process that sends a claimed call.
type Owner struct {
	Instance    string
	Incarnation uint64
}

// Claim asks for the right to send a call.
type Claim struct {
	ID ID
	// Digest identifies the content of the request.
	Digest []byte
	// Hold is the time, on the replicated clock, after which a claim without an
	// outcome counts as may have run; 0 means DefaultHold. It must be longer than
	// the call may take.
	Hold time.Duration
}

// Ticket is a claim that is ours.
type Ticket struct {
	ID    ID
	Owner Owner
	// Attempt is unique among all claims.
	Attempt string
}

// Header is one header of a recorded answer.
type Header struct {
	Name   string
	Values []string
}

// Outcome is the recorded answer of a call that ran.
type Outcome struct {
	Status  int
	Headers []Header
	Body    []byte
	// Omitted is set when the answer was too large to keep: the call ran, and its
	// answer is gone.
	Omitted bool
}

// Result is the answer to Begin: one of Begun, Recorded, InProgress,
// MayHaveRun, Conflict and Full.
type Result interface{ result() }

// Begun says that the claim is committed and ours: the call may be sent once.
type Begun struct {
	Ticket Ticket
	// SendBy is the local monotonic time after which the call must not be sent
	// any more, because the claim no longer counts as in progress.
	SendBy time.Time
}

// Recorded says that the call ran before and gives its answer.
type Recorded struct{ Outcome Outcome }

// InProgress says that another attempt is running.
type InProgress struct {
	Owner Owner
	// RetryAfter is when asking again makes sense.
	RetryAfter time.Duration
}

// MayHaveRun says that an earlier attempt was sent and its outcome is not known.
type MayHaveRun struct{ Owner Owner }

// Conflict says that the key was used with another request.
type Conflict struct{}

// Full says that the table has no room; the call was not run.
type Full struct {
	// RetryAfter is when the next claim ends.
	RetryAfter time.Duration
}

func (Begun) result()      {}
func (Recorded) result()   {}
func (InProgress) result() {}
func (MayHaveRun) result() {}
func (Conflict) result()   {}
func (Full) result()       {}

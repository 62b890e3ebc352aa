package aubclaim

import "time"

// ID identifies a claimed call by the caller's workspace and idempotency key.
type ID struct {
	Workspace string
	Key       string
}

// Owner is the process that holds a claim and sends the call.
type Owner struct {
	Instance    string
	Incarnation uint64
}

// Claim is a request for the exclusive right to send a call.
type Claim struct {
	ID ID
	// Digest identifies the content of the request.
	Digest []byte
	// Timeout is the time, on the replicated clock, after which a claim without an
	// outcome counts as may have run; 0 means DefaultTimeout. It must be longer
	// than the call may take.
	Timeout time.Duration
}

// Ticket identifies a claim that this process holds.
type Ticket struct {
	ID    ID
	Owner Owner
	// Attempt is the id of this attempt to run the call, unique among all claims.
	Attempt string
}

// Header is one header of a recorded response.
type Header struct {
	Name   string
	Values []string
}

// Outcome is the recorded response of a call that ran.
type Outcome struct {
	Status  int
	Headers []Header
	Body    []byte
	// Omitted is set when the call ran but its response was too large to keep;
	// only the status is recorded.
	Omitted bool
}

// Result is the result of Begin: one of Begun, Recorded, InProgress,
// MayHaveRun, Conflict and Full.
type Result interface{ result() }

// Begun means that this process holds the committed claim and may send the call once.
type Begun struct {
	Ticket Ticket
	// SendBy is the local monotonic time after which the call must not be sent,
	// because the claim may no longer count as in progress.
	SendBy time.Time
}

// Recorded means that the call has run; Outcome is its recorded response.
type Recorded struct{ Outcome Outcome }

// InProgress means that another attempt is running the call.
type InProgress struct {
	Owner Owner
	// RetryAfter is the time after which the caller should retry.
	RetryAfter time.Duration
}

// MayHaveRun means that an earlier attempt may have run the call, with unknown outcome.
type MayHaveRun struct{ Owner Owner }

// Conflict means that the idempotency key was used with a different request.
type Conflict struct{}

// Full means that the table has no free capacity for the claim; the call was not run.
type Full struct {
	// RetryAfter is the time until the next claim of any workspace expires.
	RetryAfter time.Duration
}

func (Begun) result()      {}
func (Recorded) result()   {}
func (InProgress) result() {}
func (MayHaveRun) result() {}
func (Conflict) result()   {}
func (Full) result()       {}

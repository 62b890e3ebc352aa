package aubclaim

import "time"

// Defaults of the table's options.
const (
	// DefaultKeep is the time for which an outcome is kept.
	DefaultKeep = 24 * time.Hour
	// DefaultHold is the time after which an unfinished claim may have run.
	DefaultHold = 15 * time.Minute
	// DefaultMaxClaims is the number of claims kept.
	DefaultMaxClaims = 100_000
	// DefaultMaxBody is the largest recorded body, in bytes.
	DefaultMaxBody = 64 << 10
	// DefaultMaxBytes is the sum of all recorded bodies and headers, in bytes.
	DefaultMaxBytes = 256 << 20
	// DefaultInProgressRetry is when a repeat of a running call may ask again.
	DefaultInProgressRetry = time.Second
)

// TableOpts configures the table. Every replica must have the same values.
type TableOpts struct {
	// Keep is the time, on the replicated clock, for which an outcome is kept.
	Keep time.Duration
	// MaxClaims bounds the claims of all workspaces.
	MaxClaims int
	// MaxWorkspaceClaims bounds the claims of one workspace; 0 means half of MaxClaims.
	MaxWorkspaceClaims int
	// MaxBody bounds a recorded body in bytes.
	MaxBody int
	// MaxBytes bounds the sum of the recorded answers in bytes.
	MaxBytes int
	// InProgressRetry is when a repeat of a running call may ask again.
	InProgressRetry time.Duration
}

func (o TableOpts) withDefaults() TableOpts {
	if o.Keep <= 0 {
		o.Keep = DefaultKeep
	}
	if o.MaxClaims <= 0 {
		o.MaxClaims = DefaultMaxClaims
	}
	if o.MaxWorkspaceClaims <= 0 {
		o.MaxWorkspaceClaims = max(o.MaxClaims/2, 1)
	}
	if o.MaxBody <= 0 {
		o.MaxBody = DefaultMaxBody
	}
	if o.MaxBytes <= 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	if o.InProgressRetry <= 0 {
		o.InProgressRetry = DefaultInProgressRetry
	}
	return o
}

package aubclaim

import "time"

// Defaults of the table's options.
const (
	// DefaultRetention is the time for which an outcome stays in the table.
	DefaultRetention = 24 * time.Hour
	// DefaultTimeout is the time after which an unfinished claim counts as may have run.
	DefaultTimeout = 15 * time.Minute
	// DefaultMaxClaims is the maximum number of claims of all workspaces.
	DefaultMaxClaims = 100_000
	// DefaultMaxBodyBytes is the size of the largest recorded body, in bytes.
	DefaultMaxBodyBytes = 64 << 10
	// DefaultMaxTotalBytes is the maximum total size of the recorded outcomes, in bytes.
	DefaultMaxTotalBytes = 256 << 20
	// DefaultInProgressRetryAfter is the time after which a repeat of a running call
	// should be retried.
	DefaultInProgressRetryAfter = time.Second
)

// TableOpts configures the table; 0 means the default. Every replica must have the
// same values, as each applies the same commands and must reach the same state.
type TableOpts struct {
	// Retention is the time, on the replicated clock, for which an outcome stays in the
	// table.
	Retention time.Duration
	// MaxClaims bounds the claims of all workspaces.
	MaxClaims int
	// MaxWorkspaceClaims bounds the claims of one workspace; 0 means half of MaxClaims.
	MaxWorkspaceClaims int
	// MaxBodyBytes bounds one recorded body in bytes, and twice that value bounds the
	// outcome with its headers. Of a larger response the status alone is recorded.
	MaxBodyBytes int
	// MaxTotalBytes bounds the total size of the recorded outcomes in bytes.
	MaxTotalBytes int
	// InProgressRetryAfter is the time after which a repeat of a running call should be
	// retried.
	InProgressRetryAfter time.Duration
}

func (o TableOpts) withDefaults() TableOpts {
	if o.Retention <= 0 {
		o.Retention = DefaultRetention
	}
	if o.MaxClaims <= 0 {
		o.MaxClaims = DefaultMaxClaims
	}
	if o.MaxWorkspaceClaims <= 0 {
		o.MaxWorkspaceClaims = max(o.MaxClaims/2, 1)
	}
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if o.MaxTotalBytes <= 0 {
		o.MaxTotalBytes = DefaultMaxTotalBytes
	}
	if o.InProgressRetryAfter <= 0 {
		o.InProgressRetryAfter = DefaultInProgressRetryAfter
	}
	return o
}

package aubpoison

import (
	"fmt"
	"strings"
	"time"
)

// BlockedError refuses a request that may crash its backend server.
type BlockedError struct {
	// Fingerprints are those that are blocked.
	Fingerprints []string
	// RetryAfter is the time until the request may be tried.
	RetryAfter time.Duration
}

// Error implements error.
func (e *BlockedError) Error() string {
	return fmt.Sprintf("backend servers crashed under %s", strings.Join(e.Fingerprints, ", "))
}

package aubresponse

import (
	"fmt"
	"io"
)

// SizeError is a body that is longer than its limit in bytes, so that its end is not known.
type SizeError struct{ Limit int64 }

// Error implements error.
func (e *SizeError) Error() string { return fmt.Sprintf("answer of more than %d bytes", e.Limit) }

// ReadWhole reads a body of at most limit bytes. Errors are *SizeError for a longer one or those of the body.
func ReadWhole(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, &SizeError{Limit: limit}
	}
	return data, err
}

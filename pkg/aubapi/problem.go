package aubapi

import "time"

// Execution states whether a refused or failed request ran on a backend server.
type Execution string

// Execution states.
const (
	// ExecutionNotRun means that no backend server ran the request.
	ExecutionNotRun Execution = "not_run"
	// ExecutionMayHaveRun means that a backend server may have run the request.
	ExecutionMayHaveRun Execution = "may_have_run"
	// ExecutionRan means that a backend server ran the request.
	ExecutionRan Execution = "ran"
)

// Problem is an RFC 9457 problem document that also holds an error object in the form
// of the OpenAI API.
type Problem struct {
	Type      string    `json:"type"`
	Title     string    `json:"title"`
	Status    int       `json:"status"`
	Detail    string    `json:"detail,omitempty"`
	Instance  string    `json:"instance,omitempty"`
	Execution Execution `json:"execution"`
	// RetryAfter is the time after which a retry can succeed; 0 means not to retry. It
	// travels in the Retry-After header.
	RetryAfter time.Duration `json:"-"`
	Error      ErrorBody     `json:"error"`
}

// ErrorBody is the part of a problem that OpenAI client libraries read.
type ErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param,omitempty"`
}

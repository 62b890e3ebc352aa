package aubengine

// Paths of the engine's control API.
const (
	PathLoad        = "/engine/v1/load"
	PathUnload      = "/engine/v1/unload"
	PathFence       = "/engine/v1/fence"
	PathState       = "/engine/v1/state"
	PathLoadReport  = "/engine/v1/load_report"
	PathAnswers     = "/engine/v1/answers/"
	PathCacheEvents = "/engine/v1/cache_events"
	PathKV          = "/engine/v1/kv/"
)

// Headers of a generation request.
const (
	// HeaderRequestID identifies the request; the engine echoes it in the response.
	HeaderRequestID = "X-Request-Id"
	// HeaderAnswerID identifies the answer for abort and resume.
	HeaderAnswerID = "X-Answer-Id"
	// HeaderPriority is the scheduling priority as a decimal number; higher
	// priorities run first.
	HeaderPriority = "X-Priority"
	// HeaderRateLimit in a response is the number of requests per second that the backend
	// server takes from all callers together.
	HeaderRateLimit = "X-Rate-Limit"
	// HeaderRetryAfter in a 503 response is the time in seconds for which the backend server
	// wants no more requests, or an HTTP date, which counts from HeaderDate.
	HeaderRetryAfter = "Retry-After"
	HeaderDate       = "Date"
)

// ItemState is the state of a model or adapter in the engine.
type ItemState string

// Item states.
const (
	ItemLoading   ItemState = "loading"
	ItemReady     ItemState = "ready"
	ItemUnloading ItemState = "unloading"
)

// Order requests that the engine load or unload one item, or raise its fencing
// number. Model is the base model of an adapter.
type Order struct {
	OrderID     string `json:"order_id"`
	Fence       uint64 `json:"fence"`
	Name        string `json:"name,omitempty"`
	Adapter     bool   `json:"adapter,omitempty"`
	Model       string `json:"model,omitempty"`
	MemoryBytes int64  `json:"memory_bytes,omitempty"`
}

// Item is one model or adapter in the memory of the engine.
type Item struct {
	Name        string    `json:"name"`
	Adapter     bool      `json:"adapter,omitempty"`
	Model       string    `json:"model,omitempty"`
	MemoryBytes int64     `json:"memory_bytes"`
	State       ItemState `json:"state"`
}

// State is the boot ID of the engine, its fencing number and its memory contents.
type State struct {
	// Boot is the boot ID, which is different for each start of the engine.
	Boot        string `json:"boot"`
	MemoryBytes int64  `json:"memory_bytes"`
	// Fence is the highest fencing number accepted; 0 if the engine ignores them.
	Fence uint64 `json:"fence"`
	Items []Item `json:"items"`
}

// LoadReport is the load of the engine, published with a delay.
type LoadReport struct {
	Running      int     `json:"running"`
	Queued       int     `json:"queued"`
	QueuedTokens int64   `json:"queued_tokens"`
	PrefillRate  float64 `json:"prefill_tokens_per_second"`
	DecodeRate   float64 `json:"decode_tokens_per_second"`
}

// AnswerStatus is the progress of an answer.
type AnswerStatus struct {
	// Events is the number of events generated so far, including the final one.
	Events int `json:"events"`
	// Done is true once the final event was generated.
	Done bool `json:"done"`
}

// ErrorBody is the error envelope of the engine.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is one error of the engine.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// Error codes of the engine.
const (
	CodeStaleFence     = "stale_fence"
	CodeModelNotFound  = "model_not_found"
	CodeInvalidRequest = "invalid_request"
	CodeOverloaded     = "overloaded"
)

// CacheEvent reports a prompt prefix that was added to the prefix cache or evicted from it.
type CacheEvent struct {
	// Sequence increases by one with each event; a gap means lost events.
	Sequence uint64 `json:"sequence"`
	Model    string `json:"model"`
	Prefix   string `json:"prefix"`
	Evicted  bool   `json:"evicted,omitempty"`
}

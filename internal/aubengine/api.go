package aubengine

// Paths of the engine's order API.
const (
	PathLoad    = "/engine/v1/load"
	PathUnload  = "/engine/v1/unload"
	PathFence   = "/engine/v1/fence"
	PathState   = "/engine/v1/state"
	PathReport  = "/engine/v1/load_report"
	PathAnswers = "/engine/v1/answers/"
	PathEvents  = "/engine/v1/cache_events"
	PathKV      = "/engine/v1/kv/"
)

// Headers of a generation request.
const (
	// HeaderRequestID names the request; the engine echoes it in the answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderAnswerID names the answer for abort and resume.
	HeaderAnswerID = "X-Answer-Id"
	// HeaderPriority is the scheduling priority, a decimal number; higher first.
	HeaderPriority = "X-Priority"
)

// ItemState is the state of a model or adapter in the engine.
type ItemState string

// Item states.
const (
	ItemLoading   ItemState = "loading"
	ItemReady     ItemState = "ready"
	ItemUnloading ItemState = "unloading"
)

// Order asks the engine to load or unload one item.
type Order struct {
	OrderID     string `json:"order_id"`
	Fence       uint64 `json:"fence"`
	Name        string `json:"name,omitempty"`
	Adapter     bool   `json:"adapter,omitempty"`
	Model       string `json:"model,omitempty"`
	MemoryBytes int64  `json:"memory_bytes,omitempty"`
}

// Item is one model or adapter that takes the engine's memory.
type Item struct {
	Name        string    `json:"name"`
	Adapter     bool      `json:"adapter,omitempty"`
	Model       string    `json:"model,omitempty"`
	MemoryBytes int64     `json:"memory_bytes"`
	State       ItemState `json:"state"`
}

// State is what the engine holds in memory.
type State struct {
	// Boot differs for each start of the engine.
	Boot        string `json:"boot"`
	MemoryBytes int64  `json:"memory_bytes"`
	// Fence is the highest fencing number accepted; 0 when they are ignored.
	Fence uint64 `json:"fence"`
	Items []Item `json:"items"`
}

// Report is the engine's load, published with a lag.
type Report struct {
	Running      int     `json:"running"`
	Queued       int     `json:"queued"`
	QueuedTokens int64   `json:"queued_tokens"`
	PrefillRate  float64 `json:"prefill_tokens_per_second"`
	DecodeRate   float64 `json:"decode_tokens_per_second"`
}

// AnswerStatus tells how far the engine is with an answer.
type AnswerStatus struct {
	// Events generated so far, the final one included.
	Events int  `json:"events"`
	Done   bool `json:"done"`
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
	CodeStaleFence    = "stale_fence"
	CodeModelNotFound = "model_not_found"
	CodeInvalid       = "invalid_request"
	CodeOverloaded    = "overloaded"
)

// CacheEvent tells of one prompt prefix that entered or left the cache.
type CacheEvent struct {
	// Sequence grows by one for each event; a gap means lost events.
	Sequence uint64 `json:"sequence"`
	Model    string `json:"model"`
	Prefix   string `json:"prefix"`
	Evicted  bool   `json:"evicted,omitempty"`
}

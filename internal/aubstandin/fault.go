package aubstandin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubengine"
)

// Faults are the injected faults. Each count is decremented by one occurrence;
// 0 switches the fault off.
type Faults struct {
	// LoseOrders counts orders that are not executed and whose connection is aborted.
	LoseOrders int `json:"lose_orders,omitempty"`
	// LoseOrderResponses counts orders that are executed and whose response is lost.
	LoseOrderResponses int `json:"lose_order_answers,omitempty"`
	// DelayOrders counts orders whose connection is aborted and that are executed
	// OrderDelayMS later.
	DelayOrders int `json:"late_orders,omitempty"`
	// RepeatOrders counts orders that are executed a second time after OrderDelayMS.
	RepeatOrders int `json:"double_orders,omitempty"`
	// OrderDelayMS is the delay of delayed and repeated orders in milliseconds.
	OrderDelayMS int64 `json:"order_delay_ms,omitempty"`
	// FailLoads counts loads that fail after half their time.
	FailLoads int `json:"fail_loads,omitempty"`
	// PoisonPrompt crashes the backend server when a prompt or body contains it;
	// empty means never.
	PoisonPrompt string `json:"poison_prompt,omitempty"`
	// CutAnswers counts answers whose connection is aborted after CutAfterEvents
	// events, or in the middle of a body that is no stream.
	CutAnswers int `json:"cut_answers,omitempty"`
	// RenewBootOnCut gives the engine a new boot ID with each cut answer, as if it had
	// restarted and kept its answers.
	RenewBootOnCut bool `json:"renew_boot_on_cut,omitempty"`
	CutAfterEvents int  `json:"cut_after_events,omitempty"`
	// SilentAnswers counts answers that send no more data after SilentAfterEvents
	// events and keep their connection open.
	SilentAnswers     int `json:"silent_answers,omitempty"`
	SilentAfterEvents int `json:"silent_after_events,omitempty"`
	// DelayAnswers counts answers that start only after AnswerDelayMS milliseconds.
	DelayAnswers  int   `json:"late_answers,omitempty"`
	AnswerDelayMS int64 `json:"answer_delay_ms,omitempty"`
	// SwapAnswers counts requests that receive the answer or the request ID of another request.
	SwapAnswers int `json:"cross_answers,omitempty"`
	// CacheEventGap drops every n-th cache event; 0 drops none.
	CacheEventGap uint64 `json:"cache_event_gap,omitempty"`
	// RateLimit is the rate limit that responses state, in requests per second; 0 states
	// none.
	RateLimit float64 `json:"rate_limit,omitempty"`
	// QuietMS makes every request be turned away with the demand for no more requests for
	// that many milliseconds; 0 turns none away.
	QuietMS int64 `json:"quiet_ms,omitempty"`
	// ForgetAnswers makes every answer unknown to resume and status requests.
	ForgetAnswers bool `json:"forget_answers,omitempty"`
}

// faultSet guards the faults of one stand-in.
type faultSet struct {
	mu     sync.Mutex
	faults Faults
}

func (s *faultSet) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *faultSet) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// setRateLimit adds the rate limit to the header of a response.
func (s *faultSet) setRateLimit(header http.Header) {
	if limit := s.get().RateLimit; limit > 0 {
		header.Set(aubengine.HeaderRateLimit, strconv.FormatFloat(limit, 'f', -1, 64))
	}
}

// refuseForQuiet turns a request away if requests are to be turned away.
func (s *faultSet) refuseForQuiet(w http.ResponseWriter) bool {
	quiet := s.get().QuietMS
	if quiet <= 0 {
		return false
	}
	seconds := (time.Duration(quiet) * time.Millisecond).Seconds()
	w.Header().Set(aubengine.HeaderRetryAfter, strconv.FormatFloat(seconds, 'f', 3, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// consume decrements the count that counter selects and reports whether it was above 0.
func (s *faultSet) consume(counter func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := counter(&s.faults)
	if *remaining == 0 {
		return false
	}
	*remaining--
	return true
}

func (f Faults) orderDelay() time.Duration {
	return time.Duration(f.OrderDelayMS) * time.Millisecond
}

func (f Faults) answerDelay() time.Duration {
	return time.Duration(f.AnswerDelayMS) * time.Millisecond
}

// responseFaults are the faults of one response.
type responseFaults struct {
	delay time.Duration
	// cutAfterEvents and silentAfterEvents are numbers of events; -1 means never.
	cutAfterEvents    int
	silentAfterEvents int
	// swapped gives the request the answer of another one.
	swapped bool
}

// nextResponseFaults consumes the response faults that are switched on, one of each.
func (s *faultSet) nextResponseFaults() responseFaults {
	faults := responseFaults{cutAfterEvents: -1, silentAfterEvents: -1}
	if s.consume(func(f *Faults) *int { return &f.DelayAnswers }) {
		faults.delay = s.get().answerDelay()
	}
	if s.consume(func(f *Faults) *int { return &f.CutAnswers }) {
		faults.cutAfterEvents = s.get().CutAfterEvents
	}
	if s.consume(func(f *Faults) *int { return &f.SilentAnswers }) {
		faults.silentAfterEvents = s.get().SilentAfterEvents
	}
	faults.swapped = s.consume(func(f *Faults) *int { return &f.SwapAnswers })
	return faults
}

package aubstandin

import (
	"sync"
	"time"
)

// Faults are switches. Counts are used up by one for each occurrence.
type Faults struct {
	// LoseOrders counts orders that vanish with their connection.
	LoseOrders int `json:"lose_orders,omitempty"`
	// LoseOrderAnswers counts orders that are executed and never answered.
	LoseOrderAnswers int `json:"lose_order_answers,omitempty"`
	// LateOrders counts orders executed only OrderDelayMS after their connection ended.
	LateOrders int `json:"late_orders,omitempty"`
	// DoubleOrders counts orders executed again after OrderDelayMS.
	DoubleOrders int   `json:"double_orders,omitempty"`
	OrderDelayMS int64 `json:"order_delay_ms,omitempty"`
	// FailLoads counts loads that give up half way.
	FailLoads int `json:"fail_loads,omitempty"`
	// PoisonPrompt crashes the backend server when a prompt or body contains it.
	PoisonPrompt string `json:"poison_prompt,omitempty"`
	// CutAnswers counts answers whose connection is cut after CutAfterEvents.
	CutAnswers     int `json:"cut_answers,omitempty"`
	CutAfterEvents int `json:"cut_after_events,omitempty"`
	// SilentAnswers counts answers that go silent after SilentAfterEvents.
	SilentAnswers     int `json:"silent_answers,omitempty"`
	SilentAfterEvents int `json:"silent_after_events,omitempty"`
	// LateAnswers counts answers that begin only after AnswerDelayMS.
	LateAnswers   int   `json:"late_answers,omitempty"`
	AnswerDelayMS int64 `json:"answer_delay_ms,omitempty"`
	// CrossAnswers counts answers that carry another request's content.
	CrossAnswers int `json:"cross_answers,omitempty"`
	// CacheEventGap loses every n-th cache event.
	CacheEventGap uint64 `json:"cache_event_gap,omitempty"`
	// ForgetAnswers makes resume and status unknown.
	ForgetAnswers bool `json:"forget_answers,omitempty"`
}

// faultSet guards the switches.
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

// consume uses up one occurrence of the switch that pick selects.
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

// responseFaults is the fault plan of one answer.
type responseFaults struct {
	delay time.Duration
	// cutAfterEvents and silentAfter are event counts; -1 means never.
	cutAfterEvents    int
	silentAfterEvents int
	swapped           bool
}

func (s *faultSet) nextResponseFaults() responseFaults {
	faults := responseFaults{cutAfterEvents: -1, silentAfterEvents: -1}
	if s.consume(func(f *Faults) *int { return &f.LateAnswers }) {
		faults.delay = s.get().answerDelay()
	}
	if s.consume(func(f *Faults) *int { return &f.CutAnswers }) {
		faults.cutAfterEvents = s.get().CutAfterEvents
	}
	if s.consume(func(f *Faults) *int { return &f.SilentAnswers }) {
		faults.silentAfterEvents = s.get().SilentAfterEvents
	}
	faults.swapped = s.consume(func(f *Faults) *int { return &f.CrossAnswers })
	return faults
}

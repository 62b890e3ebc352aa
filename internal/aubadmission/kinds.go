package aubadmission

import (
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubtimer"
)

const (
	// urgentMemory is how long a service counts as used by a kind of request after the last one.
	urgentMemory = 2 * time.Second
	// crowdedMemory is how long a service counts as crowded after a refusal of a first attempt,
	// urgentCrowdedMemory after one of any attempt of a more urgent kind.
	crowdedMemory       = 500 * time.Millisecond
	urgentCrowdedMemory = 1500 * time.Millisecond
	// minElapsed is the difference to the longest declared timeout of a route from which a
	// request counts as a retry.
	minElapsed = 50 * time.Millisecond
)

// urgency orders the kinds of request to one service.
type urgency struct {
	priority  int
	objective time.Duration
}

// isAbove reports whether requests of this kind are more urgent than those of the other: they
// have a lower priority number or, with the same one, an objective that is shorter by a third.
func (u urgency) isAbove(other urgency) bool {
	return u.priority < other.priority || u.priority == other.priority && 3*u.objective <= 2*other.objective
}

// Kinds records which kinds of request the services receive and the timeouts that callers
// declare. It is safe for concurrent use.
type Kinds struct {
	timer aubtimer.Service

	mu sync.Mutex
	// revision is the number of the configuration to which the records belong.
	revision uint64
	// uses holds when requests that are not deferrable were last seen, by service and kind.
	uses map[string]map[urgency]time.Time
	// refusals and firstRefusals hold when any attempts, and first ones, were last refused, by
	// service and kind.
	refusals      map[string]map[urgency]time.Time
	firstRefusals map[string]map[urgency]time.Time
	// timeouts holds the longest declared timeout by route.
	timeouts map[string]time.Duration
}

// NewKinds returns an empty record.
func NewKinds(timer aubtimer.Service) *Kinds {
	return &Kinds{timer: timer, uses: make(map[string]map[urgency]time.Time), refusals: make(map[string]map[urgency]time.Time), firstRefusals: make(map[string]map[urgency]time.Time), timeouts: make(map[string]time.Duration)}
}

// Kind describes a request for the records.
type Kind struct {
	// Revision is the number of the configuration.
	Revision uint64
	Route    string
	Service  string
	// Priority is lower for more urgent requests.
	Priority     int
	Objective    time.Duration
	IsDeferrable bool
	// Timeout is the one that the caller declared; 0 if none.
	Timeout time.Duration
}

// Observe records the request. It returns the time that its caller spent on earlier attempts,
// 0 for a first one, and the shortest objective of more urgent requests to the service, 0 if
// there were none of late.
func (k *Kinds) Observe(kind Kind) (elapsed, urgentObjective time.Duration) {
	now := k.timer.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.revision != kind.Revision {
		k.revision = kind.Revision
		clear(k.uses)
		clear(k.refusals)
		clear(k.firstRefusals)
		clear(k.timeouts)
	}
	if longest := k.timeouts[kind.Route]; kind.Timeout > longest {
		k.timeouts[kind.Route] = kind.Timeout
	} else if kind.Timeout > 0 && longest-kind.Timeout > minElapsed {
		elapsed = longest - kind.Timeout
	}
	own := urgency{priority: kind.Priority, objective: kind.Objective}
	if !kind.IsDeferrable {
		recordUse(k.uses, kind.Service, own, now)
	}
	for other, seenAt := range k.uses[kind.Service] {
		if other.isAbove(own) && now.Sub(seenAt) <= urgentMemory && (urgentObjective == 0 || other.objective < urgentObjective) {
			urgentObjective = other.objective
		}
	}
	return elapsed, urgentObjective
}

// ObserveRefusal records that an attempt of the kind was refused.
func (k *Kinds) ObserveRefusal(kind Kind, isFirstAttempt bool) {
	now := k.timer.Now()
	own := urgency{priority: kind.Priority, objective: kind.Objective}
	k.mu.Lock()
	defer k.mu.Unlock()
	recordUse(k.refusals, kind.Service, own, now)
	if isFirstAttempt {
		recordUse(k.firstRefusals, kind.Service, own, now)
	}
}

// IsCrowded reports whether first attempts of the kind, or any attempts of more urgent ones, were
// refused of late.
func (k *Kinds) IsCrowded(kind Kind) bool {
	now := k.timer.Now()
	own := urgency{priority: kind.Priority, objective: kind.Objective}
	k.mu.Lock()
	defer k.mu.Unlock()
	if refusedAt, ok := k.firstRefusals[kind.Service][own]; ok && now.Sub(refusedAt) <= crowdedMemory {
		return true
	}
	for other, refusedAt := range k.refusals[kind.Service] {
		if now.Sub(refusedAt) <= urgentCrowdedMemory && other.isAbove(own) {
			return true
		}
	}
	return false
}

func recordUse(uses map[string]map[urgency]time.Time, service string, kind urgency, at time.Time) {
	if uses[service] == nil {
		uses[service] = make(map[urgency]time.Time)
	}
	uses[service][kind] = at
}

package aubdrain

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// DefaultTimeout is the time from the acknowledgement of an order to its full effect if the
// settings state none.
const DefaultTimeout = 5 * time.Second

// lastResortShare is the part of the timeout in which a drained zone still gets what no other
// zone can take. The rest covers the way of the order to the relays and a request that waits
// for its connection.
const lastResortShare = 0.5

const (
	// maxCertainAge is the age of a statement up to which a relay without one takes it at once.
	// A control process confirms its state every 250 ms, so an older state is that of one which is
	// cut off, was suspended or is slow.
	maxCertainAge = time.Second
	// uncertainWait is how long a relay waits for a certain statement of another control process.
	uncertainWait = time.Second
)

// Eligibility tells whether the backend servers of a zone may get requests.
type Eligibility int

// Values of Eligibility.
const (
	// EligibilityOpen zones are not drained.
	EligibilityOpen Eligibility = iota
	// EligibilityLastResort zones get what no other zone can take.
	EligibilityLastResort
	// EligibilityClosed zones get nothing.
	EligibilityClosed
)

// ViewOpts configures a view.
type ViewOpts struct {
	// Timeout is the time from the acknowledgement of an order to its full effect; 0 means
	// DefaultTimeout.
	Timeout time.Duration
	// OnWithdrawn is called for each zone whose drain was withdrawn, with a time after the
	// withdrawal: that at which this process learned of it, or an earlier one if it did not know
	// the drain. Nil for none.
	OnWithdrawn func(zone string, since time.Time)
}

// viewDrain is one drained zone. It is immutable.
type viewDrain struct {
	index uint64
	// notBefore is a time before the commit of the order; zero if none is known.
	notBefore time.Time
}

// viewState is the newest statement. It is immutable.
type viewState struct {
	revision uint64
	drains   map[string]viewDrain
	// statedAt is when a control process last stated the revision or a later one.
	statedAt time.Time
}

// View is what a relay knows of the drained zones. It keeps the newest revision of the table
// that a control process has stated.
//
// Lock order: mu is taken alone; it serializes Merge.
type View struct {
	common     aubcommon.Common
	opts       ViewOpts
	lastResort time.Duration
	// state is nil before the first statement.
	state atomic.Pointer[viewState]

	mu sync.Mutex
	// uncertainSince is when the first statement of uncertain age arrived; zero before.
	uncertainSince time.Time
	// changed is closed at the next change of the drained zones.
	changed chan struct{}
}

// NewView returns a view without a statement, by which every zone is closed.
func NewView(common aubcommon.Common, opts ViewOpts) *View {
	if opts.Timeout == 0 {
		opts.Timeout = DefaultTimeout
	}
	return &View{
		common:     common.WithPart("drain"),
		opts:       opts,
		lastResort: time.Duration(lastResortShare * float64(opts.Timeout)),
		changed:    make(chan struct{}),
	}
}

// Merge applies the statement of a control process, unless it is of an earlier revision; nil
// states nothing. The ages in it were determined after askedAt, so that they are right
// however late the statement arrives.
func (v *View) Merge(statement *aubwire.ZoneDrains, askedAt time.Time) {
	if statement == nil {
		return
	}
	v.mu.Lock()
	held := v.state.Load()
	if held != nil && statement.GetRevision() < held.revision {
		v.mu.Unlock()
		return
	}
	if held == nil && v.awaitsCertainty(statement) {
		v.mu.Unlock()
		return
	}
	next := &viewState{revision: statement.GetRevision(), drains: make(map[string]viewDrain, len(statement.GetDrains())), statedAt: v.common.Timer.Now()}
	for _, stated := range statement.GetDrains() {
		next.drains[stated.GetZone()] = held.merge(stated, askedAt)
	}
	v.state.Store(next)
	withdrawn := v.notifyChange(held, next)
	v.mu.Unlock()
	if v.opts.OnWithdrawn == nil {
		return
	}
	for _, zone := range withdrawn {
		v.opts.OnWithdrawn(zone, next.statedAt)
	}
	for _, w := range statement.GetWithdrawals() {
		if _, isDrained := next.drains[w.GetZone()]; isDrained || held.knows(w) || slices.Contains(withdrawn, w.GetZone()) {
			continue
		}
		v.common.Log.Info("Drain of a zone was withdrawn unnoticed.", zap.String("zone", w.GetZone()), zap.Uint64("index", w.GetIndex()), zap.Int64("min_age_ms", w.GetMinAgeMs()))
		v.opts.OnWithdrawn(w.GetZone(), next.statedAt.Add(-time.Duration(w.GetMinAgeMs())*time.Millisecond))
	}
}

// knows reports whether the state is of the withdrawal or later. The state may be nil.
func (s *viewState) knows(w *aubwire.ZoneWithdrawal) bool {
	return s != nil && s.revision >= w.GetIndex()
}

// awaitsCertainty reports whether a first statement is left out because its sender may be cut off
// and another control process may know better; the caller holds mu. Without any other the relay
// takes it after uncertainWait, since it would otherwise refuse everything.
func (v *View) awaitsCertainty(statement *aubwire.ZoneDrains) bool {
	age := time.Duration(statement.GetConfirmedAgoMs()) * time.Millisecond
	if age <= maxCertainAge {
		return false
	}
	now := v.common.Timer.Now()
	isFirst := v.uncertainSince.IsZero()
	if isFirst {
		v.uncertainSince = now
	}
	waited := now.Sub(v.uncertainSince)
	isWaiting := waited < uncertainWait
	if isFirst || !isWaiting {
		v.common.Log.Warn("Statement of drained zones is not certain.", zap.Uint64("revision", statement.GetRevision()),
			zap.Int64("confirmed_ago_ms", age.Milliseconds()), zap.Int64("waited_ms", waited.Milliseconds()), zap.Bool("is_taken", !isWaiting))
	}
	return isWaiting
}

// merge returns the drain that a control process states, with the latest time before its
// commit that any has stated. The state may be nil.
func (s *viewState) merge(stated *aubwire.ZoneDrain, askedAt time.Time) viewDrain {
	next := viewDrain{index: stated.GetIndex()}
	if stated.MaxAgeMs != nil && !askedAt.IsZero() {
		next.notBefore = askedAt.Add(-time.Duration(stated.GetMaxAgeMs()) * time.Millisecond)
	}
	if s == nil {
		return next
	}
	if held, ok := s.drains[stated.GetZone()]; ok && held.index == next.index && held.notBefore.After(next.notBefore) {
		return held
	}
	return next
}

// notifyChange logs the differences, wakes those that wait for a change and returns the zones
// whose drain was withdrawn; the caller holds mu. The held state may be nil.
func (v *View) notifyChange(held, next *viewState) (withdrawn []string) {
	if held != nil && held.revision == next.revision {
		return nil
	}
	var previous map[string]viewDrain
	if held != nil {
		previous = held.drains
	}
	for zone, d := range next.drains {
		if previous[zone].index == d.index {
			continue
		}
		fields := []zap.Field{zap.String("zone", zone), zap.Uint64("index", d.index)}
		if !d.notBefore.IsZero() {
			fields = append(fields, zap.Int64("max_age_ms", next.statedAt.Sub(d.notBefore).Milliseconds()))
		}
		v.common.Log.Info("Zone is drained.", fields...)
	}
	for zone, d := range previous {
		if _, isDrained := next.drains[zone]; !isDrained {
			v.common.Log.Info("Drain of a zone is withdrawn.", zap.String("zone", zone), zap.Uint64("index", d.index), zap.Uint64("revision", next.revision))
			withdrawn = append(withdrawn, zone)
		}
	}
	close(v.changed)
	v.changed = make(chan struct{})
	return withdrawn
}

// HasStatement reports whether a control process has stated the drained zones.
func (v *View) HasStatement() bool { return v.state.Load() != nil }

// Eligibility tells whether backend servers of the zone may get requests at the time. Without
// a statement every zone is closed. A drain of unknown age counts as fully in effect.
func (v *View) Eligibility(zone string, now time.Time) Eligibility {
	state := v.state.Load()
	if state == nil {
		return EligibilityClosed
	}
	d, isDrained := state.drains[zone]
	switch {
	case !isDrained:
		return EligibilityOpen
	case !d.notBefore.IsZero() && now.Sub(d.notBefore) < v.lastResort:
		return EligibilityLastResort
	}
	return EligibilityClosed
}

// Drains returns the drained zones and a channel that is closed at the next change.
func (v *View) Drains() (Drains, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	state := v.state.Load()
	if state == nil {
		return Drains{}, v.changed
	}
	zones := make(map[string]bool, len(state.drains))
	for zone := range state.drains {
		zones[zone] = true
	}
	return Drains{revision: state.revision, zones: zones}, v.changed
}

// Age returns the time since a control process last stated the revision or a later one; it
// reports false without a statement.
func (v *View) Age(now time.Time) (time.Duration, bool) {
	state := v.state.Load()
	if state == nil {
		return 0, false
	}
	return now.Sub(state.statedAt), true
}

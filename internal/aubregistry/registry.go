// Package aubregistry stores the registrations of backend servers, distributes them to
// every relay and collects the relays' load reports. Registrations may be delayed,
// duplicated or reordered; only the newest one of the newest incarnation counts.
package aubregistry

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubincarnation"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// DefaultTimeout is how much older than the newest registration of any backend server
	// a backend server's own registration may be before the backend server counts as lost:
	// three heartbeats of 1.2 s and one second.
	DefaultTimeout = 4600 * time.Millisecond
	// maxViewAge limits the age of the cached view.
	maxViewAge = 100 * time.Millisecond
	// maxRecords is the number of records, including those of gone backend servers, above
	// which outdated ones are evicted regardless of their state.
	maxRecords = 20000
	// recordRetention is how long the record of a gone backend server is stored, so that
	// a delayed registration doesn't restore it.
	recordRetention = 2 * time.Minute
)

// entry is one record with its local state.
type entry struct {
	record *aubwire.BackendRecord
	// receivedAt is when the newest registration was received.
	receivedAt time.Time
	// version is the registry's version at the last change.
	version uint64
	// suspectSequence is the sequence of the newest registration when a connection was
	// refused. The backend server counts as lost until it registers again.
	suspectSequence int64
	isSuspected     bool
	suspectSince    time.Time
	// isSuperseded is set if a later backend server at the same address ended this one
	// before it announced its departure.
	isSuperseded bool
	// leavingSaidAt is when an answer to this process said that the incarnation leaves; zero
	// if none did.
	leavingSaidAt time.Time
	// leavingSince is when this process learned of an answer, to itself or to a relay, which
	// said that the incarnation leaves, leavingSource who had the answer; zero if none did.
	leavingSince  time.Time
	leavingSource zap.Field
	// isLocal is set if the newest change was made or received by this process itself, not
	// merged from another control process.
	isLocal bool
	// unconfirmedUntil is when an unconfirmed record expires; zero for one that is from the
	// backend server itself. heardAt is when the backend server had last been heard of, before
	// the start of the process that kept the record.
	unconfirmedUntil time.Time
	heardAt          time.Time
	// hasPredecessor is set while an earlier incarnation was heard of and the start of this one is not
	// committed.
	hasPredecessor bool
}

// Registry holds the newest record of each backend server.
//
// Lock order: mu is taken alone.
type Registry struct {
	common  aubcommon.Common
	timeout time.Duration

	mu      sync.Mutex
	entries map[string]*entry
	// softwareSeen holds the time of the last registration with each software version.
	softwareSeen map[softwareKey]time.Time
	// version increases with every change of a record that watchers receive.
	version uint64
	// topologyVersion increases with every change that routing depends on.
	topologyVersion uint64
	// changed is closed when version increases by more than a renewed registration.
	changed chan struct{}
	// newestReceivedAt is when a new record was last received. Timeouts are relative to it:
	// if no registrations are received at all, this process is partitioned and the
	// backend servers don't count as lost.
	newestReceivedAt time.Time
	// departures increases with every change of a record that is not ready.
	departures uint64
	// departed is closed when departures increases.
	departed chan struct{}
	// keepsDepartures is set if departures of backend servers that are not known are kept,
	// because another process may offer unconfirmed records of them.
	keepsDepartures bool
	// observe is called with each registration that is applied; nil for none.
	observe func(record *aubwire.BackendRecord)
	// isService reports whether the configuration names a service; nil if that is not known.
	isService func(name string) bool
	// incarnations holds what is committed about incarnations.
	incarnations map[aubincarnation.Key]notedIncarnation
	// statesStart holds the services of which a backend server has stated its start.
	statesStart map[string]bool
	// view is the cached view, built at viewAt.
	view   aubmembership.View
	viewAt time.Time
}

var _ aubmembership.Source = (*Registry)(nil)

// NewRegistry returns an empty registry; a timeout of 0 means DefaultTimeout.
func NewRegistry(common aubcommon.Common, timeout time.Duration) *Registry {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	return &Registry{
		common:  common.WithPart("registry"),
		timeout: timeout,
		entries: make(map[string]*entry),

		softwareSeen: make(map[softwareKey]time.Time),
		incarnations: make(map[aubincarnation.Key]notedIncarnation),
		statesStart:  make(map[string]bool),
		changed:      make(chan struct{}),
		departed:     make(chan struct{}),
	}
}

// Register applies a registration that this process received directly and returns the
// version that includes it.
func (r *Registry) Register(record *aubwire.BackendRecord) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(record, true)
	return r.version
}

// Deregister marks a backend server as gone and returns the version that includes the
// change. It does nothing if an incarnation that started after startedMs is registered; a
// startedMs of 0 means the registered one. An incarnation that started after the registered one is
// noted as gone as well.
func (r *Registry) Deregister(id string, startedMs int64) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored := r.entries[id]
	if stored == nil && r.keepsDepartures {
		r.apply(&aubwire.BackendRecord{Id: id, StartedMs: startedMs, State: aubwire.BackendState_BACKEND_STATE_GONE}, true)
	}
	if stored == nil {
		return r.version
	}
	if startedMs != 0 && startedMs < stored.record.GetStartedMs() {
		stored.notePredecessor(startedMs)
		return r.version
	}
	if startedMs > stored.record.GetStartedMs() {
		r.apply(&aubwire.BackendRecord{
			Id: id, Service: stored.record.GetService(), Address: stored.record.GetAddress(), Zone: stored.record.GetZone(),
			StartedMs: startedMs, State: aubwire.BackendState_BACKEND_STATE_GONE,
		}, true)
		return r.version
	}
	if stored.isUnconfirmed() {
		r.endUnconfirmed(stored)
		return r.version
	}
	next := cloneRecord(stored.record)
	next.State = aubwire.BackendState_BACKEND_STATE_GONE
	next.Sequence++
	r.apply(next, true)
	return r.version
}

// Merge applies records received from a control process.
func (r *Registry) Merge(records []*aubwire.BackendRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		r.apply(record, false)
	}
}

// SetUnloading replaces the list of models that a backend server is about to unload. A
// revision that is not newer than the stored one, as after a step of the clock, is raised.
func (r *Registry) SetUnloading(id string, models []string, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored := r.entries[id]
	if stored == nil || slices.Equal(stored.record.GetUnloading(), models) {
		return
	}
	next := cloneRecord(stored.record)
	next.Unloading, next.UnloadingRevision = models, max(revision, stored.record.GetUnloadingRevision()+1)
	stored.record = next
	stored.isLocal = true
	r.markChanged(stored)
	r.topologyVersion++
}

// apply merges one record; the caller holds mu.
func (r *Registry) apply(record *aubwire.BackendRecord, isLocal bool) {
	now := r.common.Timer.Now()
	record = r.limitToCommitted(record, isLocal)
	switch {
	case record == nil:
		return
	case record.GetUnconfirmedMs() > 0:
		r.applyUnconfirmed(record, isLocal, now)
		return
	}
	stored := r.entries[record.GetId()]
	if r.lacksStart(record, stored) || r.displacesNamed(record, stored) {
		r.logIgnored(record, isLocal)
		return
	}
	if record.GetService() != "" {
		r.noteSoftware(softwareKey{service: record.GetService(), software: record.GetSoftware()}, now)
	}
	if stored != nil && !supersedes(record, stored.record) && !stored.isConfirmedBy(record) && !r.outranks(record, stored.record) {
		if isUnnamedDeparture(record) && stored.isUnconfirmed() {
			r.endUnconfirmed(stored)
			return
		}
		stored.notePredecessor(record.GetStartedMs())
		r.mergeUnloading(stored, record)
		r.mergeState(stored, record)
		if isLocal && record.GetStartedMs() == stored.record.GetStartedMs() && record.GetSequence() == stored.record.GetSequence() {
			stored.receivedAt = now
		}
		return
	}
	if record.GetState() != aubwire.BackendState_BACKEND_STATE_GONE && !r.supersedeAddress(record) {
		return
	}
	record = r.inherit(record, stored)
	if stored == nil {
		r.evictOutdated(now)
		stored = &entry{}
		r.entries[record.GetId()] = stored
	}
	previous, wasLost := stored.record, stored.record != nil && r.isLost(stored)
	if previous.GetStartedMs() != record.GetStartedMs() || record.GetState() == aubwire.BackendState_BACKEND_STATE_GONE {
		r.endLeaving(stored)
	}
	if previous.GetStartedMs() != record.GetStartedMs() {
		stored.isSuspected, stored.isSuperseded, stored.leavingSaidAt = false, false, time.Time{}
		stored.hasPredecessor = r.isLaterStart(record, previous)
	}
	r.noteConfirmed(stored, record, now)
	stored.record, stored.receivedAt, stored.isLocal = record, now, isLocal
	if r.isNamed(record) {
		r.newestReceivedAt = now
	}
	if r.observe != nil {
		r.observe(record)
	}
	hasSameTopology := sameTopology(previous, record)
	if hasSameTopology && !wasLost && record.GetState() == aubwire.BackendState_BACKEND_STATE_READY {
		r.markRenewed(stored)
		return
	}
	r.markChanged(stored)
	if !hasSameTopology {
		r.topologyVersion++
		r.logChange(previous, record)
	}
}

// inherit returns the record with the parts of the stored record that a registration of
// the same incarnation must not reset: a later state and a newer unloading list.
func (r *Registry) inherit(record *aubwire.BackendRecord, stored *entry) *aubwire.BackendRecord {
	if stored == nil || stored.record.GetStartedMs() != record.GetStartedMs() {
		return record
	}
	next := cloneRecord(record)
	next.State = max(record.GetState(), stored.record.GetState())
	if next.GetUnloadingRevision() < stored.record.GetUnloadingRevision() {
		next.Unloading, next.UnloadingRevision = stored.record.GetUnloading(), stored.record.GetUnloadingRevision()
	}
	return next
}

// mergeUnloading applies a newer unloading list of a record whose registration is not
// newer than the stored one; the caller holds mu.
func (r *Registry) mergeUnloading(stored *entry, record *aubwire.BackendRecord) {
	isNewer := record.GetUnloadingRevision() > stored.record.GetUnloadingRevision()
	if !isNewer || record.GetStartedMs() != stored.record.GetStartedMs() {
		return
	}
	next := cloneRecord(stored.record)
	next.Unloading, next.UnloadingRevision = record.GetUnloading(), record.GetUnloadingRevision()
	stored.record, stored.isLocal = next, false
	r.markChanged(stored)
	r.topologyVersion++
}

// mergeState applies a later state that a control process has learned of otherwise than by a
// registration; the caller holds mu.
func (r *Registry) mergeState(stored *entry, record *aubwire.BackendRecord) {
	isLater := record.GetState() > stored.record.GetState()
	if !isLater || record.GetStartedMs() != stored.record.GetStartedMs() {
		return
	}
	previous, next := stored.record, cloneRecord(stored.record)
	next.State = record.GetState()
	stored.record, stored.isLocal = next, false
	r.markChanged(stored)
	r.topologyVersion++
	r.logChange(previous, next)
}

// supersedeAddress marks the other backend servers at the record's address as gone. It
// returns false if one of them started later; the caller holds mu.
func (r *Registry) supersedeAddress(record *aubwire.BackendRecord) bool {
	if stored := r.entries[record.GetId()]; stored != nil && stored.record.GetAddress() == record.GetAddress() &&
		stored.record.GetState() != aubwire.BackendState_BACKEND_STATE_GONE {
		// All others at the address ended when this one came.
		return true
	}
	for id, other := range r.entries {
		if id == record.GetId() || other.record.GetAddress() != record.GetAddress() ||
			other.record.GetState() == aubwire.BackendState_BACKEND_STATE_GONE {
			continue
		}
		if other.record.GetStartedMs() > record.GetStartedMs() && !r.outranks(record, other.record) {
			return false
		}
		other.isSuperseded = other.record.GetState() == aubwire.BackendState_BACKEND_STATE_READY
		superseded := cloneRecord(other.record)
		superseded.State = aubwire.BackendState_BACKEND_STATE_GONE
		r.endLeaving(other)
		other.record = superseded
		r.markChanged(other)
		r.topologyVersion++
	}
	return true
}

// markRenewed gives the entry a new version without notifying the watchers, which receive
// it with their next periodic response: a registration that only says that the backend server
// still runs matters after seconds. The caller holds mu.
func (r *Registry) markRenewed(e *entry) {
	r.version++
	e.version = r.version
}

// markChanged gives the entry a new version and notifies the watchers; the caller holds
// mu.
func (r *Registry) markChanged(e *entry) {
	r.markRenewed(e)
	if e.record.GetState() != aubwire.BackendState_BACKEND_STATE_READY {
		r.departures++
		close(r.departed)
		r.departed = make(chan struct{})
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// evictOutdated removes the records of gone backend servers that were received more than
// recordRetention ago, and of others too while there are more than maxRecords; the
// caller holds mu.
func (r *Registry) evictOutdated(now time.Time) {
	for id, e := range r.entries {
		isOutdated := now.Sub(e.receivedAt) > recordRetention
		if isOutdated && (r.isExpired(e) || e.record.GetState() == aubwire.BackendState_BACKEND_STATE_GONE || len(r.entries) > maxRecords) {
			r.endLeaving(e)
			delete(r.entries, id)
		}
	}
}

// changes are the records that changed after a version of the registry.
type changes struct {
	records []*aubwire.BackendRecord
	// version is the registry's version that the records lead to.
	version uint64
	// changed is closed by the next change, except that of a registration which repeats what is
	// known; departed by the next change of a record that is not ready.
	changed, departed <-chan struct{}
}

// changesSince returns the records that changed after the version. Version 0 returns all records, a
// later one only those that this process received directly, because watchers are also connected to
// the other control processes. Lost backend servers are left out.
func (r *Registry) changesSince(version uint64) changes {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := changes{version: r.version, changed: r.changed, departed: r.departed}
	for _, e := range r.entries {
		if e.version <= version || version > 0 && !e.isLocal || r.isLost(e) {
			continue
		}
		c.records = append(c.records, e.agedRecord(r.common.Timer.Now()))
	}
	return c
}

// ChangedSince returns the records that changed after the version, the current version and
// a channel that is closed by the next change.
func (r *Registry) ChangedSince(version uint64) ([]*aubwire.BackendRecord, uint64, <-chan struct{}) {
	c := r.changesSince(version)
	return c.records, c.version, c.changed
}

// Records returns the records of all backend servers that are neither lost nor gone.
func (r *Registry) Records() []*aubwire.BackendRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var records []*aubwire.BackendRecord
	for _, e := range r.entries {
		if r.isPresent(e) {
			records = append(records, e.record)
		}
	}
	return records
}

// Zones returns the zones of all registered backend servers, also of those that are lost or
// gone but still stored.
func (r *Registry) Zones() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	zones := make(map[string]bool)
	for _, e := range r.entries {
		if zone := e.record.GetZone(); zone != "" && !e.isUnconfirmed() {
			zones[zone] = true
		}
	}
	return zones
}

// View implements aubmembership.Source.
func (r *Registry) View() aubmembership.View {
	now := r.common.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view.TopologyVersion() == r.topologyVersion && now.Sub(r.viewAt) < maxViewAge {
		return r.view
	}
	members := make([]aubmembership.Member, 0, len(r.entries))
	for _, e := range r.entries {
		if !r.isPresent(e) {
			continue
		}
		members = append(members, aubmembership.Member{Announcement: announcementOf(e.record), ReceivedAt: e.receivedAt, Unconfirmed: e.isUnconfirmed()})
	}
	if len(members) != len(r.view.Members()) {
		r.topologyVersion++
	}
	r.view = aubmembership.NewView(now, members...).WithTopologyVersion(r.topologyVersion)
	r.viewAt = now
	return r.view
}

// isPresent reports whether the backend server is neither gone nor lost; the caller holds
// mu.
func (r *Registry) isPresent(e *entry) bool {
	return e.record.GetState() != aubwire.BackendState_BACKEND_STATE_GONE && !r.isLost(e)
}

// setSuspect marks the backend server as lost until it registers with a higher sequence;
// the caller holds mu.
func (r *Registry) setSuspect(e *entry, sequence int64) {
	e.suspectSequence, e.isSuspected, e.suspectSince = sequence, true, r.common.Timer.Now()
	r.topologyVersion++
}

// isLost reports whether the backend server's registrations stopped while those of others
// are received, whether it is suspect, or whether its unconfirmed record has expired; the
// caller holds mu.
func (r *Registry) isLost(e *entry) bool {
	return r.isExpired(e) || r.newestReceivedAt.Sub(e.receivedAt) > r.timeout || e.isSuspected && e.record.GetSequence() <= e.suspectSequence
}

// IncarnationStatus is what is known of one incarnation of a backend server.
type IncarnationStatus int

// Statuses of an incarnation.
const (
	// StatusRunning: there is no sign that it has ended.
	StatusRunning IncarnationStatus = iota
	// StatusLeaving: it has announced its departure, or is not known.
	StatusLeaving
	// StatusEnded: it ended without an announcement. It refuses connections, or a later
	// incarnation has taken its id or address.
	StatusEnded
)

// Status returns what is known of an incarnation.
func (r *Registry) Status(id string, startedMs int64) IncarnationStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored := r.entries[id]
	switch {
	case stored == nil, r.isExpired(stored):
		return StatusLeaving
	case stored.record.GetStartedMs() > startedMs, stored.isSuperseded:
		return StatusEnded
	case stored.record.GetState() != aubwire.BackendState_BACKEND_STATE_READY:
		return StatusLeaving
	case stored.isSuspected && stored.record.GetSequence() <= stored.suspectSequence:
		return StatusEnded
	}
	return StatusRunning
}

// MarkSuspect marks a backend server that refused a connection as lost until it registers
// again. It does nothing for another incarnation than the stored one.
func (r *Registry) MarkSuspect(id string, startedMs int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored := r.entries[id]
	if stored == nil || stored.record.GetStartedMs() != startedMs || r.isLost(stored) {
		return
	}
	r.setSuspect(stored, stored.record.GetSequence())
	r.common.Log.Warn("Backend server refuses connections; it counts as lost until it registers again.",
		zap.String("backend_server", id), zap.Int64("started_ms", startedMs), zap.Int64("sequence", stored.suspectSequence))
}

// Suspects returns the backend servers that became suspect within the timeout and have not
// registered since.
func (r *Registry) Suspects() []*aubwire.SuspectBackend {
	r.mu.Lock()
	defer r.mu.Unlock()
	var suspects []*aubwire.SuspectBackend
	for id, e := range r.entries {
		if e.isSuspected && e.record.GetSequence() <= e.suspectSequence && r.common.Timer.Now().Sub(e.suspectSince) < r.timeout {
			suspects = append(suspects, &aubwire.SuspectBackend{Id: id, StartedMs: e.record.GetStartedMs(), Sequence: e.suspectSequence})
		}
	}
	return suspects
}

// MergeSuspects marks the suspects reported by another process as lost, except those that
// have registered since.
func (r *Registry) MergeSuspects(suspects []*aubwire.SuspectBackend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, suspect := range suspects {
		stored := r.entries[suspect.GetId()]
		if stored == nil || stored.record.GetStartedMs() != suspect.GetStartedMs() || stored.record.GetSequence() > suspect.GetSequence() || r.isLost(stored) {
			continue
		}
		r.setSuspect(stored, suspect.GetSequence())
	}
}

// logChange logs a new incarnation or a change of state.
func (r *Registry) logChange(previous, current *aubwire.BackendRecord) {
	if previous.GetState() == current.GetState() && previous.GetStartedMs() == current.GetStartedMs() {
		return
	}
	r.common.Log.Info("Backend server changed its state.",
		zap.String("backend_server", current.GetId()),
		zap.String("service", current.GetService()),
		zap.String("address", current.GetAddress()),
		zap.String("software", current.GetSoftware()),
		zap.Int64("started_ms", current.GetStartedMs()),
		zap.Int64("sequence", current.GetSequence()),
		zap.Stringer("state", current.GetState()))
}

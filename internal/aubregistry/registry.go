// Package aubregistry keeps what backend servers register of themselves, brings
// it to every relay, and gathers the relays' load. A registration may arrive
// late, twice or after that of a newer incarnation; only the newest counts.
package aubregistry

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// DefaultTimeout is how much later than a backend server others must have been
	// heard before it counts as lost: three heartbeats of 1.2 s and one second.
	DefaultTimeout = 4600 * time.Millisecond
	// viewAge bounds the age of a cached view.
	viewAge = 100 * time.Millisecond
	// maxRecords bounds the backend servers remembered, gone ones included.
	maxRecords = 20000
	// goneMemory is how long a backend server that left is remembered, so that a
	// late registration doesn't bring it back.
	goneMemory = 2 * time.Minute
)

// entry is one record with its local history.
type entry struct {
	record  *aubwire.BackendRecord
	heardAt time.Time
	// version is the registry's version at the last change.
	version uint64
	// suspected is the sequence at which nothing listened at the address; the
	// backend server counts as lost until it registers anew.
	suspected    int64
	isSuspected  bool
	suspectSince time.Time
	// local is set when this process received the registration itself.
	local bool
}

// Registry holds the newest record of each backend server.
//
// Lock order: mu is taken alone.
type Registry struct {
	common  aubcommon.Common
	timeout time.Duration

	mu      sync.Mutex
	entries map[string]*entry
	version uint64
	shape   uint64
	changed chan struct{}
	// newest is when any record was last heard. Silence of all means that this
	// process hears nothing, not that all are lost.
	newest time.Time
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
		changed: make(chan struct{}),
	}
}

// Register takes in a registration that this process received itself and
// returns the version that includes it.
func (r *Registry) Register(record *aubwire.BackendRecord) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(record, true)
	return r.version
}

// Leave notes that the backend server of the id ends, unless a newer
// incarnation than the given one registered; 0 means the one known.
func (r *Registry) Leave(id string, startedMs int64) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.entries[id]
	if held == nil || startedMs != 0 && startedMs < held.record.GetStartedMs() {
		return r.version
	}
	next := cloneRecord(held.record)
	next.State = aubwire.BackendState_BACKEND_STATE_GONE
	next.Sequence++
	r.apply(next, true)
	return r.version
}

// Merge takes in records that another control process sent.
func (r *Registry) Merge(records []*aubwire.BackendRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		r.apply(record, false)
	}
}

// SetUnloading marks the models of a backend server that are about to be
// dropped.
func (r *Registry) SetUnloading(id string, models []string, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.entries[id]
	if held == nil || slices.Equal(held.record.GetUnloading(), models) {
		return
	}
	next := cloneRecord(held.record)
	next.Unloading, next.UnloadingRevision = models, revision
	held.record = next
	held.local = true
	r.touch(held)
	r.shape++
}

// apply merges one record; the caller holds mu.
func (r *Registry) apply(record *aubwire.BackendRecord, local bool) {
	held := r.entries[record.GetId()]
	now := r.common.Timer.Now()
	if held != nil && !supersedes(record, held.record) {
		r.mergeUnloading(held, record)
		if local && record.GetStartedMs() == held.record.GetStartedMs() && record.GetSequence() == held.record.GetSequence() {
			held.heardAt = now
		}
		return
	}
	if record.GetState() != aubwire.BackendState_BACKEND_STATE_GONE && !r.takeAddress(record) {
		return
	}
	record = r.inherit(record, held)
	if held == nil {
		r.forget(now)
		held = &entry{}
		r.entries[record.GetId()] = held
	}
	before := held.record
	if before.GetStartedMs() != record.GetStartedMs() {
		held.isSuspected = false
	}
	held.record, held.heardAt, held.local = record, now, local
	r.newest = now
	r.touch(held)
	if !sameShape(before, record) {
		r.shape++
		r.logChange(before, record)
	}
}

// inherit keeps what a registration of the same incarnation doesn't carry: a
// state that was further on, and the models marked for unloading.
func (r *Registry) inherit(record *aubwire.BackendRecord, held *entry) *aubwire.BackendRecord {
	if held == nil || held.record.GetStartedMs() != record.GetStartedMs() {
		return record
	}
	next := cloneRecord(record)
	next.State = max(record.GetState(), held.record.GetState())
	if next.GetUnloadingRevision() < held.record.GetUnloadingRevision() {
		next.Unloading, next.UnloadingRevision = held.record.GetUnloading(), held.record.GetUnloadingRevision()
	}
	return next
}

// mergeUnloading takes over a newer list of models to be dropped that comes with
// a registration that is known already; the caller holds mu.
func (r *Registry) mergeUnloading(held *entry, record *aubwire.BackendRecord) {
	isNewer := record.GetUnloadingRevision() > held.record.GetUnloadingRevision()
	if !isNewer || record.GetStartedMs() != held.record.GetStartedMs() {
		return
	}
	next := cloneRecord(held.record)
	next.Unloading, next.UnloadingRevision = record.GetUnloading(), record.GetUnloadingRevision()
	held.record, held.local = next, false
	r.touch(held)
	r.shape++
}

// takeAddress ends older backend servers at the record's address. It returns
// false when a newer one is there.
func (r *Registry) takeAddress(record *aubwire.BackendRecord) bool {
	for id, other := range r.entries {
		if id == record.GetId() || other.record.GetAddress() != record.GetAddress() ||
			other.record.GetState() == aubwire.BackendState_BACKEND_STATE_GONE {
			continue
		}
		if other.record.GetStartedMs() > record.GetStartedMs() {
			return false
		}
		ended := cloneRecord(other.record)
		ended.State = aubwire.BackendState_BACKEND_STATE_GONE
		other.record = ended
		r.touch(other)
		r.shape++
	}
	return true
}

// touch gives the entry a new version and wakes the watchers; the caller holds mu.
func (r *Registry) touch(e *entry) {
	r.version++
	e.version = r.version
	close(r.changed)
	r.changed = make(chan struct{})
}

// forget drops backend servers that left long ago; the caller holds mu.
func (r *Registry) forget(now time.Time) {
	for id, e := range r.entries {
		isOld := now.Sub(e.heardAt) > goneMemory
		if isOld && (e.record.GetState() == aubwire.BackendState_BACKEND_STATE_GONE || len(r.entries) > maxRecords) {
			delete(r.entries, id)
		}
	}
}

// Since returns the records that changed after the version, the present version
// and a channel that is closed by the next change. The first call of a watcher,
// with version 0, returns everything; later ones what this process received
// itself, because watchers hear the rest from the process that did.
func (r *Registry) Since(version uint64) ([]*aubwire.BackendRecord, uint64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var records []*aubwire.BackendRecord
	for _, e := range r.entries {
		if e.version <= version || version > 0 && !e.local || r.lost(e) {
			continue
		}
		records = append(records, e.record)
	}
	return records, r.version, r.changed
}

// Records returns the records of all backend servers that are not lost or gone.
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

// View implements aubmembership.Source.
func (r *Registry) View() aubmembership.View {
	now := r.common.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view.Shape() == r.shape && now.Sub(r.viewAt) < viewAge {
		return r.view
	}
	members := make([]aubmembership.Member, 0, len(r.entries))
	for _, e := range r.entries {
		if !r.isPresent(e) {
			continue
		}
		members = append(members, aubmembership.Member{Announcement: announcementOf(e.record), HeardAt: e.heardAt})
	}
	if len(members) != len(r.view.Members()) {
		r.shape++
	}
	r.view = aubmembership.NewView(now, members...).WithShape(r.shape)
	r.viewAt = now
	return r.view
}

// isPresent reports whether the backend server neither left nor is lost; the caller
// holds mu.
func (r *Registry) isPresent(e *entry) bool {
	return e.record.GetState() != aubwire.BackendState_BACKEND_STATE_GONE && !r.lost(e)
}

// suspect counts the backend server as lost until it registers anew; the caller
// holds mu.
func (r *Registry) suspect(e *entry, sequence int64) {
	e.suspected, e.isSuspected, e.suspectSince = sequence, true, r.common.Timer.Now()
	r.shape++
}

// lost reports whether the backend server is silent while others are heard; the
// caller holds mu.
func (r *Registry) lost(e *entry) bool {
	return r.newest.Sub(e.heardAt) > r.timeout || e.isSuspected && e.record.GetSequence() <= e.suspected
}

// Suspect notes that nothing listens at a backend server's address.
func (r *Registry) Suspect(id string, startedMs int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.entries[id]
	if held == nil || held.record.GetStartedMs() != startedMs || r.lost(held) {
		return
	}
	r.suspect(held, held.record.GetSequence())
	r.common.Log.Warn("Backend server refuses connections; it counts as lost until it registers again.",
		zap.String("backend_server", id), zap.Int64("started_ms", startedMs), zap.Int64("sequence", held.suspected))
}

// Suspects lists the backend servers that count as lost since a refused connection.
func (r *Registry) Suspects() []*aubwire.SuspectBackend {
	r.mu.Lock()
	defer r.mu.Unlock()
	var suspects []*aubwire.SuspectBackend
	for id, e := range r.entries {
		if e.isSuspected && e.record.GetSequence() <= e.suspected && r.common.Timer.Now().Sub(e.suspectSince) < r.timeout {
			suspects = append(suspects, &aubwire.SuspectBackend{Id: id, StartedMs: e.record.GetStartedMs(), Sequence: e.suspected})
		}
	}
	return suspects
}

// TakeSuspects takes in the suspicions of another process, unless the backend
// server has registered since.
func (r *Registry) TakeSuspects(suspects []*aubwire.SuspectBackend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range suspects {
		held := r.entries[s.GetId()]
		if held == nil || held.record.GetStartedMs() != s.GetStartedMs() || held.record.GetSequence() > s.GetSequence() || r.lost(held) {
			continue
		}
		r.suspect(held, s.GetSequence())
	}
}

func (r *Registry) logChange(before, after *aubwire.BackendRecord) {
	if before.GetState() == after.GetState() && before.GetStartedMs() == after.GetStartedMs() {
		return
	}
	r.common.Log.Info("Backend server changed its state.",
		zap.String("backend_server", after.GetId()),
		zap.String("service", after.GetService()),
		zap.String("address", after.GetAddress()),
		zap.Int64("started_ms", after.GetStartedMs()),
		zap.Int64("sequence", after.GetSequence()),
		zap.Stringer("state", after.GetState()))
}

package aubregistry

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubincarnation"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// maxIncarnations is the number of committed incarnations above which those that were noted more
// than recordRetention ago are dropped.
const maxIncarnations = 10000

// Incarnations is the replicated table of incarnations.
type Incarnations interface {
	// ChangedSince returns the incarnations that changed after the position in the log, the position
	// up to which they are complete, and a channel that is closed by the next change.
	ChangedSince(index uint64) ([]*aubwire.Incarnation, uint64, <-chan struct{})
}

// notedIncarnation is a committed incarnation with the time at which this process learned of it.
type notedIncarnation struct {
	incarnation *aubwire.Incarnation
	notedAt     time.Time
}

// NoteIncarnations applies what is committed about incarnations: registrations of earlier ones are
// ignored, those of the same one don't take back its state.
func (r *Registry) NoteIncarnations(incarnations []*aubwire.Incarnation) {
	if len(incarnations) == 0 {
		return
	}
	now := r.common.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropNoted(now)
	for _, incarnation := range incarnations {
		key := aubincarnation.KeyOf(incarnation)
		r.incarnations[key] = notedIncarnation{
			incarnation: aubincarnation.Merge(r.incarnations[key].incarnation, incarnation), notedAt: now,
		}
		if stored := r.entries[incarnation.GetId()]; stored != nil {
			r.enforceIncarnation(stored)
		}
	}
}

// dropNoted drops the incarnations that no registration can bring back any more; the caller holds mu.
func (r *Registry) dropNoted(now time.Time) {
	retention := aubincarnation.Retention
	if len(r.incarnations) > maxIncarnations {
		retention = recordRetention
	}
	for key, noted := range r.incarnations {
		if now.Sub(noted.notedAt) > retention {
			delete(r.incarnations, key)
		}
	}
}

// committedIncarnation returns what is committed about the newest incarnation with the id, of the
// service or of one that was not known; nil for nothing. The caller holds mu.
func (r *Registry) committedIncarnation(id, service string) *aubwire.Incarnation {
	committed := r.incarnations[aubincarnation.Key{ID: id, Service: service}].incarnation
	if unnamed := r.incarnations[aubincarnation.Key{ID: id}].incarnation; unnamed != nil {
		committed = aubincarnation.Merge(committed, unnamed)
	}
	return committed
}

// enforceIncarnation ends the incarnation of an entry, or sets its state, as is committed. This
// process passes the change on to watchers, because the one that made it may not have reached them all.
// The caller holds mu.
func (r *Registry) enforceIncarnation(e *entry) {
	committed := r.committedIncarnation(e.record.GetId(), e.record.GetService())
	startedMs, state := e.record.GetStartedMs(), e.record.GetState()
	switch {
	case startedMs < committed.GetStartedMs():
		state = aubwire.BackendState_BACKEND_STATE_GONE
	case startedMs == committed.GetStartedMs():
		e.hasPredecessor = false
		state = max(state, committed.GetState())
	}
	if state == e.record.GetState() {
		return
	}
	if startedMs < committed.GetStartedMs() {
		e.isSuperseded = e.record.GetState() == aubwire.BackendState_BACKEND_STATE_READY
	}
	previous, next := e.record, cloneRecord(e.record)
	next.State = state
	if state == aubwire.BackendState_BACKEND_STATE_GONE {
		r.endLeaving(e)
	}
	e.record, e.isLocal = next, true
	r.markChanged(e)
	r.topologyVersion++
	r.logChange(previous, next)
}

// limitToCommitted returns the record with the state that is committed for its incarnation; nil for a
// record of an earlier incarnation. The caller holds mu.
func (r *Registry) limitToCommitted(record *aubwire.BackendRecord, isLocal bool) *aubwire.BackendRecord {
	committed := r.committedIncarnation(record.GetId(), record.GetService())
	isEarlier := record.GetStartedMs() < committed.GetStartedMs()
	if committed == nil || !isEarlier && (record.GetStartedMs() > committed.GetStartedMs() || record.GetState() >= committed.GetState()) {
		return record
	}
	if isLocal {
		r.common.Metrics.Counter("outdated_registrations").Inc(1)
		r.common.Log.Info("Registration ignored: a departure or a later start of the backend server is committed.",
			zap.String("backend_server", record.GetId()), zap.String("service", record.GetService()), zap.String("address", record.GetAddress()),
			zap.Int64("started_ms", record.GetStartedMs()), zap.Int64("sequence", record.GetSequence()), zap.Stringer("state", record.GetState()),
			zap.Int64("committed_started_ms", committed.GetStartedMs()), zap.Int64("committed_sequence", committed.GetSequence()),
			zap.Stringer("committed_state", committed.GetState()))
	}
	if isEarlier {
		return nil
	}
	limited := cloneRecord(record)
	limited.State = committed.GetState()
	return limited
}

// isLaterStart reports whether an incarnation before that of the record is known, by the previous record or
// because it is committed, and the record's own start is not committed. The caller holds mu.
func (r *Registry) isLaterStart(record, previous *aubwire.BackendRecord) bool {
	known := max(previous.GetStartedMs(), r.committedIncarnation(record.GetId(), record.GetService()).GetStartedMs())
	return known > 0 && known < record.GetStartedMs()
}

// notePredecessor notes a registration or departure of an incarnation before that of the entry; the
// caller holds mu.
func (e *entry) notePredecessor(startedMs int64) {
	if startedMs > 0 && startedMs < e.record.GetStartedMs() {
		e.hasPredecessor = true
	}
}

// uncommittedStart returns the registered incarnation of the backend server if an earlier one is known
// and its start is not committed, else nil.
func (r *Registry) uncommittedStart(id string, startedMs int64) *aubwire.Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored := r.entries[id]
	if stored == nil || !stored.hasPredecessor || stored.record.GetStartedMs() != startedMs || stored.record.GetState() != aubwire.BackendState_BACKEND_STATE_READY {
		return nil
	}
	return incarnationOf(stored.record)
}

// newestIncarnation returns what is known of the newest incarnation with the id of the service, of any if
// it is empty; nil for nothing. The caller holds mu.
func (r *Registry) newestIncarnation(id, service string) *aubwire.Incarnation {
	var newest *aubwire.Incarnation
	if stored := r.entries[id]; stored != nil && !isUnnamedDeparture(stored.record) && (service == "" || stored.record.GetService() == service) {
		newest = incarnationOf(stored.record)
	}
	add := func(incarnation *aubwire.Incarnation) {
		if incarnation != nil && (newest == nil || incarnation.GetStartedMs() > newest.GetStartedMs()) {
			newest = incarnation
		}
	}
	if service != "" {
		add(r.committedIncarnation(id, service))
		return newest
	}
	for key, noted := range r.incarnations {
		if key.ID == id {
			add(noted.incarnation)
		}
	}
	return newest
}

// afterDeparture returns the newest incarnation of a backend server after a departure, which was applied
// before. A departure without a service and a start is that of the newest known one; the result is nil if
// none is known.
func (r *Registry) afterDeparture(departure *aubwire.Incarnation) *aubwire.Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := r.newestIncarnation(departure.GetId(), departure.GetService())
	isUnnamed := departure.GetService() == "" && departure.GetStartedMs() == 0
	switch {
	case newest == nil && isUnnamed:
		return nil
	case newest == nil || departure.GetStartedMs() > newest.GetStartedMs():
		return departure
	case departure.GetStartedMs() < newest.GetStartedMs() && !isUnnamed:
		return newest
	}
	after := proto.CloneOf(newest)
	after.State = max(newest.GetState(), departure.GetState())
	return after
}

func incarnationOf(record *aubwire.BackendRecord) *aubwire.Incarnation {
	return &aubwire.Incarnation{
		Id: record.GetId(), Service: record.GetService(), StartedMs: record.GetStartedMs(),
		Sequence: record.GetSequence(), State: record.GetState(),
	}
}

// Register applies a registration of a ready backend server that this process received directly. Its
// software version is committed first, so that no stream begins at a version that a restart of all
// processes would forget. Versions of services that the configuration doesn't name take no room in the
// replicated table: other writers may state any number of them. A start after an earlier incarnation
// is used at once and committed before the call returns. Errors are *aubresume.CommitError and
// *aubincarnation.CommitError.
func (s *Server) Register(ctx context.Context, record *aubwire.BackendRecord) error {
	if s.opts.Registry.NamesService(record.GetService()) {
		if err := s.opts.EnsureSoftware(ctx, record.GetService(), record.GetSoftware()); err != nil {
			return err
		}
	}
	s.opts.Registry.Register(record)
	started := s.opts.Registry.uncommittedStart(record.GetId(), record.GetStartedMs())
	if started == nil {
		return nil
	}
	return s.commit(ctx, started)
}

// Leave applies a registration of a backend server that is no longer ready. It returns once every
// connected relay has acknowledged that and it is committed. It does not commit the software version;
// the leader does so later. The error is *DepartureError.
func (s *Server) Leave(ctx context.Context, record *aubwire.BackendRecord) error {
	version := s.opts.Registry.Register(record)
	return s.confirmDeparture(ctx, s.opts.Registry.afterDeparture(incarnationOf(record)), version)
}

// Deregister marks a backend server as gone, and returns as Leave does. A departure that states no
// start is that of the newest known incarnation; without one it can't be told apart from a departure
// of the next incarnation, and is refused. The error is *DepartureError.
func (s *Server) Deregister(ctx context.Context, id string, startedMs int64) error {
	version := s.opts.Registry.Deregister(id, startedMs)
	departed := s.opts.Registry.afterDeparture(&aubwire.Incarnation{Id: id, StartedMs: startedMs, State: aubwire.BackendState_BACKEND_STATE_GONE})
	if departed == nil {
		s.common.Log.Warn("Departure refused: no incarnation of the backend server is known.", zap.String("backend_server", id))
		return &DepartureError{ID: id, Reason: "no incarnation is known"}
	}
	return s.confirmDeparture(ctx, departed, version)
}

// confirmDeparture commits the departed incarnation and meanwhile waits until every connected relay has
// acknowledged the registry's version.
func (s *Server) confirmDeparture(ctx context.Context, departed *aubwire.Incarnation, version uint64) error {
	startedAt := s.common.Timer.Now()
	committed := make(chan error, 1)
	go func() { committed <- s.commit(ctx, departed) }()
	isApplied := s.AwaitRelayAcks(ctx, version)
	err := <-committed
	s.common.Metrics.Timer("departure_time").Record(s.common.Timer.Now().Sub(startedAt))
	s.common.Log.Info("Departure of a backend server received.",
		zap.String("backend_server", departed.GetId()), zap.Int64("started_ms", departed.GetStartedMs()), zap.Int64("sequence", departed.GetSequence()),
		zap.Stringer("state", departed.GetState()), zap.Uint64("registry_version", version), zap.Bool("confirmed", isApplied),
		zap.Bool("committed", err == nil), zap.Int64("took_ms", s.common.Timer.Now().Sub(startedAt).Milliseconds()), zap.Error(err))
	switch {
	case err != nil:
		return &DepartureError{ID: departed.GetId(), Reason: "it is not committed", Err: err}
	case !isApplied:
		return &DepartureError{ID: departed.GetId(), Reason: "relays did not confirm it"}
	}
	return nil
}

// commit commits an incarnation, unless this process has no replicated table.
func (s *Server) commit(ctx context.Context, incarnation *aubwire.Incarnation) error {
	if s.opts.EnsureIncarnation == nil {
		return nil
	}
	return s.opts.EnsureIncarnation(ctx, incarnation)
}

// committedIncarnations returns the committed incarnations for the stream, once and not before the state
// is confirmed; nil otherwise.
func (w *watcher) committedIncarnations() []*aubwire.Incarnation {
	if w.hasSentIncarnations || w.server.opts.Incarnations == nil || !w.server.opts.Confirmed() {
		return nil
	}
	w.hasSentIncarnations = true
	incarnations, _, _ := w.server.opts.Incarnations.ChangedSince(0)
	return incarnations
}

package aubregistry

import (
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// MarkLeaving marks an incarnation of a backend server as leaving, because its answer to the
// request said so. The incarnation gets no further requests; a later one is not affected.
func (r *Registry) MarkLeaving(requestID, id string, startedMs int64) {
	now := r.common.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	stored := r.entries[id]
	if stored == nil || stored.record.GetStartedMs() != startedMs || !stored.leavingSaidAt.IsZero() {
		return
	}
	stored.leavingSaidAt = now
	r.setLeaving(stored, zap.String("request_id", requestID), 0)
}

// Leaving returns the backend servers whose answers to this process said that they leave, so
// that control processes and other relays hear of it.
func (r *Registry) Leaving() []*aubwire.LeavingBackend {
	now := r.common.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var leaving []*aubwire.LeavingBackend
	for id, e := range r.entries {
		if !e.leavingSaidAt.IsZero() && e.record.GetState() != aubwire.BackendState_BACKEND_STATE_GONE {
			leaving = append(leaving, &aubwire.LeavingBackend{Id: id, StartedMs: e.record.GetStartedMs(), SaidAgoMs: now.Sub(e.leavingSaidAt).Milliseconds()})
		}
	}
	return leaving
}

// MergeLeaving marks the backend servers as leaving whose answers to the relay said so.
func (r *Registry) MergeLeaving(relay string, leaving []*aubwire.LeavingBackend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, backend := range leaving {
		stored := r.entries[backend.GetId()]
		if stored != nil && stored.record.GetStartedMs() == backend.GetStartedMs() {
			r.setLeaving(stored, zap.String("reported_by", relay), time.Duration(backend.GetSaidAgoMs())*time.Millisecond)
		}
	}
}

// setLeaving sets the state of a ready backend server and passes the change on to watchers;
// the caller holds mu.
func (r *Registry) setLeaving(e *entry, source zap.Field, age time.Duration) {
	if e.record.GetState() >= aubwire.BackendState_BACKEND_STATE_DRAINING {
		return
	}
	e.leavingSince, e.leavingSource = r.common.Timer.Now().Add(-age), source
	next := cloneRecord(e.record)
	next.State = aubwire.BackendState_BACKEND_STATE_DRAINING
	e.record, e.isLocal = next, true
	r.markChanged(e)
	r.topologyVersion++
	r.common.Log.Info("Backend server leaves by its own answer.",
		source, zap.String("backend_server", next.GetId()), zap.String("service", next.GetService()),
		zap.Int64("started_ms", next.GetStartedMs()), zap.Int64("sequence", next.GetSequence()), zap.Int64("age_ms", age.Milliseconds()))
}

// endLeaving logs that the departure of an incarnation, which answers announced, is over
// because it is gone or another one has started; the caller holds mu.
func (r *Registry) endLeaving(e *entry) {
	if e.leavingSince.IsZero() {
		return
	}
	r.common.Log.Info("Departure by a backend server's own answer ended.",
		e.leavingSource, zap.String("backend_server", e.record.GetId()), zap.String("service", e.record.GetService()),
		zap.Int64("started_ms", e.record.GetStartedMs()), zap.Int64("age_ms", r.common.Timer.Now().Sub(e.leavingSince).Milliseconds()))
	e.leavingSince = time.Time{}
}

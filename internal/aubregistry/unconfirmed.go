package aubregistry

import (
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// unconfirmedLifetime is how long after the start of a control process the records of its
// snapshot may be used: each backend server that still runs has registered by then, twice at the
// platform's interval of 1.2 s.
const unconfirmedLifetime = 3 * time.Second

// isUnconfirmed reports whether the record is from a snapshot.
func (e *entry) isUnconfirmed() bool { return !e.unconfirmedUntil.IsZero() }

// isConfirmedBy reports whether the record, which is from the backend server itself, replaces an
// unconfirmed one of the same incarnation; any such message does, whatever its sequence.
func (e *entry) isConfirmedBy(record *aubwire.BackendRecord) bool {
	return e.isUnconfirmed() && e.record.GetStartedMs() == record.GetStartedMs()
}

// isExpired reports whether an unconfirmed record of a ready backend server may no longer be
// used. Departures don't expire; the caller holds mu.
func (r *Registry) isExpired(e *entry) bool {
	return e.isUnconfirmed() && e.record.GetState() == aubwire.BackendState_BACKEND_STATE_READY && !r.common.Timer.Now().Before(e.unconfirmedUntil)
}

// isUnnamedDeparture reports whether the record is the departure of a backend server that was not
// known when it departed, without its incarnation.
func isUnnamedDeparture(record *aubwire.BackendRecord) bool {
	return record.GetStartedMs() == 0 && record.GetState() == aubwire.BackendState_BACKEND_STATE_GONE
}

// IsConfirmed reports whether the incarnation is known from the backend server itself.
func (r *Registry) IsConfirmed(id string, startedMs int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored := r.entries[id]
	return stored != nil && stored.record.GetStartedMs() == startedMs && !stored.isUnconfirmed()
}

// RejectUnconfirmed ends the use of an unconfirmed record, because the answer to the request
// said that another backend server is at its address or that it lacks the model. It does nothing
// for a confirmed record or another incarnation.
func (r *Registry) RejectUnconfirmed(requestID, id string, startedMs int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored := r.entries[id]
	if stored == nil || !stored.isConfirmedBy(&aubwire.BackendRecord{StartedMs: startedMs}) || r.isLost(stored) {
		return
	}
	r.setSuspect(stored, stored.record.GetSequence())
	r.common.Log.Info("Unconfirmed backend server turned a request away; it counts as lost until it registers.",
		zap.String("request_id", requestID), zap.String("backend_server", id), zap.Int64("started_ms", startedMs),
		zap.Int64("heard_ms", r.common.Timer.Now().Sub(stored.heardAt).Milliseconds()))
}

// applyUnconfirmed merges a record from a snapshot; the caller holds mu. Where the backend server
// itself was heard of, only a later state of the same incarnation counts. No software version is
// noted: the backend server may by now run another one.
func (r *Registry) applyUnconfirmed(record *aubwire.BackendRecord, isLocal bool, now time.Time) {
	stored := r.entries[record.GetId()]
	switch {
	case stored != nil && (record.GetStartedMs() < stored.record.GetStartedMs() || isUnnamedDeparture(stored.record)):
		return
	case stored != nil && record.GetStartedMs() == stored.record.GetStartedMs():
		previous := stored.version
		r.mergeState(stored, record)
		r.mergeUnloading(stored, record)
		if stored.version != previous {
			stored.isLocal = isLocal
		}
		return
	case record.GetState() != aubwire.BackendState_BACKEND_STATE_GONE && (r.isAddressTaken(record) || !r.supersedeAddress(record)):
		return
	case stored == nil:
		r.evictOutdated(now)
		stored = &entry{}
		r.entries[record.GetId()] = stored
	}
	r.endLeaving(stored)
	*stored = entry{
		record: record, receivedAt: now, isLocal: isLocal, heardAt: now,
		unconfirmedUntil: now.Add(time.Duration(record.GetUnconfirmedMs()) * time.Millisecond),
	}
	if r.observe != nil {
		r.observe(record)
	}
	r.markChanged(stored)
	r.topologyVersion++
	r.common.Log.Info("Unconfirmed backend server known.",
		zap.String("backend_server", record.GetId()), zap.String("service", record.GetService()), zap.String("address", record.GetAddress()),
		zap.Int64("started_ms", record.GetStartedMs()), zap.Int64("sequence", record.GetSequence()), zap.Stringer("state", record.GetState()),
		zap.Int64("expires_ms", record.GetUnconfirmedMs()))
}

// isAddressTaken reports whether another backend server, from which itself this process has
// heard, is at the record's address; the caller holds mu.
func (r *Registry) isAddressTaken(record *aubwire.BackendRecord) bool {
	for id, other := range r.entries {
		if id != record.GetId() && !other.isUnconfirmed() && other.record.GetAddress() == record.GetAddress() && r.isPresent(other) {
			return true
		}
	}
	return false
}

// noteConfirmed ends the unconfirmed state of an entry that is about to hold the record of the
// backend server itself; the caller holds mu.
func (r *Registry) noteConfirmed(e *entry, record *aubwire.BackendRecord, now time.Time) {
	if !e.isUnconfirmed() {
		return
	}
	r.common.Log.Info("Unconfirmed backend server has registered.",
		zap.String("backend_server", record.GetId()), zap.Int64("started_ms", record.GetStartedMs()),
		zap.Bool("same_incarnation", e.isConfirmedBy(record)), zap.Int64("unconfirmed_ms", now.Sub(e.receivedAt).Milliseconds()))
	e.unconfirmedUntil, e.heardAt = time.Time{}, time.Time{}
}

// endUnconfirmed marks a backend server that announced its departure as gone although it has not
// registered since the start; the caller holds mu.
func (r *Registry) endUnconfirmed(e *entry) {
	previous, next := e.record, cloneRecord(e.record)
	next.State = aubwire.BackendState_BACKEND_STATE_GONE
	e.record, e.isLocal = next, true
	r.markChanged(e)
	r.topologyVersion++
	r.logChange(previous, next)
}

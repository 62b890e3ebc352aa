// Package aubresume decides at which software version of its backend servers a stream may
// go on. Events of two versions don't fit together, and backend servers don't check that. A
// stream therefore goes on only where its origin is known: the instance that began it, and
// the control processes, which every instance tells where its streams began.
package aubresume

import (
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// retention is how long an origin is kept. Callers don't take up older streams.
	retention = 2 * time.Minute
	// maxRecorded limits the origins of one instance, maxStored those of a control process.
	maxRecorded = 20000
	maxStored   = 100000
)

// Origin is where a stream began.
type Origin struct {
	Service string
	// Software is the version of the software of the backend servers.
	Software string
}

// replaces reports whether the origin says more than the known one of the same stream.
func (o Origin) replaces(known Origin) bool {
	return known.Software == UnknownSoftware && o.Software != UnknownSoftware
}

// UnknownSoftware is the version of an origin whose backend server had not registered since a
// restart of everything when the stream began. No other backend server may go on with it.
const UnknownSoftware = "?"

// record is the origin of one stream.
type record struct {
	id         string
	origin     Origin
	recordedAt time.Time
}

// Recorder keeps the origins of the streams that began at this instance, in the order of
// their begin.
//
// Lock order: mu is a leaf lock.
type Recorder struct {
	timer aubtimer.Service

	mu sync.Mutex
	// records are ordered; the first has the number first.
	records []record
	first   uint64
	byID    map[string]Origin
	// changed is closed by the next record.
	changed chan struct{}
}

// NewRecorder returns an empty recorder.
func NewRecorder(timer aubtimer.Service) *Recorder {
	return &Recorder{timer: timer, byID: make(map[string]Origin), changed: make(chan struct{})}
}

// Record adds the origin of a stream that began with the call. The first one counts, unless its
// software version is unknown and that of a later one is not.
func (r *Recorder) Record(callID string, origin Origin) {
	now := r.timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropOld(now)
	if known, ok := r.byID[callID]; ok && !origin.replaces(known) {
		return
	}
	r.records = append(r.records, record{id: callID, origin: origin, recordedAt: now})
	r.byID[callID] = origin
	close(r.changed)
	r.changed = make(chan struct{})
}

// dropOld removes records older than retention, and the oldest above maxRecorded; the caller
// holds mu.
func (r *Recorder) dropOld(now time.Time) {
	for len(r.records) > 0 && (len(r.records) >= maxRecorded || now.Sub(r.records[0].recordedAt) > retention) {
		delete(r.byID, r.records[0].id)
		r.records = r.records[1:]
		r.first++
	}
}

// Find returns the origin of the stream that began with the call.
func (r *Recorder) Find(callID string) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	origin, ok := r.byID[callID]
	return origin, ok
}

// Since returns at most limit records from the number on, the number after them, and a
// channel that is closed by the next record.
func (r *Recorder) Since(number uint64, limit int) (origins []*aubwire.StreamOrigin, next uint64, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next = max(number, r.first)
	for len(origins) < limit && next < r.first+uint64(len(r.records)) {
		rec := r.records[next-r.first]
		origins = append(origins, &aubwire.StreamOrigin{Id: rec.id, Service: rec.origin.Service, Software: rec.origin.Software})
		next++
	}
	return origins, next, r.changed
}

package aubresume

import (
	"sync"

	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// Table holds the origins that instances have reported to a control process.
//
// Lock order: mu is a leaf lock.
type Table struct {
	timer aubtimer.Service

	mu sync.Mutex
	// records are ordered by the time of their report.
	records []record
	byID    map[string]Origin
}

// NewTable returns an empty table.
func NewTable(timer aubtimer.Service) *Table {
	return &Table{timer: timer, byID: make(map[string]Origin)}
}

// Add stores reported origins. The first one of a stream counts, unless its software version is
// unknown and that of a later one is not.
func (t *Table) Add(origins []*aubwire.StreamOrigin) {
	if len(origins) == 0 {
		return
	}
	now := t.timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, reported := range origins {
		origin := Origin{Service: reported.GetService(), Software: reported.GetSoftware()}
		if known, ok := t.byID[reported.GetId()]; ok && !origin.replaces(known) {
			continue
		}
		t.records = append(t.records, record{id: reported.GetId(), origin: origin, recordedAt: now})
		t.byID[reported.GetId()] = origin
	}
	for len(t.records) > maxStored || len(t.records) > 0 && now.Sub(t.records[0].recordedAt) > retention {
		delete(t.byID, t.records[0].id)
		t.records = t.records[1:]
	}
}

// Find returns the origin of the stream that began with the call; nil if it is not known.
func (t *Table) Find(callID string) *aubwire.StreamOrigin {
	t.mu.Lock()
	defer t.mu.Unlock()
	origin, ok := t.byID[callID]
	if !ok {
		return nil
	}
	return &aubwire.StreamOrigin{Id: callID, Service: origin.Service, Software: origin.Software}
}

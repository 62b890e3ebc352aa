package aubresume

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// SoftwareTableName is the name of the replicated table of software versions.
const SoftwareTableName = "software"

const (
	// refreshInterval is the time between two commits of the leader for a version that is
	// registered all the while.
	refreshInterval = 30 * time.Second
	// tableRetention is how long a version is held after its last commit: as long as
	// callers take streams up, and the time by which a commit may be older than the last
	// registration.
	tableRetention = retention + refreshInterval
	// maxSoftwareBytes limits the names in the table. A version beyond is refused rather than
	// another evicted, because an evicted one could no longer be told from one that never was.
	maxSoftwareBytes = 1 << 20
)

// softwareKey is a software version of a service.
type softwareKey struct {
	service  string
	software string
}

func (k softwareKey) size() int { return len(k.service) + len(k.software) }

func compareKeys(a, b softwareKey) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.software, b.software))
}

// SoftwareTable is the replicated table of the software versions that backend servers of each
// service have registered lately. It survives the end of all processes, so that a version that
// nobody registers any more is not forgotten while its streams may be taken up.
//
// Lock order: mu is a leaf lock.
type SoftwareTable struct {
	mu sync.RWMutex
	// clock is the replicated clock at the last applied command.
	clock time.Duration
	// registeredAt holds the replicated clock of the last commit of each version.
	registeredAt map[softwareKey]time.Duration
	// size is that of all keys in bytes.
	size int
}

var _ aubcontrol.Table = (*SoftwareTable)(nil)

// NewSoftwareTable returns an empty table.
func NewSoftwareTable() *SoftwareTable {
	return &SoftwareTable{registeredAt: make(map[softwareKey]time.Duration)}
}

// Name implements aubcontrol.Table.
func (t *SoftwareTable) Name() string { return SoftwareTableName }

// Apply implements aubcontrol.Table. The command is a SoftwareCommand, the result a
// SoftwareResult.
func (t *SoftwareTable) Apply(cmd aubcontrol.Command) []byte {
	var command aubwire.SoftwareCommand
	if err := proto.Unmarshal(cmd.Body, &command); err != nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock = cmd.Clock
	for key, at := range t.registeredAt {
		if t.clock-at > tableRetention {
			delete(t.registeredAt, key)
			t.size -= key.size()
		}
	}
	result := &aubwire.SoftwareResult{}
	for _, version := range command.GetRegistered() {
		if !t.add(softwareKey{service: version.GetService(), software: version.GetSoftware()}, t.clock) {
			result.Refused = append(result.Refused, version)
		}
	}
	// Marshaling a message without required fields does not fail.
	data, _ := proto.Marshal(result)
	return data
}

// add stores a version and reports whether there is room for it; the caller holds mu.
func (t *SoftwareTable) add(key softwareKey, at time.Duration) bool {
	if _, ok := t.registeredAt[key]; !ok {
		if t.size+key.size() > maxSoftwareBytes {
			return false
		}
		t.size += key.size()
	}
	t.registeredAt[key] = at
	return true
}

// Holds reports whether the table holds the version and will do so for at least
// refreshInterval. A version closer to its end may already have expired in the table of the
// leader.
func (t *SoftwareTable) Holds(service, software string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	at, ok := t.registeredAt[softwareKey{service: service, software: software}]
	return ok && t.clock-at <= retention
}

// Seen returns the versions of the services in the order of their names, with the replicated
// time since their last commit.
func (t *SoftwareTable) Seen(services []string) []*aubwire.SoftwareSeen {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var seen []*aubwire.SoftwareSeen
	for _, key := range slices.SortedFunc(maps.Keys(t.registeredAt), compareKeys) {
		if slices.Contains(services, key.service) {
			ago := t.clock - t.registeredAt[key]
			seen = append(seen, &aubwire.SoftwareSeen{Service: key.service, Software: key.software, SeenAgoMs: ago.Milliseconds()})
		}
	}
	return seen
}

// Snapshot implements aubcontrol.Table.
func (t *SoftwareTable) Snapshot() ([]byte, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	snap := &aubwire.SoftwareSnapshot{ClockMs: t.clock.Milliseconds()}
	for _, key := range slices.SortedFunc(maps.Keys(t.registeredAt), compareKeys) {
		snap.Records = append(snap.Records, &aubwire.SoftwareRecord{
			Service: key.service, Software: key.software, RegisteredMs: t.registeredAt[key].Milliseconds(),
		})
	}
	data, err := proto.Marshal(snap)
	if err != nil {
		return nil, &SnapshotError{Err: err}
	}
	return data, nil
}

// Restore implements aubcontrol.Table. The error is *SnapshotError.
func (t *SoftwareTable) Restore(data []byte) error {
	var snap aubwire.SoftwareSnapshot
	if err := proto.Unmarshal(data, &snap); err != nil {
		return &SnapshotError{Err: err}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock, t.size = time.Duration(snap.GetClockMs())*time.Millisecond, 0
	t.registeredAt = make(map[softwareKey]time.Duration, len(snap.GetRecords()))
	for _, record := range snap.GetRecords() {
		t.add(softwareKey{service: record.GetService(), software: record.GetSoftware()}, time.Duration(record.GetRegisteredMs())*time.Millisecond)
	}
	return nil
}

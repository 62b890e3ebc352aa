// Package aubpoison records which requests were in flight when backend servers
// crashed. A fingerprint that was in flight at two crashes is refused in the whole
// site until its record expires.
package aubpoison

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// TableName is the name of the replicated table.
const TableName = "poison"

const (
	// blockThreshold is the number of crashes from which a fingerprint is refused.
	blockThreshold = 2
	// retention is how long a fingerprint stays suspect or refused after its last crash.
	retention = 30 * time.Minute
	// maxSuspects bounds the number of fingerprints; the oldest are evicted first.
	maxSuspects = 20_000
)

// Verdict is how a request with a given fingerprint is handled.
type Verdict int

// Verdicts.
const (
	// VerdictClear: the request runs as usual.
	VerdictClear Verdict = iota
	// VerdictSuspect: the request runs alone on its backend server.
	VerdictSuspect
	// VerdictBlocked: the request is refused.
	VerdictBlocked
)

// suspect is the record of one fingerprint.
type suspect struct {
	crashes uint32
	// expiresAt is a time of the replicated clock.
	expiresAt time.Duration
}

// Table is the replicated table of suspects.
//
// Lock order: mu is a leaf lock.
type Table struct {
	mu sync.RWMutex
	// clock is the replicated clock at the last applied command.
	clock time.Duration
	// suspects is keyed by fingerprint.
	suspects map[string]suspect
	// seenCrashes maps the IDs of counted crashes to when they expire.
	seenCrashes map[string]time.Duration
}

var _ aubcontrol.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{suspects: make(map[string]suspect), seenCrashes: make(map[string]time.Duration)}
}

// Name implements aubcontrol.Table.
func (t *Table) Name() string { return TableName }

// Apply implements aubcontrol.Table. It counts one crash for each of the command's
// fingerprints.
func (t *Table) Apply(cmd aubcontrol.Command) []byte {
	var crash aubwire.PoisonDeath
	if err := proto.Unmarshal(cmd.Body, &crash); err != nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock = cmd.Clock
	t.dropExpired()
	if _, ok := t.seenCrashes[crash.GetDeathId()]; ok {
		return nil
	}
	until := cmd.Clock + retention
	t.seenCrashes[crash.GetDeathId()] = until
	for _, fp := range crash.GetFingerprints() {
		t.suspects[fp] = suspect{crashes: t.suspects[fp].crashes + 1, expiresAt: until}
	}
	t.dropOldest()
	return nil
}

// Verdict returns how to handle a request with the fingerprint and, if it is blocked,
// the remaining time, counted from the last applied command.
func (t *Table) Verdict(fingerprint string) (Verdict, time.Duration) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok := t.suspects[fingerprint]
	switch {
	case !ok || s.expiresAt <= t.clock:
		return VerdictClear, 0
	case s.crashes >= blockThreshold:
		return VerdictBlocked, s.expiresAt - t.clock
	default:
		return VerdictSuspect, 0
	}
}

// Snapshot implements aubcontrol.Table.
func (t *Table) Snapshot() ([]byte, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	snap := &aubwire.PoisonSnapshot{}
	for _, fp := range slices.Sorted(maps.Keys(t.suspects)) {
		s := t.suspects[fp]
		snap.Suspects = append(snap.Suspects, &aubwire.PoisonSuspect{Fingerprint: fp, Deaths: s.crashes, UntilMs: s.expiresAt.Milliseconds()})
	}
	for _, id := range slices.Sorted(maps.Keys(t.seenCrashes)) {
		snap.Seen = append(snap.Seen, &aubwire.PoisonSeen{DeathId: id, UntilMs: t.seenCrashes[id].Milliseconds()})
	}
	data, err := proto.Marshal(snap)
	return data, oops.In("poison").Wrapf(err, "encode snapshot")
}

// Restore implements aubcontrol.Table.
func (t *Table) Restore(data []byte) error {
	var snap aubwire.PoisonSnapshot
	if err := proto.Unmarshal(data, &snap); err != nil {
		return oops.In("poison").Wrapf(err, "decode snapshot")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects = make(map[string]suspect, len(snap.GetSuspects()))
	t.seenCrashes = make(map[string]time.Duration, len(snap.GetSeen()))
	for _, s := range snap.GetSuspects() {
		t.suspects[s.GetFingerprint()] = suspect{crashes: s.GetDeaths(), expiresAt: time.Duration(s.GetUntilMs()) * time.Millisecond}
	}
	for _, s := range snap.GetSeen() {
		t.seenCrashes[s.GetDeathId()] = time.Duration(s.GetUntilMs()) * time.Millisecond
	}
	return nil
}

// dropExpired removes expired records. It is called with mu held.
func (t *Table) dropExpired() {
	for fp, s := range t.suspects {
		if s.expiresAt <= t.clock {
			delete(t.suspects, fp)
		}
	}
	for id, until := range t.seenCrashes {
		if until <= t.clock {
			delete(t.seenCrashes, id)
		}
	}
}

// dropOldest evicts the records that expire first until the table is within its
// bound. Records with equal expiry are evicted in order of fingerprint, so that
// every replica evicts the same ones.
func (t *Table) dropOldest() {
	excess := len(t.suspects) - maxSuspects
	if excess <= 0 {
		return
	}
	fps := slices.Sorted(maps.Keys(t.suspects))
	slices.SortStableFunc(fps, func(a, b string) int { return int(t.suspects[a].expiresAt - t.suspects[b].expiresAt) })
	for _, fp := range fps[:excess] {
		delete(t.suspects, fp)
	}
}

// Package aubpoison records which requests were in flight when backend servers
// crashed. What was in flight at several crashes, and in no complete answer since, is
// refused in the whole site. A trial of a single request shows from time to time whether
// it still crashes backend servers or has only been in the company of another request.
package aubpoison

import (
	"cmp"
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
	// maxSuspects bounds the number of fingerprints; those that expire first are evicted
	// first.
	maxSuspects = 20_000
	// maxSeenCrashes bounds the number of crashes of which the counted fingerprints are
	// kept.
	maxSeenCrashes = 4096
	// maxStatuses limits the statuses that are sent at once, so that they take far less than
	// a second of a slow link.
	maxStatuses = 256
)

// seenCrash holds the fingerprints that were counted for a crash.
type seenCrash struct {
	expiresAt    time.Duration
	fingerprints map[string]bool
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
	// seenCrashes is keyed by the ID of the crash.
	seenCrashes map[string]seenCrash
	// lastIndex is the position in the log of the last change.
	lastIndex uint64
	// changed is closed at the next change.
	changed chan struct{}
}

var _ aubcontrol.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{suspects: make(map[string]suspect), seenCrashes: make(map[string]seenCrash), changed: make(chan struct{})}
}

// Name implements aubcontrol.Table.
func (t *Table) Name() string { return TableName }

// Apply implements aubcontrol.Table. The command is a PoisonCommand, the result a
// PoisonResult.
func (t *Table) Apply(cmd aubcontrol.Command) []byte {
	var command aubwire.PoisonCommand
	if err := proto.Unmarshal(cmd.Body, &command); err != nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock = cmd.Clock
	t.dropExpired()
	result := &aubwire.PoisonResult{TrialGranted: t.grantTrial(cmd.Index, command.GetTrial())}
	t.countCrash(cmd.Index, &command)
	for _, fp := range command.GetCompleted() {
		if s, ok := t.suspects[fp]; ok {
			t.set(cmd.Index, fp, s.withCompletion(t.clock))
		}
	}
	for _, fp := range command.GetTrialEnded() {
		if s, ok := t.suspects[fp]; ok && s.trialUntil > 0 {
			t.set(cmd.Index, fp, s.withTrialEnded())
		}
	}
	t.dropOldest()
	t.addStatuses(result, &command)
	close(t.changed)
	t.changed = make(chan struct{})
	// Marshaling a message without required fields does not fail.
	data, _ := proto.Marshal(result)
	return data
}

// set stores a record; the caller holds mu.
func (t *Table) set(index uint64, fingerprint string, s suspect) {
	s.index = index
	t.suspects[fingerprint] = s
	t.lastIndex = max(t.lastIndex, index)
}

// countCrash counts a crash for the fingerprints of the command that were not yet
// counted for it; the caller holds mu.
func (t *Table) countCrash(index uint64, command *aubwire.PoisonCommand) {
	if command.GetDeathId() == "" {
		return
	}
	seen, ok := t.seenCrashes[command.GetDeathId()]
	switch {
	case !ok:
		seen = seenCrash{fingerprints: make(map[string]bool)}
	case len(seen.fingerprints) == 0:
		return
	}
	seen.expiresAt = t.clock + retention
	t.seenCrashes[command.GetDeathId()] = seen
	count := func(fp string, startedAt, endedAt time.Duration, ownCrashes uint32) {
		if !seen.fingerprints[fp] {
			seen.fingerprints[fp] = true
			t.set(index, fp, t.suspects[fp].withCrash(t.clock, startedAt, endedAt, ownCrashes))
		}
	}
	for _, fp := range command.GetFingerprints() {
		count(fp, t.clock, t.clock, 0)
		if s := t.suspects[fp]; s.isBlocked() && len(command.GetFingerprints()) == 1 {
			// The agent had no other request, which leaves no doubt.
			t.set(index, fp, s.withSoleCrash(t.clock))
		}
	}
	for _, run := range command.GetRuns() {
		for i, fp := range run.GetFingerprints() {
			var ownCrashes uint32
			if i < len(run.GetOwnDeaths()) {
				ownCrashes = run.GetOwnDeaths()[i]
			}
			count(fp, t.clock-milliseconds(run.GetStartedAgoMs()), t.clock-milliseconds(run.GetEndedAgoMs()), ownCrashes)
			if s := t.suspects[fp]; run.GetTrial() && s.trialUntil > 0 {
				t.set(index, fp, s.withTrialCrash(t.clock, s.isGroupTrial))
			}
		}
	}
}

// grantTrial starts a trial of a request with the fingerprints unless one of the blocked
// ones is not due; the caller holds mu.
func (t *Table) grantTrial(index uint64, fingerprints []string) bool {
	blocked := slices.DeleteFunc(slices.Clone(fingerprints), func(fp string) bool { return !t.suspects[fp].isBlocked() })
	isGroup := len(blocked) > 1
	for _, fp := range blocked {
		if t.suspects[fp].trialIn(t.clock, isGroup) > 0 {
			return false
		}
	}
	for _, fp := range blocked {
		t.set(index, fp, t.suspects[fp].withTrial(t.clock, isGroup))
	}
	return len(fingerprints) > 0
}

// addStatuses adds the status of every fingerprint that the command names; the caller
// holds mu.
func (t *Table) addStatuses(result *aubwire.PoisonResult, command *aubwire.PoisonCommand) {
	fingerprints := slices.Concat(command.GetFingerprints(), command.GetCompleted(), command.GetTrial(), command.GetTrialEnded())
	for _, run := range command.GetRuns() {
		fingerprints = append(fingerprints, run.GetFingerprints()...)
	}
	for _, fp := range fingerprints {
		if s, ok := t.suspects[fp]; ok {
			result.Statuses = append(result.Statuses, s.encodeStatus(fp, t.clock))
		}
	}
}

// Status implements Source; times are counted from the last applied command.
func (t *Table) Status(fingerprint string) Status {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.suspects[fingerprint].status(t.clock)
}

// ChangedSince returns the statuses that changed after the position in the log, in the
// order of their changes, the position up to which they are complete, and a channel that
// is closed at the next change. There are about maxStatuses of them at most; the rest
// follows with the next call. Position 0 leaves out cleared fingerprints.
func (t *Table) ChangedSince(index uint64) ([]*aubwire.PoisonStatus, uint64, <-chan struct{}) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if index >= t.lastIndex {
		return nil, index, t.changed
	}
	var statuses []*aubwire.PoisonStatus
	for fp, s := range t.suspects {
		if s.index > index && (index > 0 || s.crashes > 0) {
			statuses = append(statuses, s.encodeStatus(fp, t.clock))
		}
	}
	slices.SortFunc(statuses, func(a, b *aubwire.PoisonStatus) int {
		return cmp.Or(cmp.Compare(a.GetIndex(), b.GetIndex()), cmp.Compare(a.GetFingerprint(), b.GetFingerprint()))
	})
	for i := maxStatuses; i < len(statuses); i++ {
		if statuses[i].GetIndex() != statuses[i-1].GetIndex() {
			statuses = statuses[:i]
			break
		}
	}
	if len(statuses) > 0 {
		index = statuses[len(statuses)-1].GetIndex()
	}
	return statuses, index, t.changed
}

// Snapshot implements aubcontrol.Table.
func (t *Table) Snapshot() ([]byte, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	snap := &aubwire.PoisonSnapshot{}
	for _, fp := range slices.Sorted(maps.Keys(t.suspects)) {
		snap.Suspects = append(snap.Suspects, t.suspects[fp].encode(fp))
	}
	for _, id := range slices.Sorted(maps.Keys(t.seenCrashes)) {
		seen := t.seenCrashes[id]
		snap.Seen = append(snap.Seen, &aubwire.PoisonSeen{
			DeathId: id, UntilMs: seen.expiresAt.Milliseconds(), Fingerprints: slices.Sorted(maps.Keys(seen.fingerprints)),
		})
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
	t.lastIndex = 0
	t.suspects = make(map[string]suspect, len(snap.GetSuspects()))
	t.seenCrashes = make(map[string]seenCrash, len(snap.GetSeen()))
	for _, s := range snap.GetSuspects() {
		t.set(s.GetIndex(), s.GetFingerprint(), decodeSuspect(s))
	}
	for _, s := range snap.GetSeen() {
		seen := seenCrash{expiresAt: milliseconds(s.GetUntilMs()), fingerprints: make(map[string]bool)}
		for _, fp := range s.GetFingerprints() {
			seen.fingerprints[fp] = true
		}
		t.seenCrashes[s.GetDeathId()] = seen
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return nil
}

// dropExpired removes expired records. It is called with mu held.
func (t *Table) dropExpired() {
	maps.DeleteFunc(t.suspects, func(_ string, s suspect) bool { return s.expiresAt <= t.clock })
	maps.DeleteFunc(t.seenCrashes, func(_ string, seen seenCrash) bool { return seen.expiresAt <= t.clock })
}

// dropOldest evicts the records that expire first until the table is within its bounds.
func (t *Table) dropOldest() {
	evictFirst(t.suspects, maxSuspects, func(s suspect) time.Duration { return s.expiresAt })
	evictFirst(t.seenCrashes, maxSeenCrashes, func(seen seenCrash) time.Duration { return seen.expiresAt })
}

// evictFirst removes the entries that expire first until at most limit are left. Entries
// with equal expiry are removed in order of their keys, so that every replica removes the
// same ones.
func evictFirst[V any](entries map[string]V, limit int, expiresAt func(V) time.Duration) {
	excess := len(entries) - limit
	if excess <= 0 {
		return
	}
	keys := slices.Sorted(maps.Keys(entries))
	slices.SortStableFunc(keys, func(a, b string) int { return cmp.Compare(expiresAt(entries[a]), expiresAt(entries[b])) })
	for _, key := range keys[:excess] {
		delete(entries, key)
	}
}

package aubstore_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubstore"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const pageSizeBytes = 4096

var common = aubcommon.NewCommon(aubtimer.NewManual(time.Unix(0, 0)))

func open(t testing.TB, dir string, maxBytes int) *aubstore.Store {
	t.Helper()
	s, err := aubstore.Open(common, aubstore.Opts{DataDir: dir, Member: "a", MaxBytes: maxBytes})
	qt.Assert(t, err, qt.IsNil)
	return s
}

// readStore opens and closes the store and returns its state and disk identity.
func readStore(t testing.TB, dir string) (state aubstore.State, diskID string, afterDamage bool) {
	t.Helper()
	s := open(t, dir, 0)
	defer s.Close()
	state, err := s.Load()
	qt.Assert(t, err, qt.IsNil)
	return state, s.DiskID(), s.AfterDamage()
}

func entry(index, term uint64, size int) *aubwire.LogEntry {
	data := bytes.Repeat([]byte{byte(index)}, size)
	return &aubwire.LogEntry{Index: index, Term: term, Kind: aubwire.EntryKind_ENTRY_KIND_COMMAND, Data: data}
}

func snapshot(index uint64) *aubwire.LogSnapshot {
	members := &aubwire.Membership{ClusterId: "x"}
	return &aubwire.LogSnapshot{Index: index, Term: 1, Membership: members, Data: bytes.Repeat([]byte("s"), 100)}
}

func isEqual(a, b aubstore.State) bool {
	if !proto.Equal(a.HardState, b.HardState) || !proto.Equal(a.Snapshot, b.Snapshot) || len(a.Entries) != len(b.Entries) {
		return false
	}
	for i := range a.Entries {
		if !proto.Equal(a.Entries[i], b.Entries[i]) {
			return false
		}
	}
	return true
}

func TestUpdatesSurviveReopening(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "store")
		qt.Assert(t, err, qt.IsNil)
		s := open(t, dir, 0)
		id := s.DiskID()
		want := aubstore.State{HardState: &aubwire.HardState{}, Snapshot: snapshot(0)}
		qt.Assert(t, s.Save(aubstore.Update{Snapshot: want.Snapshot}), qt.IsNil)
		for range rapid.IntRange(1, 12).Draw(rt, "updates") {
			u := drawUpdate(rt, want)
			qt.Assert(t, s.Save(u), qt.IsNil)
			want = apply(want, u)
		}
		qt.Assert(t, s.Close(), qt.IsNil)
		got, gotID, afterDamage := readStore(t, dir)
		qt.Assert(t, isEqual(got, want), qt.IsTrue, qt.Commentf("got %v, want %v", got, want))
		qt.Assert(t, gotID, qt.Equals, id)
		qt.Assert(t, afterDamage, qt.IsFalse)
	})
}

func drawUpdate(rt *rapid.T, s aubstore.State) aubstore.Update {
	first, last := s.Snapshot.GetIndex()+1, s.Snapshot.GetIndex()
	if n := len(s.Entries); n > 0 {
		first, last = s.Entries[0].GetIndex(), s.Entries[n-1].GetIndex()
	}
	switch rapid.IntRange(0, 3).Draw(rt, "kind") {
	case 0:
		return aubstore.Update{HardState: &aubwire.HardState{Term: rapid.Uint64().Draw(rt, "term"), Vote: "v"}}
	case 1:
		from := rapid.Uint64Range(max(first, s.Snapshot.GetIndex()+1), last+1).Draw(rt, "from")
		return aubstore.Update{TruncateFrom: from, Entries: []*aubwire.LogEntry{entry(from, 9, 10)}}
	case 2:
		index := rapid.Uint64Range(s.Snapshot.GetIndex(), last).Draw(rt, "at")
		return aubstore.Update{Snapshot: snapshot(index), CompactTo: index}
	default:
		return aubstore.Update{Entries: []*aubwire.LogEntry{entry(last+1, 1, 700), entry(last+2, 2, 0)}}
	}
}

func apply(s aubstore.State, u aubstore.Update) aubstore.State {
	if u.HardState != nil {
		s.HardState = u.HardState
	}
	if u.Snapshot != nil {
		s.Snapshot = u.Snapshot
	}
	var retained []*aubwire.LogEntry
	for _, e := range s.Entries {
		if e.GetIndex() > u.CompactTo && (u.TruncateFrom == 0 || e.GetIndex() < u.TruncateFrom) {
			retained = append(retained, e)
		}
	}
	s.Entries = append(retained, u.Entries...)
	return s
}

// createFilledStore writes a store of several pages and returns the path of its
// database file, its state and its disk ID.
func createFilledStore(t testing.TB, dir string) (string, aubstore.State, string) {
	s := open(t, dir, 0)
	u := aubstore.Update{Snapshot: snapshot(0), HardState: &aubwire.HardState{Term: 3, Vote: "v"}}
	for i := uint64(1); i <= 40; i++ {
		u.Entries = append(u.Entries, entry(i, 1, 300))
	}
	qt.Assert(t, s.Save(u), qt.IsNil)
	qt.Assert(t, s.Close(), qt.IsNil)
	return filepath.Join(dir, "replica.db"), apply(aubstore.State{}, u), s.DiskID()
}

// TestDamagedFileCountsAsLostDisk flips bytes and truncates the file. The store
// must then hold exactly the acknowledged state, or be empty with a new disk ID.
func TestDamagedFileCountsAsLostDisk(t *testing.T) {
	dir := t.TempDir()
	path, want, id := createFilledStore(t, dir)
	original, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	random := rand.New(rand.NewPCG(7, 7))
	detected := 0
	checkDamaged := func(damage string, data []byte) {
		qt.Assert(t, os.WriteFile(path, data, 0o600), qt.IsNil)
		got, gotID, afterDamage := readStore(t, dir)
		if afterDamage {
			detected++
			qt.Assert(t, gotID, qt.Not(qt.Equals), id, qt.Commentf(damage))
			qt.Assert(t, got.Snapshot, qt.IsNil, qt.Commentf(damage))
			return
		}
		qt.Assert(t, gotID, qt.Equals, id, qt.Commentf(damage))
		qt.Assert(t, isEqual(got, want), qt.IsTrue, qt.Commentf(damage))
	}
	for range 120 {
		data := bytes.Clone(original)
		offset := random.IntN(len(data))
		data[offset] ^= byte(1 + random.IntN(255))
		checkDamaged(fmt.Sprintf("byte %d", offset), data)
	}
	for pageOffset := 0; pageOffset < len(original); pageOffset += pageSizeBytes {
		for bit := range 16 {
			data := bytes.Clone(original)
			data[pageOffset+10+bit/8] ^= 1 << (bit % 8)
			checkDamaged(fmt.Sprintf("page at %d, bit %d of the element count", pageOffset, bit), data)
		}
		for byteIndex := range 96 {
			data := bytes.Clone(original)
			data[pageOffset+byteIndex] ^= 1 << random.IntN(8)
			checkDamaged(fmt.Sprintf("page at %d, byte %d", pageOffset, byteIndex), data)
		}
	}
	for range 15 {
		size := 1 + random.IntN(len(original)-1)
		checkDamaged(fmt.Sprintf("truncated to %d bytes", size), original[:size])
	}
	qt.Assert(t, detected > 30, qt.IsTrue, qt.Commentf("%d damaged files were detected", detected))
}

// TestTornWriteIsCompleteOrAbsent mixes the pages of the file before and after a
// write, as a crash before the write's sync can. With the old meta pages the store
// must hold the state before the write.
func TestTornWriteIsCompleteOrAbsent(t *testing.T) {
	dir := t.TempDir()
	path, before, id := createFilledStore(t, dir)
	s := open(t, dir, 0)
	fileBefore, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	u := aubstore.Update{TruncateFrom: 20, Entries: []*aubwire.LogEntry{entry(20, 2, 3000), entry(21, 2, 3000)}}
	qt.Assert(t, s.Save(u), qt.IsNil)
	qt.Assert(t, s.Close(), qt.IsNil)
	fileAfter, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	after := apply(before, u)

	random := rand.New(rand.NewPCG(8, 8))
	for i := range 60 {
		torn := bytes.Clone(fileAfter)
		for offset := 2 * pageSizeBytes; offset < len(fileBefore); offset += pageSizeBytes {
			if random.IntN(2) == 0 {
				copy(torn[offset:offset+pageSizeBytes], fileBefore[offset:])
			}
		}
		copy(torn[:2*pageSizeBytes], fileBefore)
		qt.Assert(t, os.WriteFile(path, torn, 0o600), qt.IsNil)
		got, gotID, afterDamage := readStore(t, dir)
		qt.Assert(t, afterDamage, qt.IsFalse)
		qt.Assert(t, gotID, qt.Equals, id)
		qt.Assert(t, isEqual(got, before), qt.IsTrue, qt.Commentf("page mix %d", i))
	}
	qt.Assert(t, os.WriteFile(path, fileAfter, 0o600), qt.IsNil)
	got, _, _ := readStore(t, dir)
	qt.Assert(t, isEqual(got, after), qt.IsTrue)
}

func TestStoreRefusesSavesAfterFullDisk(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, 128<<10)
	want := aubstore.State{HardState: &aubwire.HardState{}}
	first := aubstore.Update{Snapshot: snapshot(0)}
	qt.Assert(t, s.Save(first), qt.IsNil)
	want = apply(want, first)
	var saveErr error
	for i := uint64(1); saveErr == nil; i++ {
		u := aubstore.Update{Entries: []*aubwire.LogEntry{entry(i, 1, 10_000)}}
		if saveErr = s.Save(u); saveErr == nil {
			want = apply(want, u)
		}
	}
	var ioErr *aubstore.IOError
	qt.Assert(t, errors.As(saveErr, &ioErr), qt.IsTrue)
	qt.Assert(t, s.Save(aubstore.Update{HardState: &aubwire.HardState{Term: 1}}), qt.ErrorIs, saveErr)
	qt.Assert(t, s.Close(), qt.IsNil)

	got, _, afterDamage := readStore(t, dir)
	qt.Assert(t, afterDamage, qt.IsFalse)
	qt.Assert(t, isEqual(got, want), qt.IsTrue)
}

func TestFolderOfAnotherMemberIsRefused(t *testing.T) {
	dir := t.TempDir()
	createFilledStore(t, dir)
	_, err := aubstore.Open(common, aubstore.Opts{DataDir: dir, Member: "b"})
	var identityErr *aubstore.IdentityError
	qt.Assert(t, errors.As(err, &identityErr), qt.IsTrue)
}

func TestFolderInUseIsRefused(t *testing.T) {
	dir := t.TempDir()
	_, want, id := createFilledStore(t, dir)
	s := open(t, dir, 0)
	_, err := aubstore.Open(common, aubstore.Opts{DataDir: dir, Member: "a"})
	var inUse *aubstore.InUseError
	qt.Assert(t, errors.As(err, &inUse), qt.IsTrue)
	qt.Assert(t, s.Save(aubstore.Update{HardState: want.HardState}), qt.IsNil)
	qt.Assert(t, s.Close(), qt.IsNil)
	got, gotID, _ := readStore(t, dir)
	qt.Assert(t, gotID, qt.Equals, id)
	qt.Assert(t, isEqual(got, want), qt.IsTrue)
}

// TestProbeSpaceLeavesNothing probes an empty folder and one with an interrupted rewrite.
func TestProbeSpaceLeavesNothing(t *testing.T) {
	dir := t.TempDir()
	qt.Assert(t, os.WriteFile(filepath.Join(dir, "replica.db.tmp"), []byte("half"), 0o600), qt.IsNil)
	qt.Assert(t, aubstore.ProbeSpace(dir), qt.IsNil)
	entries, err := os.ReadDir(dir)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, entries, qt.HasLen, 0)
	qt.Assert(t, aubstore.IsDiskFull(aubstore.ProbeSpace(filepath.Join(dir, "missing"))), qt.IsFalse)
}

// TestSaveEmptiesALogOfSeveralPages guards against a save that never returns: bbolt's
// Cursor.Last does not terminate on a bucket whose leaf pages were all emptied in the
// same transaction.
func TestSaveEmptiesALogOfSeveralPages(t *testing.T) {
	const entries = 64
	for name, u := range map[string]aubstore.Update{
		"compacted": {Snapshot: snapshot(entries), CompactTo: entries},
		"truncated": {TruncateFrom: 1},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s := open(t, dir, 0)
			filled := aubstore.Update{}
			for i := range uint64(entries) {
				filled.Entries = append(filled.Entries, entry(i+1, 1, 700))
			}
			qt.Assert(t, s.Save(filled), qt.IsNil)
			saved := make(chan error, 1)
			go func() { saved <- s.Save(u) }()
			select {
			case err := <-saved:
				qt.Assert(t, err, qt.IsNil)
			case <-time.After(10 * time.Second):
				t.Fatal("save did not return within 10 s")
			}
			qt.Assert(t, s.Close(), qt.IsNil)
			state, _, _ := readStore(t, dir)
			qt.Assert(t, state.Entries, qt.HasLen, 0)
		})
	}
}

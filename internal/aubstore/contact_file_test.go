package aubstore_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubstore"
)

// TestContactFile guards against a record that claims an earlier end than was written, or that is
// used although it is damaged, removed or of another clock.
func TestContactFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "leader_contact")
	open := func() *aubstore.ContactFile {
		c, err := aubstore.OpenContactFile(dir)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	_, ok := open().Age()
	qt.Assert(t, ok, qt.IsFalse)
	startedAt := time.Now()
	qt.Assert(t, open().Extend(time.Hour), qt.IsNil)
	age, ok := open().Age()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, age <= 0 && age >= -time.Hour-time.Second, qt.IsTrue)
	qt.Assert(t, age-time.Since(startedAt) <= -time.Hour+time.Millisecond, qt.IsTrue)
	data, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	for i := range data {
		changed := append([]byte(nil), data...)
		changed[i] ^= 1
		qt.Assert(t, os.WriteFile(path, changed, 0o600), qt.IsNil)
		_, ok := open().Age()
		qt.Assert(t, ok, qt.IsFalse, qt.Commentf("byte %d changed", i))
	}
	qt.Assert(t, os.WriteFile(path, data[:len(data)-1], 0o600), qt.IsNil)
	_, ok = open().Age()
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, os.WriteFile(path, data, 0o600), qt.IsNil)
	qt.Assert(t, open().Clear(), qt.IsNil)
	_, ok = open().Age()
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, aubstore.RemoveContactFile(dir), qt.IsNil)
	qt.Assert(t, aubstore.RemoveContactFile(dir), qt.IsNil)
}

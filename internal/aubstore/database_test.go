package aubstore

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestFailedFolderSyncClosesTheDatabase guards against a file that stays open and locked, so that
// the process can't open its store any more.
func TestFailedFolderSyncClosesTheDatabase(t *testing.T) {
	opts := Opts{DataDir: t.TempDir()}
	failure := errors.New("sync failed")
	db, err := openDatabase(opts, func(string) error { return failure })
	qt.Assert(t, errors.Is(err, failure), qt.IsTrue)
	qt.Assert(t, db, qt.IsNil)

	db, err = openDatabase(opts, syncFolder)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, db.Close(), qt.IsNil)
}

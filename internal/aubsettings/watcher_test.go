package aubsettings_test

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubsettings"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// TestWatcherReloadsSettings changes the settings file and expects a reload on a signal and on a
// new modification time.
func TestWatcherReloadsSettings(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	file := filepath.Join(t.TempDir(), "s.yaml")
	write := func(text string, at time.Time) {
		qt.Assert(t, os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
		qt.Assert(t, os.Chtimes(file, at, at), qt.IsNil)
	}
	start := time.Unix(1000, 0)
	write("name: a\nzone: z\n", start)
	cfg, err := aubsettings.Load(file)
	qt.Assert(t, err, qt.IsNil)
	timer := aubtimer.NewManual(start)
	reload := make(chan os.Signal)
	watcher := aubsettings.NewWatcher(ctx, aubcommon.NewCommon(timer), file, cfg, reload)
	awaitZone := func(zone string) {
		t.Helper()
		for deadline := time.Now().Add(5 * time.Second); watcher.Settings().Zone != zone; time.Sleep(5 * time.Millisecond) {
			qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("zone stays %s", watcher.Settings().Zone))
		}
	}
	write("name: a\nzone: y\n", start.Add(time.Second))
	reload <- syscall.SIGHUP
	awaitZone("y")
	write("name: a\nzone: x\n", start.Add(2*time.Second))
	timer.Advance(3 * time.Second)
	awaitZone("x")
	// A file with faults leaves the previous settings active. The reload channel has no
	// buffer, so the second send returns only after the first reload is finished.
	write("colour: blue\n", start.Add(3*time.Second))
	reload <- syscall.SIGHUP
	reload <- syscall.SIGHUP
	qt.Assert(t, watcher.Settings().Zone, qt.Equals, "x")
}

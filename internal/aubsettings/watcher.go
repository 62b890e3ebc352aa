package aubsettings

import (
	"context"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

// pollInterval is the time between two checks of the settings file for a change.
const pollInterval = 2 * time.Second

// Watcher holds the current settings of a running process and reloads them from their
// file. Code that reads a setting only at the start of the process keeps using the
// first value.
//
// Lock order: mu is a leaf lock.
type Watcher struct {
	common aubcommon.Common
	file   string

	mu       sync.Mutex
	settings Settings
	modTime  time.Time
}

// NewWatcher watches the settings file until ctx ends. It reloads the file on each signal
// received from reload and when the modification time changes.
func NewWatcher(ctx context.Context, common aubcommon.Common, file string, settings Settings, reload <-chan os.Signal) *Watcher {
	w := &Watcher{common: common.WithPart("settings"), file: file, settings: settings, modTime: fileModTime(file)}
	ticks := common.Timer.Subscribe(ctx, pollInterval)
	go func() {
		for {
			select {
			case <-reload:
				w.reload()
			case <-ticks:
				if !fileModTime(file).Equal(w.modTime) {
					w.reload()
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return w
}

// Settings returns the settings of the last load without faults.
func (w *Watcher) Settings() Settings {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.settings
}

// reload reads the file and replaces the settings unless it has faults.
func (w *Watcher) reload() {
	w.modTime = fileModTime(w.file)
	settings, err := Load(w.file)
	if err != nil {
		w.common.Log.Error("Settings could not be reloaded; the previous settings stay active.", zap.Error(err))
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settings = settings
	w.common.Log.Info("Settings reloaded.", zap.String("file", w.file))
}

// fileModTime returns the modification time of the file, or zero if it can't be read.
func fileModTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

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

// Live holds the current settings of a running process and reloads them from their
// file. Code that reads a setting only at the start of the process keeps using the
// first value.
//
// Lock order: mu is a leaf lock.
type Live struct {
	common aubcommon.Common
	file   string

	mu       sync.Mutex
	settings Settings
	modTime  time.Time
}

// NewLive watches the settings file until ctx ends. It reloads the file on each signal
// received from reload and when the modification time changes.
func NewLive(ctx context.Context, common aubcommon.Common, file string, settings Settings, reload <-chan os.Signal) *Live {
	l := &Live{common: common.WithPart("settings"), file: file, settings: settings, modTime: fileModTime(file)}
	ticks := common.Timer.Subscribe(ctx, pollInterval)
	go func() {
		for {
			select {
			case <-reload:
				l.reload()
			case <-ticks:
				if !fileModTime(file).Equal(l.modTime) {
					l.reload()
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return l
}

// Settings returns the settings of the last load without faults.
func (l *Live) Settings() Settings {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settings
}

// reload reads the file and replaces the settings unless it has faults.
func (l *Live) reload() {
	l.modTime = fileModTime(l.file)
	settings, err := Load(l.file)
	if err != nil {
		l.common.Log.Error("Settings could not be reloaded; the previous settings stay active.", zap.Error(err))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings = settings
	l.common.Log.Info("Settings reloaded.", zap.String("file", l.file))
}

// fileModTime returns the modification time of the file, or zero if it can't be read.
func fileModTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

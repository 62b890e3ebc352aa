package aubsettings

import (
	"context"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

// pollInterval is the time between two looks whether the settings file changed.
const pollInterval = 2 * time.Second

// Live is the settings of a running process. Settings that only matter at the
// start keep their first value where they are used.
//
// Lock order: mu is taken alone.
type Live struct {
	common aubcommon.Common
	file   string

	mu       sync.Mutex
	settings Settings
	modTime  time.Time
}

// NewLive follows a settings file until ctx ends: it is read again when reload
// receives and when it changed.
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

// Settings returns the newest settings without faults.
func (l *Live) Settings() Settings {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settings
}

// reload takes over the file unless it has faults.
func (l *Live) reload() {
	l.modTime = fileModTime(l.file)
	settings, err := Load(l.file)
	if err != nil {
		l.common.Log.Error("Settings are not usable; the old ones stay.", zap.Error(err))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings = settings
	l.common.Log.Info("Settings reloaded.", zap.String("file", l.file))
}

// fileModTime returns when the file was last written, zero when that is not known.
func fileModTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

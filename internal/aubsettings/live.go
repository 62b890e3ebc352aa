package aubsettings

import (
	"context"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

// lookInterval is the time between two looks whether the settings file changed.
const lookInterval = 2 * time.Second

// Live is the settings of a running process. Settings that only matter at the
// start keep their first value where they are used.
//
// Lock order: mu is taken alone.
type Live struct {
	common aubcommon.Common
	file   string

	mu       sync.Mutex
	settings Settings
	modified time.Time
}

// NewLive follows a settings file until ctx ends: it is read again when reload
// receives and when it changed.
func NewLive(ctx context.Context, common aubcommon.Common, file string, settings Settings, reload <-chan os.Signal) *Live {
	l := &Live{common: common.WithPart("settings"), file: file, settings: settings, modified: modifiedAt(file)}
	ticks := common.Timer.Subscribe(ctx, lookInterval)
	go func() {
		for {
			select {
			case <-reload:
				l.read()
			case <-ticks:
				if !modifiedAt(file).Equal(l.modified) {
					l.read()
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

// read takes over the file unless it has faults.
func (l *Live) read() {
	l.modified = modifiedAt(l.file)
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

// modifiedAt returns when the file was last written, zero when that is not known.
func modifiedAt(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

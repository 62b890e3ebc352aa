package aubcli

import (
	"context"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/auborder"
	"github.com/auburndale/auburndale/internal/aubprocess"
	"github.com/auburndale/auburndale/internal/aubsettings"
	aubplatform "github.com/auburndale/auburndale/platform"
)

// runPlatformRole runs one role with the adapter of a users' platform.
type runPlatformRole func(ctx context.Context, common aubcommon.Common, watcher *aubsettings.Watcher, adapter aubprocess.PlatformAdapter) error

func newEngineClient(common aubcommon.Common) auborder.Engine {
	return aubplatform.NewEngineClient(common, aubprocess.DialBackend)
}

// withPlatform runs a role with the adapter of package aubplatform.
func withPlatform(run runPlatformRole) runRole {
	return func(ctx context.Context, common aubcommon.Common, watcher *aubsettings.Watcher) error {
		return run(ctx, common, watcher, aubprocess.PlatformAdapter{
			Protocol:       aubplatform.Protocol{},
			DecodeSite:     aubplatform.DecodeSite,
			NewEngine:      newEngineClient,
			ReadyHandler:   aubplatform.NewReadyHandler,
			ControlHandler: aubplatform.NewControlHandler,
		})
	}
}

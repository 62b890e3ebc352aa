package aubprocess

import (
	"net/http"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubdrain"
	"github.com/auburndale/auburndale/internal/auborder"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubrelay"
	"github.com/auburndale/auburndale/internal/aubsite"
)

// PlatformAdapter holds the parts of the relay and control roles that are specific to the
// users' platform.
type PlatformAdapter struct {
	// Protocol encodes and decodes the messages of callers and backend servers.
	Protocol aubrelay.Protocol
	// DecodeSite decodes a complete configuration.
	DecodeSite aubsite.Decode
	// NewEngine returns a client that sends load and unload orders to model engines.
	NewEngine func(common aubcommon.Common) auborder.Engine
	// ReadyHandler returns the handler of the platform's readiness checks.
	ReadyHandler func(isReady func() bool) http.Handler
	// ControlHandler returns the handler for operators and for backend servers that
	// register.
	ControlHandler func(
		common aubcommon.Common, configs *aubsite.Configurations, registryServer *aubregistry.Server, drains *aubdrain.Orders,
	) http.Handler
}

package aubprocess

import (
	"net/http"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/auborder"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubrelay"
	"github.com/auburndale/auburndale/internal/aubsite"
)

// Adapter is what a users' platform puts in the place of the product's own wire.
type Adapter struct {
	// Protocol is spoken with callers and backend servers.
	Protocol aubrelay.Protocol
	// DecodeSite reads a whole configuration.
	DecodeSite aubsite.Decode
	// Engine gives orders to model engines.
	Engine auborder.Engine
	// ReadyHandler answers the platform's readiness checks.
	ReadyHandler func(isReady func() bool) http.Handler
	// ControlHandler serves operators and backend servers.
	ControlHandler func(
		common aubcommon.Common, configs *aubsite.Configurations, backends *aubregistry.Registry, relays *aubregistry.Server,
	) http.Handler
}

package aubplacement

import (
	"context"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

// NewSteppedPlacer returns a placer without goroutines, driven by Step and Send.
func NewSteppedPlacer(common aubcommon.Common, opts PlacerOpts) (*Placer, error) {
	return newPlacer(common, opts)
}

// Step runs one planning cycle. Its orders stay queued until Send.
func (p *Placer) Step(ctx context.Context) { p.runCycle(ctx) }

// Send sends one queued order and reports whether there was one.
func (p *Placer) Send(ctx context.Context) bool {
	select {
	case queued := <-p.sender.queue:
		p.sender.send(ctx, queued)
		return true
	default:
		return false
	}
}

// AcquireFence exposes acquireFence to tests.
var AcquireFence = acquireFence

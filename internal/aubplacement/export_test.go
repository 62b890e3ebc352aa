package aubplacement

import (
	"context"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

// NewSteppedPlacer returns a placer that works only in Step.
func NewSteppedPlacer(common aubcommon.Common, opts PlacerOpts) (*Placer, error) {
	return newPlacer(common, opts)
}

// Step makes one plan. Queued orders wait until Send.
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

// AcquireFence commits a new fencing number.
var AcquireFence = acquireFence

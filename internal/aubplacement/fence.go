package aubplacement

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// Register commits an agent's incarnation and returns its floor: the agent must refuse
// orders with a lower fencing number. Errors are *FenceError; the call may be retried.
func Register(ctx context.Context, p aubcontrol.Proposer, name string, incarnation uint64) (uint64, error) {
	return propose(ctx, p, &aubwire.PlacementCommand{Command: &aubwire.PlacementCommand_RegisterAgent{
		RegisterAgent: &aubwire.RegisterAgent{Name: name, Incarnation: incarnation},
	}})
}

// acquireFence commits a new fencing number for the orders of a term.
func acquireFence(ctx context.Context, p aubcontrol.Proposer, term uint64) (uint64, error) {
	return propose(ctx, p, &aubwire.PlacementCommand{Command: &aubwire.PlacementCommand_AcquireFence{
		AcquireFence: &aubwire.AcquireFence{Term: term},
	}})
}

// propose commits the command and returns the fencing number of its result.
func propose(ctx context.Context, p aubcontrol.Proposer, c *aubwire.PlacementCommand) (uint64, error) {
	body, err := proto.Marshal(c)
	if err != nil {
		return 0, &FenceError{Reason: "encode", Err: err}
	}
	result, err := p.Apply(ctx, TableName, body)
	if err != nil {
		return 0, &FenceError{Reason: "commit", Err: err}
	}
	r := &aubwire.PlacementResult{}
	if err := proto.Unmarshal(result.Body, r); err != nil {
		return 0, &FenceError{Reason: "decode", Err: err}
	}
	if r.GetRefused() {
		return 0, &FenceError{Reason: "a later term or incarnation has one"}
	}
	return r.GetFence(), nil
}

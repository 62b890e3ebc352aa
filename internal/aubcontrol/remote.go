package aubcontrol

import (
	"context"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

// Remote commits commands and confirms reads through the control replicas for a
// process that carries none.
type Remote struct {
	opts RemoteOpts
}

var (
	_ Proposer = (*Remote)(nil)
	_ Reader   = (*Remote)(nil)
)

// NewRemote returns access through the replicas.
func NewRemote(_ aubcommon.Common, opts RemoteOpts) *Remote {
	return &Remote{opts: opts}
}

// Apply implements Proposer.
func (r *Remote) Apply(context.Context, string, []byte) (Result, error) {
	return Result{}, &NotCommittedError{Reason: "no control replica reachable"}
}

// Confirm implements Reader.
func (r *Remote) Confirm(context.Context) (uint64, error) {
	return 0, &NotCommittedError{Reason: "no control replica reachable"}
}

package aubcontrol

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// controlService serves a replica to processes without one and to the other
// replicas. It submits each command once; the caller retries.
type controlService struct {
	aubwire.UnimplementedControlServer

	replica *Replica
}

// Apply implements the gRPC service.
func (s *controlService) Apply(ctx context.Context, req *aubwire.ApplyRequest) (*aubwire.ApplyResponse, error) {
	if err := ctx.Err(); err != nil {
		return nil, status.Error(codeNotCommitted, err.Error())
	}
	resp, err := s.replica.attempt(ctx, req)
	if err != nil {
		return nil, toStatus(err)
	}
	return resp, nil
}

// ReadIndex implements the gRPC service.
func (s *controlService) ReadIndex(ctx context.Context, req *aubwire.ReadIndexRequest) (*aubwire.ReadIndexResponse, error) {
	r := s.replica
	leader, isLocal, err := r.leader()
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	if !isLocal {
		if req.GetForwarded() {
			return nil, status.Error(codes.FailedPrecondition, "this replica does not lead")
		}
		return r.pool.readIndex(ctx, leader.Address, true)
	}
	index, err := r.node.ReadIndex(ctx)
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &aubwire.ReadIndexResponse{Index: index, ClockMs: r.machine.Stamp(r.common.Timer.Now()).Milliseconds()}, nil
}

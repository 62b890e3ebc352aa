package aubconsensus

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// Service serves the consensus calls of the other replicas.
type Service struct {
	aubwire.UnimplementedConsensusServer

	node *Node
}

// NewService returns the gRPC service of the node.
func NewService(node *Node) *Service { return &Service{node: node} }

// Deliver implements the gRPC service.
func (s *Service) Deliver(_ context.Context, req *aubwire.DeliverRequest) (*aubwire.DeliverResponse, error) {
	if err := s.node.Err(); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	for _, m := range req.GetMessages() {
		s.node.Deliver(m)
	}
	return &aubwire.DeliverResponse{}, nil
}

// Hello implements the gRPC service.
func (s *Service) Hello(ctx context.Context, req *aubwire.HelloRequest) (*aubwire.HelloResponse, error) {
	resp, err := s.node.Hello(ctx, req)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return resp, nil
}

// ReplaceMember implements the gRPC service.
func (s *Service) ReplaceMember(ctx context.Context, req *aubwire.ReplaceMemberRequest) (*aubwire.ReplaceMemberResponse, error) {
	joining := Peer{Name: req.GetJoiningName(), Address: req.GetJoiningAddress()}
	err := s.node.ReplaceMember(ctx, req.GetDead(), joining)
	var changeErr *MembershipChangeError
	var notLeader *NotLeaderError
	switch {
	case err == nil:
		return &aubwire.ReplaceMemberResponse{}, nil
	case errors.As(err, &changeErr):
		return nil, status.Error(codes.FailedPrecondition, changeErr.Reason)
	case errors.As(err, &notLeader):
		return nil, status.Error(codes.Aborted, notLeader.Error())
	default:
		return nil, status.Error(codes.Unknown, err.Error())
	}
}

// WitnessService serves the consensus calls to a control process without a disk.
type WitnessService struct {
	aubwire.UnimplementedConsensusServer

	witness *Witness
}

// NewWitnessService returns the gRPC service of the witness.
func NewWitnessService(witness *Witness) *WitnessService { return &WitnessService{witness: witness} }

// Hello implements the gRPC service.
func (s *WitnessService) Hello(_ context.Context, req *aubwire.HelloRequest) (*aubwire.HelloResponse, error) {
	return s.witness.Hello(req), nil
}

// PromiseCluster implements the gRPC service.
func (s *WitnessService) PromiseCluster(_ context.Context, req *aubwire.PromiseClusterRequest) (*aubwire.PromiseClusterResponse, error) {
	return s.witness.PromiseCluster(req), nil
}

package aubagent_test

import (
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// streamFault is a fault of the connection between executor and agent.
type streamFault int

const (
	noFault streamFault = iota
	// disconnect ends the connection instead of sending a frame.
	disconnect
	// dropBothWays drops a frame and everything after it in both directions.
	dropBothWays
	// dropToCaller drops a frame and everything after it towards the caller.
	dropToCaller
	// dropFromCaller drops everything from the caller once a frame is sent.
	dropFromCaller
)

// streamFaultInjector injects a fault into the first connection after set, at the
// frame with index frameIndex; heartbeats are not counted.
type streamFaultInjector struct {
	mu          sync.Mutex
	fault       streamFault
	frameIndex  int
	connections int
}

func (i *streamFaultInjector) set(fault streamFault, frameIndex int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fault, i.frameIndex, i.connections = fault, frameIndex, 0
}

func (i *streamFaultInjector) connectionCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.connections
}

func (i *streamFaultInjector) intercept(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	i.mu.Lock()
	i.connections++
	fault, frameIndex := i.fault, i.frameIndex
	if i.connections > 1 {
		fault = noFault
	}
	i.mu.Unlock()
	return handler(srv, &faultyStream{ServerStream: ss, fault: fault, frameIndex: frameIndex})
}

// faultyStream is a server stream with a fault from frame frameIndex on.
type faultyStream struct {
	grpc.ServerStream
	fault      streamFault
	frameIndex int

	mu         sync.Mutex
	frameCount int
	active     bool
}

// SendMsg implements grpc.ServerStream.
func (s *faultyStream) SendMsg(m any) error {
	if s.faultActive(m) {
		switch s.fault {
		case disconnect:
			return status.Error(codes.Unavailable, "connection closed by the test")
		case dropBothWays, dropToCaller:
			return nil
		default:
		}
	}
	return s.ServerStream.SendMsg(m)
}

// RecvMsg implements grpc.ServerStream.
func (s *faultyStream) RecvMsg(m any) error {
	for {
		if err := s.ServerStream.RecvMsg(m); err != nil {
			return err
		}
		s.mu.Lock()
		dropped := s.active && (s.fault == dropBothWays || s.fault == dropFromCaller)
		s.mu.Unlock()
		if !dropped {
			return nil
		}
	}
}

// faultActive counts the frame and reports whether the fault applies to it.
func (s *faultyStream) faultActive(m any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	frame, ok := m.(*aubwire.ExecuteFrame)
	if s.fault == noFault || !ok {
		return false
	}
	if frame.GetHeartbeat() == nil {
		s.active = s.active || s.frameCount == s.frameIndex
		s.frameCount++
	}
	return s.active
}

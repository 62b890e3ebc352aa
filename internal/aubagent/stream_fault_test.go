package aubagent_test

import (
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburndale/auburndale/internal/aubwire"
)

type wireFault int

const (
	wireWhole wireFault = iota
	// wireCut ends the connection in place of a frame.
	wireCut
	// wireSilent loses that frame and everything after it, both ways.
	wireSilent
	// wireMute loses that frame and everything after it towards the caller.
	wireMute
	// wireDeaf loses everything from the caller from that frame on.
	wireDeaf
)

// wire is the connection between executor and agent. The fault strikes the
// first connection only, at the frame of the given number, heartbeats not counted.
type wire struct {
	mu          sync.Mutex
	fault       wireFault
	at          int
	connections int
}

func (w *wire) set(fault wireFault, at int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault, w.at, w.connections = fault, at, 0
}

func (w *wire) opened() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.connections
}

func (w *wire) intercept(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	w.mu.Lock()
	w.connections++
	fault, at := w.fault, w.at
	if w.connections > 1 {
		fault = wireWhole
	}
	w.mu.Unlock()
	return handler(srv, &faultyStream{ServerStream: ss, fault: fault, at: at})
}

type faultyStream struct {
	grpc.ServerStream
	fault wireFault
	at    int

	mu     sync.Mutex
	frames int
	struck bool
}

// SendMsg implements grpc.ServerStream.
func (s *faultyStream) SendMsg(m any) error {
	if s.strikes(m) {
		switch s.fault {
		case wireCut:
			return status.Error(codes.Unavailable, "cut")
		case wireSilent, wireMute:
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
		lost := s.struck && (s.fault == wireSilent || s.fault == wireDeaf)
		s.mu.Unlock()
		if !lost {
			return nil
		}
	}
}

func (s *faultyStream) strikes(m any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	frame, ok := m.(*aubwire.ExecuteFrame)
	if s.fault == wireWhole || !ok {
		return false
	}
	if frame.GetHeartbeat() == nil {
		s.struck = s.struck || s.frames == s.at
		s.frames++
	}
	return s.struck
}

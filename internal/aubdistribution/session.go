package aubdistribution

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// maxConfirmationAge is the age of a server's confirmation above which a follower
// switches to another server.
const maxConfirmationAge = 5 * time.Second

// session runs one stream of a follower. It is not safe for concurrent use.
type session struct {
	common    aubcommon.Common
	publisher *publisher
	process   string
	address   string
	// hasOtherServers is true if the follower can switch to another server.
	hasOtherServers bool

	startedAt time.Time
	// lastReceivedAt is the time of the last message received.
	lastReceivedAt time.Time
	// sequence is the sequence of the last heartbeat sent.
	sequence uint64
	// pendingHeartbeats holds the heartbeats without a response, oldest first.
	pendingHeartbeats []sentHeartbeat
	// repairRequested is true after a resync or full state was requested, until a
	// configuration is accepted or the next heartbeat is due. It prevents further
	// requests meanwhile.
	repairRequested bool
	// partial holds the received parts of one message.
	partial []byte
}

// sentHeartbeat is a heartbeat sent by the follower.
type sentHeartbeat struct {
	sequence uint64
	sentAt   time.Time
}

// run follows the server until the stream fails, nothing is received within
// receiveTimeout or ctx is done. Another goroutine sends the requests, as a send may
// block on a connection that delivers no data.
func (s *session) run(ctx context.Context, conn grpc.ClientConnInterface) error {
	now := s.common.Timer.Now()
	s.lastReceivedAt, s.startedAt = now, now
	requests := make(chan *aubwire.WatchRequest, 1)
	responses := make(chan receiveResult[*aubwire.WatchResponse])
	go transferMessages(ctx, conn, requests, responses)
	ticks := s.common.Timer.Subscribe(ctx, heartbeatInterval)
	s.send(requests, &aubwire.WatchRequest{})
	for {
		select {
		case r := <-responses:
			if r.err != nil {
				return r.err
			}
			s.lastReceivedAt = s.common.Timer.Now()
			if err := s.handle(requests, r.message); err != nil {
				return err
			}
		case <-ticks:
			if s.common.Timer.Now().Sub(s.lastReceivedAt) > receiveTimeout {
				return &ReceiveTimeoutError{Address: s.address}
			}
			s.repairRequested = false
			s.send(requests, &aubwire.WatchRequest{})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// handle processes one message from the server.
func (s *session) handle(requests chan<- *aubwire.WatchRequest, r *aubwire.WatchResponse) error {
	current := s.publisher.newestConfig()
	switch m := r.GetMessage().(type) {
	case *aubwire.WatchResponse_Delta:
		next, action := mergeDelta(current, m.Delta)
		s.execute(requests, next, action)
	case *aubwire.WatchResponse_Full:
		next, action := mergeFull(current, m.Full)
		s.execute(requests, next, action)
	case *aubwire.WatchResponse_Heartbeat:
		if m.Heartbeat.GetVersion() > current.Version() {
			s.execute(requests, current, actionResync)
			return nil
		}
		return s.confirm(m.Heartbeat)
	case *aubwire.WatchResponse_Part:
		if complete := s.join(m.Part); complete != nil {
			return s.handle(requests, complete)
		}
	}
	return nil
}

// join adds a part and returns the message once it is complete, else nil. A part that
// does not continue the previous ones discards them; the next heartbeat then shows that
// changes are missing.
func (s *session) join(part *aubwire.WatchPart) *aubwire.WatchResponse {
	if part.GetOffset() == 0 {
		s.partial = nil
	}
	if part.GetOffset() != int64(len(s.partial)) {
		s.partial = nil
		return nil
	}
	s.partial = append(s.partial, part.GetData()...)
	if int64(len(s.partial)) < part.GetTotal() {
		return nil
	}
	message := &aubwire.WatchResponse{}
	err := proto.Unmarshal(s.partial, message)
	s.partial = nil
	if err != nil {
		s.common.Log.Warn("Received configuration can't be decoded.", zap.String("address", s.address), zap.Error(err))
		return nil
	}
	return message
}

// execute performs the action that follows from a message.
func (s *session) execute(requests chan<- *aubwire.WatchRequest, next aubquery.Config, action mergeAction) {
	switch action {
	case actionUpdate:
		s.publisher.update(next)
		s.repairRequested = false
	case actionResync:
		s.requestRepair(requests, &aubwire.WatchRequest{Resync: true})
	case actionRequestFull:
		s.common.Log.Warn("Received configuration does not match its digest.", zap.Uint64("version", next.Version()))
		s.requestRepair(requests, &aubwire.WatchRequest{Full: true})
	case actionNone:
	}
}

// requestRepair sends a request for a resync or the full state unless one is pending.
func (s *session) requestRepair(requests chan<- *aubwire.WatchRequest, r *aubwire.WatchRequest) {
	if s.repairRequested {
		return
	}
	s.repairRequested = s.send(requests, r)
}

// send adds the sequence and the current version and digest to a request and sends
// it; every request is a heartbeat too. It drops the request and returns false if an
// earlier one is still waiting to be sent.
func (s *session) send(requests chan<- *aubwire.WatchRequest, r *aubwire.WatchRequest) bool {
	current := s.publisher.newestConfig()
	r.Process = s.process
	r.Sequence = s.sequence + 1
	r.Version = current.Version()
	r.Digest = current.Digest().Bytes()
	now := s.common.Timer.Now()
	select {
	case requests <- r:
		s.sequence++
		s.pendingHeartbeats = append(s.pendingHeartbeats, sentHeartbeat{sequence: s.sequence, sentAt: now})
		return true
	default:
		return false
	}
}

// confirm handles the server's confirmation. Its age counts from the time the
// follower sent the heartbeat, so that network delay can't make it appear newer. The
// result is an *UnconfirmedServerError if the follower should switch to another server.
func (s *session) confirm(heartbeat *aubwire.WatchHeartbeat) error {
	sentAt, ok := s.acknowledge(heartbeat.GetSequence())
	if !ok {
		return nil
	}
	now := s.common.Timer.Now()
	confirmedAt := sentAt.Add(-time.Duration(heartbeat.GetConfirmedAgeMs()) * time.Millisecond)
	if heartbeat.GetConfirmed() {
		s.publisher.confirm(confirmedAt)
	}
	stale := !heartbeat.GetConfirmed() || now.Sub(confirmedAt) > maxConfirmationAge
	if s.hasOtherServers && stale && now.Sub(s.startedAt) > maxConfirmationAge {
		return &UnconfirmedServerError{Address: s.address}
	}
	return nil
}

// acknowledge returns the time the heartbeat with the given sequence was sent and
// removes this and all earlier heartbeats. It returns false if there is no such
// pending heartbeat.
func (s *session) acknowledge(sequence uint64) (time.Time, bool) {
	for i, p := range s.pendingHeartbeats {
		if p.sequence == sequence {
			s.pendingHeartbeats = s.pendingHeartbeats[i+1:]
			return p.sentAt, true
		}
	}
	return time.Time{}, false
}

// transferMessages opens the stream and transfers its messages in both directions
// until it fails or ctx is done.
func transferMessages(
	ctx context.Context, conn grpc.ClientConnInterface,
	requests <-chan *aubwire.WatchRequest, responses chan<- receiveResult[*aubwire.WatchResponse],
) {
	stream, err := aubwire.NewDistributionClient(conn).Watch(ctx)
	if err != nil {
		select {
		case responses <- receiveResult[*aubwire.WatchResponse]{err: err}:
		case <-ctx.Done():
		}
		return
	}
	go forwardMessages(ctx, stream.Recv, responses)
	for {
		select {
		case r := <-requests:
			if stream.Send(r) != nil {
				// The receiving goroutine reports the error.
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

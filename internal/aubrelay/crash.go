package aubrelay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubpoison"
	"github.com/auburndale/auburndale/internal/aubregistry"
)

const (
	// crashProbers is the number of lost connections that are examined at the same time.
	crashProbers = 4
	// maxQueuedProbes limits the backend servers that wait to be examined.
	maxQueuedProbes = 64
	// crashCheckInterval is the time between two checks whether a backend server that
	// accepted a connection after a loss has been replaced.
	crashCheckInterval = 250 * time.Millisecond
	// crashAttributionTime is how long after a lost connection the end of the backend
	// server still counts as its cause; a supervisor needs some seconds for a restart.
	crashAttributionTime = 10 * time.Second
	// acceptedAttributionTime applies once the backend server has accepted a connection after
	// the loss: only one that was restarted before that registers so soon.
	acceptedAttributionTime = 3 * time.Second
	// maxInterrupted limits the interrupted requests that are kept for one backend server.
	maxInterrupted = 256
)

// InterruptedRequest is a request whose connection to a backend server ended before its
// response was complete.
type InterruptedRequest struct {
	RequestID string
	aubpoison.Run
	// OnRunning is called instead of a report if the backend server accepts a connection
	// after the end; nil if the end was no complete response in any case.
	OnRunning func()

	// acceptedAt is when a connection was dialled after the end that the backend server
	// accepted; zero before.
	acceptedAt time.Time
}

// incarnation identifies one run of a backend server.
type incarnation struct {
	backend   string
	startedMs int64
}

func incarnationOf(member aubmembership.Member) incarnation {
	return incarnation{backend: member.Announcement.GetName(), startedMs: int64(member.Announcement.GetIncarnation())}
}

// connectionLoss is what is known of an incarnation since a connection to it was lost.
type connectionLoss struct {
	address    string
	firstAt    time.Time
	hasCrashed bool
	// isQueued is set while the backend server waits to be examined or is examined,
	// hasNewer if another connection was lost since that began.
	isQueued    bool
	hasNewer    bool
	interrupted []InterruptedRequest
	// onExamined is called once the examination ends.
	onExamined []func()
}

// CrashDetectorOpts configures a crash detector.
type CrashDetectorOpts struct {
	Registry *aubregistry.Registry
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
	// OnCrash is called for each crash, and again for requests whose loss is noticed later.
	OnCrash func(crash aubpoison.Crash)
}

// CrashDetector finds out whether a lost connection was due to a crash of the backend
// server: it then refuses connections or a later incarnation registers.
//
// Lock order: mu, then the registry's.
type CrashDetector struct {
	common  aubcommon.Common
	opts    CrashDetectorOpts
	crashes tally.Counter
	losses  tally.Counter
	probes  chan incarnation

	mu     sync.Mutex
	lossOf map[incarnation]*connectionLoss
}

// NewCrashDetector returns a detector that runs until ctx ends.
func NewCrashDetector(ctx context.Context, common aubcommon.Common, opts CrashDetectorOpts) *CrashDetector {
	common = common.WithPart("crash")
	d := &CrashDetector{
		common:  common,
		opts:    opts,
		crashes: common.Metrics.Counter("crashes"),
		losses:  common.Metrics.Counter("lost_connections"),
		probes:  make(chan incarnation, maxQueuedProbes),
		lossOf:  make(map[incarnation]*connectionLoss),
	}
	for range crashProbers {
		go func() {
			for {
				select {
				case key := <-d.probes:
					d.probe(ctx, key)
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	ticks := common.Timer.Subscribe(ctx, crashCheckInterval)
	go func() {
		for {
			select {
			case <-ticks:
				d.checkRegistry()
			case <-ctx.Done():
				return
			}
		}
	}()
	return d
}

// AddLoss records a lost connection to a backend server. It does nothing if the backend
// server has announced its departure.
func (d *CrashDetector) AddLoss(member aubmembership.Member, request InterruptedRequest) {
	key := incarnationOf(member)
	if d.opts.Registry.Status(key.backend, key.startedMs) == aubregistry.StatusLeaving {
		return
	}
	d.losses.Inc(1)
	d.mu.Lock()
	loss := d.lossOf[key]
	if loss == nil {
		loss = &connectionLoss{address: member.Announcement.GetAddress(), firstAt: request.EndedAt}
		d.lossOf[key] = loss
	}
	if len(loss.interrupted) < maxInterrupted {
		loss.interrupted = append(loss.interrupted, request)
	}
	loss.hasNewer = true
	if !loss.isQueued {
		select {
		case d.probes <- key:
			loss.isQueued = true
		default:
			// checkRegistry examines it later.
		}
	}
	d.mu.Unlock()
}

// AddLossAfter is AddLoss once the loss of the request's earlier connection was examined, so that
// the two count in the order in which they happened.
func (d *CrashDetector) AddLossAfter(earlier, member aubmembership.Member, request InterruptedRequest) {
	add := func() { d.AddLoss(member, request) }
	d.mu.Lock()
	loss := d.lossOf[incarnationOf(earlier)]
	isPending := loss != nil && loss.isQueued
	if isPending {
		loss.onExamined = append(loss.onExamined, add)
	}
	d.mu.Unlock()
	if !isPending {
		add()
	}
}

// probe examines a backend server until no connection to it was lost meanwhile.
func (d *CrashDetector) probe(ctx context.Context, key incarnation) {
	for {
		d.mu.Lock()
		loss := d.lossOf[key]
		if loss == nil || !loss.hasNewer {
			var onExamined []func()
			if loss != nil {
				loss.isQueued = false
				onExamined, loss.onExamined = loss.onExamined, nil
			}
			d.mu.Unlock()
			for _, call := range onExamined {
				call()
			}
			return
		}
		loss.hasNewer = false
		address, hasCrashed := loss.address, loss.hasCrashed
		d.mu.Unlock()
		d.examine(ctx, key, address, hasCrashed)
	}
}

// examine dials the backend server and reports a crash if it refuses the connection.
func (d *CrashDetector) examine(ctx context.Context, key incarnation, address string, hasCrashed bool) {
	if !hasCrashed && d.opts.Registry.Status(key.backend, key.startedMs) != aubregistry.StatusEnded {
		dialedAt := d.common.Timer.Now()
		conn, err := d.opts.Dial(ctx, "tcp", address)
		if err == nil {
			_ = conn.Close()
			d.confirmRunning(key, dialedAt)
			return
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		d.opts.Registry.MarkSuspect(key.backend, key.startedMs)
	}
	d.report(key)
}

// confirmRunning calls OnRunning of the requests that had ended when a connection was
// dialled which the backend server has accepted. Later ones are examined by the next dial.
func (d *CrashDetector) confirmRunning(key incarnation, dialedAt time.Time) {
	var confirmed []InterruptedRequest
	d.mu.Lock()
	if loss := d.lossOf[key]; loss != nil {
		loss.interrupted = slices.DeleteFunc(loss.interrupted, func(request InterruptedRequest) bool {
			isConfirmed := request.OnRunning != nil && !request.EndedAt.After(dialedAt)
			if isConfirmed {
				confirmed = append(confirmed, request)
			}
			return isConfirmed
		})
		for i, request := range loss.interrupted {
			if request.acceptedAt.IsZero() && !request.EndedAt.After(dialedAt) {
				loss.interrupted[i].acceptedAt = dialedAt
			}
		}
	}
	d.mu.Unlock()
	for _, request := range confirmed {
		request.OnRunning()
	}
}

// checkRegistry reports the crashes of backend servers that have been replaced since a
// connection was lost, and drops old losses.
func (d *CrashDetector) checkRegistry() {
	now := d.common.Timer.Now()
	var ended []incarnation
	d.mu.Lock()
	for key, loss := range d.lossOf {
		loss.interrupted = slices.DeleteFunc(loss.interrupted, func(request InterruptedRequest) bool {
			return !request.acceptedAt.IsZero() && now.Sub(request.acceptedAt) > acceptedAttributionTime
		})
		switch {
		case now.Sub(loss.firstAt) > crashAttributionTime:
			delete(d.lossOf, key)
		case len(loss.interrupted) > 0 && (loss.hasCrashed || d.opts.Registry.Status(key.backend, key.startedMs) == aubregistry.StatusEnded):
			ended = append(ended, key)
		}
	}
	d.mu.Unlock()
	for _, key := range ended {
		d.report(key)
	}
}

// report logs and passes on a crash with the requests that were not yet reported.
func (d *CrashDetector) report(key incarnation) {
	d.mu.Lock()
	loss := d.lossOf[key]
	if loss == nil || len(loss.interrupted) == 0 {
		d.mu.Unlock()
		return
	}
	isFirst := !loss.hasCrashed
	loss.hasCrashed = true
	interrupted := loss.interrupted
	loss.interrupted = nil
	sinceLoss := d.common.Timer.Now().Sub(loss.firstAt)
	d.mu.Unlock()
	if isFirst {
		d.crashes.Inc(1)
	}
	crash := aubpoison.Crash{Backend: key.backend, ID: fmt.Sprintf("%s@%d", key.backend, key.startedMs)}
	var ids, fingerprints []string
	for _, request := range interrupted {
		crash.Runs = append(crash.Runs, request.Run)
		ids = append(ids, request.RequestID)
		fingerprints = append(fingerprints, request.Fingerprints...)
	}
	d.common.Log.Warn("Backend server crashed while it ran requests.",
		zap.String("backend_server", key.backend), zap.Int64("backend_started_ms", key.startedMs),
		zap.Int64("since_loss_ms", sinceLoss.Milliseconds()), zap.Strings("request_ids", ids), zap.Strings("fingerprints", fingerprints))
	d.opts.OnCrash(crash)
}

package aubregistry

import (
	"cmp"
	"context"
	"errors"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// revisionChunkBytes is the size of one part of a document. Even on a slow link a part
	// takes far less than streamTimeout, so that a slow transfer does not look silent.
	revisionChunkBytes = 32 << 10
	// zonePreference is how long a fetch waits for a control process of the own
	// availability zone to announce the revision, so that it crosses no zones.
	zonePreference = 200 * time.Millisecond
	// fetchRetryDelay is the time after a failed fetch before the same control process is
	// asked again.
	fetchRetryDelay = 500 * time.Millisecond
)

// newestRevision returns the number of the newest committed revision, 0 before the local
// state is confirmed, and a channel that is closed when a newer one is committed.
func (s *Server) newestRevision() (uint64, <-chan struct{}) {
	revision, changed := s.opts.Revisions.Revision()
	if !s.opts.Confirmed() {
		return 0, changed
	}
	return revision.GetNumber(), changed
}

// FetchRevision implements aubwire.RegistryServer.
func (s *Server) FetchRevision(req *aubwire.FetchRevisionRequest, stream grpc.ServerStreamingServer[aubwire.RevisionChunk]) error {
	revision, _ := s.opts.Revisions.Revision()
	if revision.GetNumber() <= req.GetHeld() || !s.opts.Confirmed() {
		return status.Error(codes.FailedPrecondition, "no newer configuration is confirmed")
	}
	document := revision.GetDocument()
	for data := range slices.Chunk(document, revisionChunkBytes) {
		chunk := &aubwire.RevisionChunk{
			Number: revision.GetNumber(), Total: int64(len(document)), Data: data, Encoding: revision.GetEncoding(),
		}
		if err := stream.Send(chunk); err != nil {
			return err
		}
		s.common.Metrics.Counter("revision_bytes_sent").Inc(int64(len(data)))
	}
	return nil
}

// revisionFetcher fetches the newest announced revision, one transfer at a time. A running
// transfer is not given up for a newer revision, so that some revision always arrives.
type revisionFetcher struct {
	common aubcommon.Common
	client *Client
	// held is the number of the last fetched revision. Only the fetching goroutine uses
	// it.
	held uint64
	// outdatedSince is when a revision above held was first seen.
	outdatedSince time.Time
}

// newRevisionFetcher starts a fetcher that runs until ctx ends.
func newRevisionFetcher(ctx context.Context, client *Client) *revisionFetcher {
	f := &revisionFetcher{common: client.common, client: client}
	go func() {
		for ctx.Err() == nil {
			source, delay, announced := f.selectSource()
			if source != nil && delay == 0 {
				f.fetchFrom(ctx, source)
				continue
			}
			var elapsed <-chan time.Time
			if source != nil {
				elapsed = f.common.Timer.After(ctx, delay)
			}
			select {
			case <-announced:
			case <-elapsed:
			case <-ctx.Done():
			}
		}
	}()
	return f
}

// selectSource returns the control process from which to fetch next, nil if none announces
// a newer revision, the time to wait before, and a channel that is closed by the next
// announcement. Preferred is one whose last fetch did not fail, then one of the own
// availability zone; a hash of both ends spreads the others.
func (f *revisionFetcher) selectSource() (*controlLink, time.Duration, <-chan struct{}) {
	now := f.common.Timer.Now()
	c := f.client
	c.mu.Lock()
	defer c.mu.Unlock()
	var sources []*controlLink
	isZoneConnected := false
	for _, link := range c.links {
		if !link.connected {
			continue
		}
		isZoneConnected = isZoneConnected || f.isLocal(link) && link.retryDelay(now) == 0
		if link.newestRevision > f.held {
			sources = append(sources, link)
		}
	}
	if len(sources) == 0 {
		f.outdatedSince = time.Time{}
		return nil, 0, c.announced
	}
	if f.outdatedSince.IsZero() {
		f.outdatedSince = now
	}
	best := slices.MinFunc(sources, func(a, b *controlLink) int {
		return cmp.Or(
			cmp.Compare(a.retryDelay(now), b.retryDelay(now)),
			cmp.Compare(f.distance(a), f.distance(b)),
			cmp.Compare(xxhash.Sum64String(c.opts.Process+a.address), xxhash.Sum64String(c.opts.Process+b.address)),
		)
	})
	delay := best.retryDelay(now)
	if isZoneConnected && !f.isLocal(best) {
		delay = max(delay, zonePreference-now.Sub(f.outdatedSince))
	}
	return best, delay, c.announced
}

// isLocal reports whether the control process is in the own availability zone.
func (f *revisionFetcher) isLocal(link *controlLink) bool {
	return link.zone != "" && link.zone == f.client.opts.Zone
}

// distance is 0 in the own availability zone and 1 elsewhere.
func (f *revisionFetcher) distance(link *controlLink) int {
	if f.isLocal(link) {
		return 0
	}
	return 1
}

// retryDelay returns the time until a fetch from the control process may be tried again.
func (l *controlLink) retryDelay(now time.Time) time.Duration {
	if l.failedFetchAt.IsZero() {
		return 0
	}
	return max(0, fetchRetryDelay-now.Sub(l.failedFetchAt))
}

// fetchFrom fetches the newest revision of one control process and passes it on.
func (f *revisionFetcher) fetchFrom(ctx context.Context, link *controlLink) {
	startedAt := f.common.Timer.Now()
	revision, err := f.receive(ctx, link)
	number, document := revision.GetNumber(), revision.GetDocument()
	elapsed := f.common.Timer.Now().Sub(startedAt)
	f.common.Metrics.Counter("revision_bytes_received").Inc(int64(len(document)))
	if err != nil {
		f.common.Metrics.Counter("revision_fetch_failures").Inc(1)
		f.common.Log.Warn("Configuration not received.", zap.String("address", link.address), zap.Uint64("held", f.held),
			zap.Int("bytes", len(document)), zap.Int64("elapsed_ms", elapsed.Milliseconds()), zap.Error(err))
		f.setFailed(link)
		return
	}
	f.common.Log.Info("Configuration received.", zap.String("address", link.address), zap.Uint64("revision", number),
		zap.Int("bytes", len(document)), zap.Int64("elapsed_ms", elapsed.Milliseconds()),
		zap.Int64("since_announced_ms", f.common.Timer.Now().Sub(f.outdatedSince).Milliseconds()))
	f.held, f.outdatedSince = number, time.Time{}
	f.client.opts.OnRevision(revision)
}

// setFailed makes other control processes preferred for fetchRetryDelay.
func (f *revisionFetcher) setFailed(link *controlLink) {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	link.failedFetchAt = f.common.Timer.Now()
}

// receive receives one revision. Errors are *NoControlError, *SilentError,
// *IncompleteRevisionError or those of gRPC; the document then holds what was received.
func (f *revisionFetcher) receive(ctx context.Context, link *controlLink) (*aubwire.SiteRevision, error) {
	revision := &aubwire.SiteRevision{}
	conn := f.client.connOf(link)
	if conn == nil {
		return revision, &NoControlError{}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := aubwire.NewRegistryClient(conn).FetchRevision(ctx, &aubwire.FetchRevisionRequest{Held: f.held})
	if err != nil {
		return revision, err
	}
	var lastReceivedNs atomic.Int64
	lastReceivedNs.Store(f.common.Timer.Now().UnixNano())
	ticks := f.common.Timer.Subscribe(ctx, reportInterval)
	go func() {
		for {
			select {
			case now := <-ticks:
				if now.UnixNano()-lastReceivedNs.Load() > int64(streamTimeout) {
					cancel(&SilentError{Address: link.address})
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	var total int64
	for {
		chunk, err := stream.Recv()
		received := int64(len(revision.GetDocument()))
		switch {
		case errors.Is(err, io.EOF) && revision.GetNumber() > f.held && received == total:
			return revision, nil
		case errors.Is(err, io.EOF):
			return revision, &IncompleteRevisionError{Number: revision.GetNumber(), Received: received, Total: total}
		case err != nil:
			return revision, errors.Join(err, context.Cause(ctx))
		}
		lastReceivedNs.Store(f.common.Timer.Now().UnixNano())
		total = chunk.GetTotal()
		revision.Number, revision.Encoding = chunk.GetNumber(), chunk.GetEncoding()
		revision.Document = append(revision.Document, chunk.GetData()...)
	}
}

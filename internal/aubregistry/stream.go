package aubregistry

import (
	"context"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/auburndale/auburndale/internal/aubresume"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// streamReport reports the origins of a recorder on one stream to a control process. It
// begins with all of them, because the control process may have restarted.
type streamReport struct {
	recorder *aubresume.Recorder
	// number is that of the next origin to report.
	number uint64
	// changed is closed when there is another origin; nil while a report is due.
	changed <-chan struct{}
}

func newStreamReport(recorder *aubresume.Recorder) *streamReport {
	return &streamReport{recorder: recorder}
}

// next returns the origins that were not reported, at most maxReportedStreams.
func (s *streamReport) next() []*aubwire.StreamOrigin {
	if s.recorder == nil {
		return nil
	}
	var origins []*aubwire.StreamOrigin
	origins, s.number, s.changed = s.recorder.Since(s.number, maxReportedStreams)
	if len(origins) == maxReportedStreams {
		// More may be left.
		s.changed = closedChannel
	}
	return origins
}

var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// connectedConns returns the connections to all connected control processes, and the number of
// all known ones. Control processes without a disk are left out, because they hold no origins.
func (c *Client) connectedConns() (conns []*grpc.ClientConn, known int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, link := range c.links {
		if link.connected {
			conns = append(conns, link.conn)
		}
		if !link.isWithoutDisk {
			known++
		}
	}
	return conns, known
}

// FindStream asks all connected control processes for the origin of the stream that began
// with the call at one of the services. An empty ID is known to none.
func (c *Client) FindStream(ctx context.Context, callID string, services []string) aubresume.Answer {
	conns, known := c.connectedConns()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type reply struct {
		resp *aubwire.FindStreamResponse
		err  error
	}
	replies := make(chan reply, len(conns))
	for _, conn := range conns {
		go func() {
			resp, err := aubwire.NewRegistryClient(conn).FindStream(ctx, &aubwire.FindStreamRequest{Id: callID, Services: services})
			replies <- reply{resp, err}
		}()
	}
	var answer aubresume.Answer
	confirmed := 0
	for range conns {
		r := <-replies
		if r.resp.GetOrigin() != nil {
			return aubresume.Answer{Origin: r.resp.GetOrigin(), Coverage: aubresume.CoverageAll}
		}
		if r.err != nil {
			c.common.Log.Info("Control process gave no origin of a stream.", zap.String("resumes", callID), zap.Error(r.err))
			continue
		}
		answer.Software = append(answer.Software, r.resp.GetSoftware()...)
		if r.resp.GetConfirmed() {
			confirmed++
		}
	}
	answer.Coverage = aubresume.NewCoverage(confirmed, known)
	return answer
}

package aublimit_test

import (
	"context"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aublimit"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// fakeSource is the configuration used by the table and by every limiter.
type fakeSource struct {
	mu  sync.Mutex
	cfg aubquery.Config
}

func newFakeSource(workspaces ...aubapi.Workspace) *fakeSource {
	return &fakeSource{cfg: aubquery.NewConfig(aubquery.ConfigObjects{Workspaces: workspaces})}
}

func (s *fakeSource) Config() aubquery.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg
}

func (s *fakeSource) ConfirmedAt() time.Time { return time.Time{} }

func (s *fakeSource) Changed(uint64) <-chan struct{} { return nil }

func (s *fakeSource) workspace(name string) (aubapi.Workspace, bool) {
	return s.Config().Workspace(name)
}

func (s *fakeSource) set(workspaces ...aubapi.Workspace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg = aubquery.NewConfig(aubquery.ConfigObjects{Workspaces: workspaces})
}

// fakeLog is a proposer that applies commands to one table immediately.
type fakeLog struct {
	mu    sync.Mutex
	table *aublimit.Table
	index uint64
	// clock returns the replicated clock.
	clock func() time.Duration
	// bytes is the total size of the commands.
	bytes int
	// replyBytes is the total size of the encoded replies.
	replyBytes int
	// rejecting makes Apply fail with *aubcontrol.NotCommittedError.
	rejecting bool
	// replica, if any, applies the same commands and is never restored from a
	// snapshot.
	replica *aublimit.Table
}

var _ aubcontrol.Proposer = (*fakeLog)(nil)

func newFakeLog(source *fakeSource, params aublimit.LeaseParams, clock func() time.Duration) *fakeLog {
	return &fakeLog{
		table: aublimit.NewTable(aublimit.TableOpts{Workspaces: source.workspace, LeaseParams: params}),
		clock: clock,
	}
}

func (l *fakeLog) Apply(_ context.Context, _ string, body []byte) (aubcontrol.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rejecting {
		return aubcontrol.Result{}, &aubcontrol.NotCommittedError{Reason: "no leader"}
	}
	out := l.commit(body)
	return aubcontrol.Result{Index: l.index, Body: out}, nil
}

func (l *fakeLog) setRejecting(rejecting bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejecting = rejecting
}

// commit applies the command at the next index and returns the reply.
func (l *fakeLog) commit(body []byte) []byte {
	l.index++
	l.bytes += len(body)
	cmd := aubcontrol.Command{Index: l.index, Clock: l.clock(), Body: body}
	out := l.table.Apply(cmd)
	if l.replica != nil {
		l.replica.Apply(cmd)
	}
	l.replyBytes += len(out)
	return out
}

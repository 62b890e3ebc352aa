package aubclaim_test

import (
	"context"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubclaim"
	"github.com/auburndale/auburndale/internal/aubcontrol"
)

// fate is what becomes of one proposed command.
type fate int

const (
	fateCommitted fate = iota
	fateNotCommitted
	// fateReplyLost commits and leaves the proposer uncertain.
	fateReplyLost
	// fateLate leaves the proposer uncertain and commits at the next flush.
	fateLate
	// fateDoubled commits twice.
	fateDoubled
	// fateLost leaves the proposer uncertain and never commits.
	fateLost
)

// fakeLog is an ordered log in front of one table.
type fakeLog struct {
	mu    sync.Mutex
	table *aubclaim.Table
	index uint64
	clock time.Duration
	bytes int
	late  [][]byte
	// next decides the fate of each command.
	next func() fate
}

var _ aubcontrol.Proposer = (*fakeLog)(nil)

func newFakeLog(opts aubclaim.TableOpts, fates ...fate) *fakeLog {
	l := &fakeLog{table: aubclaim.NewTable(opts)}
	l.next = func() fate {
		if len(fates) == 0 {
			return fateCommitted
		}
		f := fates[0]
		fates = fates[1:]
		return f
	}
	return l
}

func (l *fakeLog) Apply(_ context.Context, _ string, body []byte) (aubcontrol.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.next() {
	case fateNotCommitted:
		return aubcontrol.Result{}, &aubcontrol.NotCommittedError{Reason: "no leader"}
	case fateReplyLost:
		l.commit(body)
		return aubcontrol.Result{}, &aubcontrol.UncertainError{Reason: "reply lost"}
	case fateLate:
		l.late = append(l.late, body)
		return aubcontrol.Result{}, &aubcontrol.UncertainError{Reason: "late"}
	case fateLost:
		return aubcontrol.Result{}, &aubcontrol.UncertainError{Reason: "lost"}
	case fateDoubled:
		l.commit(body)
	case fateCommitted:
	}
	return l.commit(body), nil
}

func (l *fakeLog) commit(body []byte) aubcontrol.Result {
	l.index++
	l.bytes += len(body)
	out := l.table.Apply(aubcontrol.Command{Index: l.index, Clock: l.clock, Body: body})
	return aubcontrol.Result{Index: l.index, Body: out}
}

// deliverLate commits what was held back.
func (l *fakeLog) deliverLate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, body := range l.late {
		l.commit(body)
	}
	l.late = nil
}

// advance moves the replicated clock and restores the table from its snapshot,
// as a replica that restarts does.
func (l *fakeLog) advance(d time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clock += d
	data, err := l.table.Snapshot()
	if err != nil {
		return err
	}
	return l.table.Restore(data)
}

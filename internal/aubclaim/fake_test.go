package aubclaim_test

import (
	"context"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubclaim"
	"github.com/auburndale/auburndale/internal/aubcontrol"
)

// delivery is how the log handles one proposed command.
type delivery int

const (
	deliveryCommitted delivery = iota
	deliveryNotCommitted
	// deliveryReplyLost commits the command and returns UncertainError.
	deliveryReplyLost
	// deliveryDelayed returns UncertainError and commits at the next commitDelayed.
	deliveryDelayed
	// deliveryDuplicated commits the command twice.
	deliveryDuplicated
	// deliveryLost returns UncertainError and never commits.
	deliveryLost
)

// fakeLog is a Proposer that commits commands to one table, with injected faults.
type fakeLog struct {
	mu    sync.Mutex
	table *aubclaim.Table
	index uint64
	clock time.Duration
	// bytes is the total size of the committed commands.
	bytes int
	// delayed holds the commands that commitDelayed commits.
	delayed [][]byte
	// nextDelivery returns the delivery of the next command.
	nextDelivery func() delivery
}

var _ aubcontrol.Proposer = (*fakeLog)(nil)

func newFakeLog(opts aubclaim.TableOpts, deliveries ...delivery) *fakeLog {
	l := &fakeLog{table: aubclaim.NewTable(opts)}
	l.setDeliveries(deliveries...)
	return l
}

// setDeliveries sets how the next commands are handled; all later ones are committed.
func (l *fakeLog) setDeliveries(deliveries ...delivery) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextDelivery = func() delivery {
		if len(deliveries) == 0 {
			return deliveryCommitted
		}
		d := deliveries[0]
		deliveries = deliveries[1:]
		return d
	}
}

func (l *fakeLog) Apply(_ context.Context, _ string, body []byte) (aubcontrol.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.nextDelivery() {
	case deliveryNotCommitted:
		return aubcontrol.Result{}, &aubcontrol.NotCommittedError{Reason: "no leader"}
	case deliveryReplyLost:
		l.commit(body)
		return aubcontrol.Result{}, &aubcontrol.UncertainError{Reason: "reply lost"}
	case deliveryDelayed:
		l.delayed = append(l.delayed, body)
		return aubcontrol.Result{}, &aubcontrol.UncertainError{Reason: "delayed"}
	case deliveryLost:
		return aubcontrol.Result{}, &aubcontrol.UncertainError{Reason: "lost"}
	case deliveryDuplicated:
		l.commit(body)
	case deliveryCommitted:
	}
	return l.commit(body), nil
}

func (l *fakeLog) commit(body []byte) aubcontrol.Result {
	l.index++
	l.bytes += len(body)
	out := l.table.Apply(aubcontrol.Command{Index: l.index, Clock: l.clock, Body: body})
	return aubcontrol.Result{Index: l.index, Body: out}
}

// committed returns the number of committed commands.
func (l *fakeLog) committed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.index
}

// commitDelayed commits the commands of deliveryDelayed.
func (l *fakeLog) commitDelayed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, body := range l.delayed {
		l.commit(body)
	}
	l.delayed = nil
}

// advance moves the replicated clock and restores the table from its snapshot, as
// a restarted replica does.
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

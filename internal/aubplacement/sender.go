package aubplacement

import (
	"context"
	"sync"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// senders is the number of orders sent at a time.
	senders = 8
	// maxQueuedOrders bounds the orders that wait for a sender.
	maxQueuedOrders = 64
)

// job is one order on its way.
type job struct {
	// number is the ledger's number of the send.
	number uint64
	member aubmembership.Member
	order  Order
	fence  uint64
	term   uint64
}

// sender is a pool of workers that send orders while the term lasts.
type sender struct {
	common aubcommon.Common
	opts   PlacerOpts
	ledger *ledger
	jobs   chan job
}

func newSender(common aubcommon.Common, opts PlacerOpts, l *ledger) *sender {
	return &sender{common: common, opts: opts, ledger: l, jobs: make(chan job, maxQueuedOrders)}
}

// start runs the workers until ctx ends.
func (s *sender) start(ctx context.Context, closed *sync.WaitGroup) {
	for range senders {
		closed.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case j := <-s.jobs:
					s.send(ctx, j)
				}
			}
		})
	}
}

// offer queues a job, or refuses it when too many wait.
func (s *sender) offer(j job) bool {
	select {
	case s.jobs <- j:
		return true
	default:
		return false
	}
}

// send checks the lease at the last moment and sends the order.
func (s *sender) send(ctx context.Context, j job) {
	request := j.request()
	ctx, cancel := context.WithTimeout(ctx, s.opts.OrderTimeout)
	defer cancel()
	if term, ok := s.opts.Leadership.Leading(); !ok || term != j.term {
		s.ledger.unsent(j.order, j.number)
		return
	}
	response, err := s.opts.Orders.Order(ctx, j.member, request)
	outcome := response.GetOutcome()
	if err != nil {
		outcome = aubwire.OrderOutcome_ORDER_OUTCOME_UNCERTAIN
	}
	s.ledger.answered(s.common.Timer.Now(), j.order, j.number, outcome)
	s.note(j, outcome, response.GetDetail(), err)
}

func (s *sender) note(j job, outcome aubwire.OrderOutcome, detail string, err error) {
	s.common.Metrics.Tagged(map[string]string{
		"action":  j.order.Action.String(),
		"outcome": outcome.String(),
		"reason":  string(j.order.Reason),
	}).Counter("orders").Inc(1)
	s.common.Log.Info("Order answered.",
		zap.Stringer("action", j.order.Action),
		zap.String("item", j.order.Item.Key.Name),
		zap.String("backend_server", j.order.Backend),
		zap.String("reason", string(j.order.Reason)),
		zap.Uint64("fence", j.fence),
		zap.Stringer("outcome", outcome),
		zap.String("detail", detail),
		zap.Error(err))
}

// request encodes the order.
func (j job) request() *aubwire.OrderRequest {
	action := aubwire.OrderAction_ORDER_ACTION_LOAD
	if j.order.Action == ActionUnload {
		action = aubwire.OrderAction_ORDER_ACTION_UNLOAD
	}
	return &aubwire.OrderRequest{
		OrderId:          uuid.NewString(),
		Fence:            j.fence,
		AgentIncarnation: j.order.Incarnation,
		Action:           action,
		Name:             j.order.Item.Key.Name,
		Adapter:          j.order.Item.Key.Adapter,
		Model:            j.order.Item.Base,
		MemoryBytes:      j.order.Item.MemoryBytes,
	}
}

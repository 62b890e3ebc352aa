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
	// senderWorkers is the number of orders sent concurrently.
	senderWorkers = 8
	// maxQueuedOrders bounds the orders that wait for a sender worker.
	maxQueuedOrders = 64
)

// queuedOrder is one attempt to send an order.
type queuedOrder struct {
	// attempt is the number of the attempt in the order table.
	attempt uint64
	member  aubmembership.Member
	order   Order
	fence   uint64
	term    uint64
}

// sender is a pool of workers that send orders while their term lasts.
type sender struct {
	common aubcommon.Common
	opts   PlacerOpts
	orders *orderTable
	queue  chan queuedOrder
}

func newSender(common aubcommon.Common, opts PlacerOpts, orders *orderTable) *sender {
	return &sender{common: common, opts: opts, orders: orders, queue: make(chan queuedOrder, maxQueuedOrders)}
}

// start runs the workers until ctx ends.
func (s *sender) start(ctx context.Context, workers *sync.WaitGroup) {
	for range senderWorkers {
		workers.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case queued := <-s.queue:
					s.send(ctx, queued)
				}
			}
		})
	}
}

// enqueue queues an order, or returns false if the queue is full.
func (s *sender) enqueue(queued queuedOrder) bool {
	select {
	case s.queue <- queued:
		return true
	default:
		return false
	}
}

// send checks the leadership lease immediately before it sends the order.
func (s *sender) send(ctx context.Context, queued queuedOrder) {
	request := queued.request()
	ctx, cancel := context.WithTimeout(ctx, s.opts.OrderTimeout)
	defer cancel()
	if term, ok := s.opts.Leadership.Leading(); !ok || term != queued.term {
		s.orders.remove(queued.order, queued.attempt)
		return
	}
	response, err := s.opts.Orders.Order(ctx, queued.member, request)
	outcome := response.GetOutcome()
	if err != nil {
		outcome = aubwire.OrderOutcome_ORDER_OUTCOME_UNCERTAIN
	}
	s.orders.recordOutcome(s.common.Timer.Now(), queued.order, queued.attempt, outcome)
	s.logOutcome(queued, outcome, response.GetDetail(), err)
}

// logOutcome counts and logs the outcome of an order.
func (s *sender) logOutcome(queued queuedOrder, outcome aubwire.OrderOutcome, detail string, err error) {
	s.common.Metrics.Tagged(map[string]string{
		"action":  queued.order.Action.String(),
		"outcome": outcome.String(),
		"reason":  string(queued.order.Reason),
	}).Counter("orders").Inc(1)
	s.common.Log.Info("Order attempt ended.",
		zap.Stringer("action", queued.order.Action),
		zap.String("item", queued.order.Item.Key.Name),
		zap.String("backend_server", queued.order.Backend),
		zap.String("reason", string(queued.order.Reason)),
		zap.Uint64("fence", queued.fence),
		zap.Stringer("outcome", outcome),
		zap.String("detail", detail),
		zap.Error(err))
}

// request returns the order as a message to the agent.
func (queued queuedOrder) request() *aubwire.OrderRequest {
	action := aubwire.OrderAction_ORDER_ACTION_LOAD
	if queued.order.Action == ActionUnload {
		action = aubwire.OrderAction_ORDER_ACTION_UNLOAD
	}
	return &aubwire.OrderRequest{
		OrderId:          uuid.NewString(),
		Fence:            queued.fence,
		AgentIncarnation: queued.order.Incarnation,
		Action:           action,
		Name:             queued.order.Item.Key.Name,
		Adapter:          queued.order.Item.Key.Adapter,
		Model:            queued.order.Item.Base,
		MemoryBytes:      queued.order.Item.MemoryBytes,
	}
}

package aubqueue

import (
	"context"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

// Default values of Opts.
const (
	// DefaultCapacity is the maximum number of running requests of a group before
	// the first SetCapacity.
	DefaultCapacity = 64
	// DefaultMaxWaiting is the maximum number of waiting requests for each workspace
	// and group.
	DefaultMaxWaiting = 4096
	// DefaultReservePerMille is the maximum reserve of a group, in thousandths of
	// its capacity.
	DefaultReservePerMille = 250
)

// Opts configures a queue. The zero value is usable.
type Opts struct {
	// Policy selects the order of waiting requests; empty means PolicyFair.
	Policy Policy
	// MaxRunning limits the running requests of all groups together; 0 means no limit.
	MaxRunning int
	// MaxRunningTokens limits the tokens of running requests in each group; 0 means
	// no limit. A request above the limit runs alone.
	MaxRunningTokens int64
	// DefaultCapacity is the capacity of a group before the first SetCapacity; 0
	// means the default.
	DefaultCapacity int
	// MaxWaiting limits the waiting requests for each workspace and group; 0 means
	// the default.
	MaxWaiting int
	// ReservePerMille is the maximum part of a group's capacity, in thousandths,
	// that is reserved for workspaces within their fair share; 0 means the default,
	// below 0 means none. Only PolicyFair has a reserve.
	ReservePerMille int
}

// Item describes a request for admission.
type Item struct {
	Workspace string
	// Weight is the weight of the workspace's fair share; below 1 counts as 1.
	Weight int64
	// Cost is the expected work of the request, in tokens.
	Cost int64
	// Group names the model or service whose requests share one capacity.
	Group string
	// Deadline is the latest time to start; zero means none.
	Deadline time.Time
	// Priority orders the requests of one workspace, highest first.
	Priority int
}

// Queue admits the requests of one entry instance. It is safe for concurrent use.
type Queue struct {
	common aubcommon.Common
	opts   Opts

	// mu guards all fields below, including the groups and their orders.
	mu     sync.Mutex
	groups map[string]*group
	// groupNames are the keys of groups in order of creation; nextGroup is the
	// round-robin position of dispatch in them.
	groupNames []string
	nextGroup  int
	running    int
}

// New returns an empty queue.
func New(common aubcommon.Common, opts Opts) *Queue {
	if opts.DefaultCapacity <= 0 {
		opts.DefaultCapacity = DefaultCapacity
	}
	if opts.MaxWaiting <= 0 {
		opts.MaxWaiting = DefaultMaxWaiting
	}
	if opts.ReservePerMille == 0 {
		opts.ReservePerMille = DefaultReservePerMille
	}
	if opts.Policy == PolicyFCFS {
		opts.ReservePerMille = 0
	}
	return &Queue{
		common: common.WithPart("queue"),
		opts:   opts,
		groups: make(map[string]*group),
	}
}

// Admit waits until the item may run. It returns *RefusedError immediately when
// the workspace's queue is full or the item is not expected to start by its
// deadline, and at the deadline when it has not started; *CanceledError when ctx
// is canceled first. After an error the item must not run.
func (q *Queue) Admit(ctx context.Context, item Item) (Slot, error) {
	if err := ctx.Err(); err != nil {
		return Slot{}, &CanceledError{Err: err}
	}
	w, err := q.enqueue(item)
	if err != nil {
		q.common.Metrics.Counter("refused").Inc(1)
		return Slot{}, err
	}
	return q.wait(ctx, w)
}

// SetCapacity sets the maximum number of running requests of the group. It does
// not stop requests that run already.
func (q *Queue) SetCapacity(name string, capacity int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.group(name).capacity = max(capacity, 0)
	q.dispatch()
}

// Waiting returns the number of waiting requests of the group.
func (q *Queue) Waiting(name string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.group(name).order.Len()
}

// enqueue adds the item to its group and starts it if a slot is free. Errors are
// *RefusedError.
func (q *Queue) enqueue(item Item) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	g := q.group(item.Group)
	now := q.common.Timer.Now()
	wait := g.expectedWait(item)
	if g.order.Waiting(item.Workspace) >= q.opts.MaxWaiting {
		return nil, &RefusedError{RetryAfter: retryAfter(wait), Reason: ReasonFull}
	}
	if excess := lateness(now, wait, item.Deadline); excess > 0 {
		return nil, &RefusedError{RetryAfter: retryAfter(excess), Reason: ReasonDeadline}
	}
	w := &waiter{item: item, group: g, admitted: make(chan struct{})}
	w.entry = &Entry[*waiter]{
		Value:    w,
		Flow:     item.Workspace,
		Weight:   item.Weight,
		Cost:     item.Cost,
		Priority: item.Priority,
	}
	g.workspaces.enqueue(item, now)
	g.order.Push(w.entry)
	q.dispatch()
	return w, nil
}

// wait waits until the waiter is admitted, its deadline passes or ctx is canceled.
func (q *Queue) wait(ctx context.Context, w *waiter) (Slot, error) {
	select {
	case <-w.admitted:
		return Slot{queue: q, waiter: w}, nil
	default:
	}
	timerCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var expired <-chan time.Time
	if !w.item.Deadline.IsZero() {
		expired = q.common.Timer.After(timerCtx, w.item.Deadline.Sub(q.common.Timer.Now()))
	}
	select {
	case <-w.admitted:
		return Slot{queue: q, waiter: w}, nil
	case <-ctx.Done():
		q.cancel(w)
		return Slot{}, &CanceledError{Err: ctx.Err()}
	case <-expired:
		return q.expire(w)
	}
}

// expire refuses a waiter at its deadline, unless it was admitted meanwhile.
func (q *Queue) expire(w *waiter) (Slot, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.running {
		return Slot{queue: q, waiter: w}, nil
	}
	wait := w.group.expectedWait(w.item)
	w.group.remove(w)
	q.common.Metrics.Counter("refused").Inc(1)
	q.dispatch()
	return Slot{}, &RefusedError{RetryAfter: retryAfter(wait), Reason: ReasonDeadline}
}

// cancel removes a waiter of a canceled request and releases its slot if it was
// admitted meanwhile.
func (q *Queue) cancel(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.running {
		q.finish(w)
	} else {
		w.group.remove(w)
	}
	q.dispatch()
}

// release ends an admitted request, measures its run time and starts waiting requests.
func (q *Queue) release(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !w.running {
		return
	}
	w.group.observe(w.item.Cost, q.common.Timer.Now().Sub(w.startedAt))
	q.finish(w)
	q.dispatch()
}

// finish frees the slot of an admitted request.
func (q *Queue) finish(w *waiter) {
	w.running = false
	w.group.finish(w.item)
	q.running--
}

// dispatch starts waiting requests while capacity is free. It serves the groups in
// round-robin order, so that no group uses up MaxRunning alone.
func (q *Queue) dispatch() {
	now := q.common.Timer.Now()
	for idleGroups := 0; idleGroups < len(q.groupNames); {
		if q.opts.MaxRunning > 0 && q.running >= q.opts.MaxRunning {
			return
		}
		q.nextGroup = (q.nextGroup + 1) % len(q.groupNames)
		w := q.groups[q.groupNames[q.nextGroup]].startNext(now, q.opts)
		if w == nil {
			idleGroups++
			continue
		}
		q.running++
		close(w.admitted)
		idleGroups = 0
	}
}

// group returns the group of the name, created on first use.
func (q *Queue) group(name string) *group {
	g, ok := q.groups[name]
	if !ok {
		g = newGroup(q.opts.Policy, q.opts.DefaultCapacity)
		q.groups[name] = g
		q.groupNames = append(q.groupNames, name)
	}
	return g
}

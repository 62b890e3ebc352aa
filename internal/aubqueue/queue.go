package aubqueue

import (
	"context"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

// Defaults of the options.
const (
	// DefaultCapacity is the number of running requests of a group whose capacity
	// was never set.
	DefaultCapacity = 64
	// DefaultMaxWaiting is the number of waiting requests for each workspace and group.
	DefaultMaxWaiting = 4096
	// DefaultReservePerMille is the largest part of the capacity left free by
	// workspaces above their fair share.
	DefaultReservePerMille = 250
)

// Opts configures a queue. The zero value is usable.
type Opts struct {
	// Policy is the order of waiting requests; empty means PolicyFair.
	Policy Policy
	// MaxRunning bounds the running requests of all groups; 0 means no bound.
	MaxRunning int
	// MaxRunningTokens bounds the tokens of running requests in each group; 0
	// means no bound. A request above it runs alone.
	MaxRunningTokens int64
	// DefaultCapacity is the capacity of a group before SetCapacity.
	DefaultCapacity int
	// MaxWaiting bounds the waiting requests for each workspace and group.
	MaxWaiting int
	// ReservePerMille is the largest part of a group's capacity, in thousandths,
	// that workspaces above their fair share leave free for the others; below 0
	// means none. Only PolicyFair has a reserve.
	ReservePerMille int
}

// Item is a request that asks for admission.
type Item struct {
	Workspace string
	// Weight is the workspace's share; below 1 counts as 1.
	Weight int64
	// Cost is in tokens.
	Cost int64
	// Group is the model or service that shares a capacity.
	Group string
	// Deadline is the latest moment to start; zero means none.
	Deadline time.Time
	// Priority orders requests of one workspace, highest first.
	Priority int
}

// Queue admits requests of one entry instance. It is safe for concurrent use.
type Queue struct {
	common aubcommon.Common
	opts   Opts

	// mu guards everything below, groups and their orders included.
	mu      sync.Mutex
	groups  map[string]*group
	names   []string
	next    int
	running int
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

// Admit waits until the item may run. It returns *RefusedError at once when the
// queue shows that the item cannot start by its deadline, and *CanceledError
// when ctx ends first. Neither ran anything.
func (q *Queue) Admit(ctx context.Context, item Item) (Slot, error) {
	if err := ctx.Err(); err != nil {
		return Slot{}, &CanceledError{Err: err}
	}
	w, err := q.enter(item)
	if err != nil {
		q.common.Metrics.Counter("refused").Inc(1)
		return Slot{}, err
	}
	return q.wait(ctx, w)
}

// SetCapacity sets how many requests of the group may run at once. Running
// requests are not touched.
func (q *Queue) SetCapacity(name string, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.group(name).capacity = max(n, 0)
	q.dispatch()
}

// Waiting returns the number of requests that wait in the group.
func (q *Queue) Waiting(name string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.group(name).order.Len()
}

func (q *Queue) enter(item Item) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	g := q.group(item.Group)
	now := q.common.Timer.Now()
	delay := g.delay(item)
	if g.order.Waiting(item.Workspace) >= q.opts.MaxWaiting {
		return nil, &RefusedError{RetryAfter: retryAfter(delay), Reason: ReasonFull}
	}
	if late := lateness(now, delay, item.Deadline); late > 0 {
		return nil, &RefusedError{RetryAfter: retryAfter(late), Reason: ReasonDeadline}
	}
	w := &waiter{item: item, group: g, admitted: make(chan struct{})}
	w.entry = &Entry[*waiter]{
		Value:    w,
		Flow:     item.Workspace,
		Weight:   item.Weight,
		Cost:     item.Cost,
		Priority: item.Priority,
	}
	g.tenants.arrive(item, now)
	g.order.Push(w.entry)
	q.dispatch()
	return w, nil
}

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
		q.leave(w)
		return Slot{}, &CanceledError{Err: ctx.Err()}
	case <-expired:
		return q.expire(w)
	}
}

// expire refuses a waiter whose deadline passed, unless it was just admitted.
func (q *Queue) expire(w *waiter) (Slot, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.running {
		return Slot{queue: q, waiter: w}, nil
	}
	delay := w.group.delay(w.item)
	w.group.remove(w)
	q.common.Metrics.Counter("refused").Inc(1)
	q.dispatch()
	return Slot{}, &RefusedError{RetryAfter: retryAfter(delay), Reason: ReasonDeadline}
}

// leave takes out a waiter, whether it waits or was just admitted.
func (q *Queue) leave(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.running {
		q.finish(w)
	} else {
		w.group.remove(w)
	}
	q.dispatch()
}

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

func (q *Queue) finish(w *waiter) {
	w.running = false
	w.group.finish(w.item)
	q.running--
}

// dispatch starts what fits. Groups take turns, so that none of them keeps the
// bound over all groups to itself.
func (q *Queue) dispatch() {
	now := q.common.Timer.Now()
	for idle := 0; idle < len(q.names); {
		if q.opts.MaxRunning > 0 && q.running >= q.opts.MaxRunning {
			return
		}
		q.next = (q.next + 1) % len(q.names)
		w := q.groups[q.names[q.next]].startNext(now, q.opts)
		if w == nil {
			idle++
			continue
		}
		q.running++
		close(w.admitted)
		idle = 0
	}
}

func (q *Queue) group(name string) *group {
	g, ok := q.groups[name]
	if !ok {
		g = newGroup(q.opts.Policy, q.opts.DefaultCapacity)
		q.groups[name] = g
		q.names = append(q.names, name)
	}
	return g
}

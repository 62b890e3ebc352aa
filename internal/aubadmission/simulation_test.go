package aubadmission_test

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/auburndale/auburndale/internal/aubadmission"
)

const (
	simRelays = 24
	// simReportStep is the time between two reports of a relay's load, simReportLag the age of
	// those that the others use.
	simReportStep = 10 * time.Millisecond
	simReportLag  = 70 * time.Millisecond
	// simRate is the prefill rate that relays assume, in tokens a second.
	simRate = 40000
	// simQueue is the number of requests that wait at a plain server before it rejects more.
	simQueue = 24
	// simSample is the number of servers between which a relay chooses.
	simSample = 3
	// simMaxLoadAge is the age from which relays ignore a peer's load.
	simMaxLoadAge = 2500 * time.Millisecond
)

// simKind is one kind of request with its load.
type simKind struct {
	name      string
	priority  int
	objective time.Duration
	timeout   time.Duration
	isDefer   bool
	isStream  bool
	tokens    int64
	output    time.Duration
	// rate is the number of arrivals per second at a time.
	rate func(at time.Duration) float64
}

// simCall is one caller's request with its retries.
type simCall struct {
	kind      *simKind
	arrivedAt time.Duration
	relay     int
	server    int
	load      aubadmission.Load
	sentAt    time.Duration
	waitLimit time.Duration
	heldSince time.Duration
	ticket    *aubadmission.Ticket
	tokens    int64
	isSent    bool
	isServed  bool
	refusals  int
	// longestRefusedHold is the longest time that an attempt was held and then refused.
	longestRefusedHold time.Duration
	latency            time.Duration
}

// simServer is a backend server: a plain one with slots and a queue, or an engine that
// prefills one prompt after another.
type simServer struct {
	slots       int
	serviceTime time.Duration
	prefillRate float64
	running     int
	queue       []*simCall
	isPrefill   bool
}

// simLoad is the load of one relay on each server.
type simLoad struct {
	requests []int
	tokens   []int64
}

type simEvent struct {
	at   time.Duration
	seq  int
	call func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any) {
	if event, ok := x.(simEvent); ok {
		*e = append(*e, event)
	}
}

func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simRelay is what one relay knows.
type simRelay struct {
	estimator *aubadmission.Estimator
	kinds     *aubadmission.Kinds
	queue     *aubadmission.Queue
	own       simLoad
	// reports are the last reports of this relay, newest last.
	reports []simLoad
	// frozenAt is when the relay sent its last report; 0 while it reports.
	frozenAt time.Duration
}

// simulation runs callers, relays and backend servers on a clock of its own.
type simulation struct {
	now     time.Duration
	seq     int
	events  simEvents
	rnd     *rand.Rand
	relays  []*simRelay
	servers []*simServer
	calls   []*simCall
	// isAdmitting is false for the behaviour without admission by objective.
	isAdmitting bool
	// arrivals draws the arrivals, so that both behaviours get the same ones.
	arrivals *rand.Rand
	// areReportsLost is set while no relay gets a report; lostSince is when that began.
	areReportsLost bool
	lostSince      time.Duration
}

func newSimulation(seed uint64, isAdmitting bool, servers ...*simServer) *simulation {
	s := &simulation{rnd: rand.New(rand.NewPCG(seed, seed)), arrivals: rand.New(rand.NewPCG(seed, 0)), servers: servers, isAdmitting: isAdmitting}
	for range simRelays {
		s.relays = append(s.relays, &simRelay{
			estimator: aubadmission.NewEstimator(s), kinds: aubadmission.NewKinds(s), queue: aubadmission.NewQueue(512, 1<<20),
			own: simLoad{requests: make([]int, len(servers)), tokens: make([]int64, len(servers))},
		})
	}
	return s
}

// Now implements aubtimer.Service.
func (s *simulation) Now() time.Time { return time.Unix(0, 0).Add(s.now) }

// Subscribe implements aubtimer.Service.
func (s *simulation) Subscribe(context.Context, time.Duration) <-chan time.Time { return nil }

// After implements aubtimer.Service.
func (s *simulation) After(context.Context, time.Duration) <-chan time.Time { return nil }

func (s *simulation) at(at time.Duration, call func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: max(at, s.now), seq: s.seq, call: call})
}

// run runs the arrivals of the kinds for the duration and all that follows from them.
func (s *simulation) run(length time.Duration, kinds ...*simKind) {
	for _, kind := range kinds {
		s.arrive(kind, length)
	}
	s.report(length + 15*time.Second)
	for len(s.events) > 0 {
		event, _ := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.call()
	}
}

func (s *simulation) arrive(kind *simKind, end time.Duration) {
	if s.now > end {
		return
	}
	rate := kind.rate(s.now)
	if rate <= 0 {
		s.at(s.now+10*time.Millisecond, func() { s.arrive(kind, end) })
		return
	}
	s.at(s.now+time.Duration(s.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		call := &simCall{kind: kind, arrivedAt: s.now, tokens: int64(float64(kind.tokens) * (0.5 + s.arrivals.Float64()))}
		s.calls = append(s.calls, call)
		s.attempt(call)
		s.arrive(kind, end)
	})
}

func (s *simulation) report(end time.Duration) {
	for _, relay := range s.relays {
		report := simLoad{requests: append([]int(nil), relay.own.requests...), tokens: append([]int64(nil), relay.own.tokens...)}
		if relay.frozenAt > 0 && len(relay.reports) > 0 {
			report = relay.reports[len(relay.reports)-1]
		}
		relay.reports = append(relay.reports, report)
		if keep := int(simReportLag / simReportStep); len(relay.reports) > keep {
			relay.reports = relay.reports[len(relay.reports)-keep:]
		}
	}
	if s.now < end {
		s.at(s.now+simReportStep, func() { s.report(end) })
	}
}

func (s *simulation) attempt(call *simCall) {
	call.relay = s.rnd.IntN(simRelays)
	call.heldSince = s.now
	s.decide(call)
}

// choose returns the server with the least expected time and its load as the relay sees it.
func (s *simulation) choose(relay *simRelay, call *simCall) (int, aubadmission.Load, int64) {
	best, bestLoad, bestTokens := -1, aubadmission.Load{}, int64(0)
	candidates := s.rnd.Perm(len(s.servers))
	if s.isAdmitting {
		candidates = candidates[:min(simSample, len(candidates))]
	}
	for _, index := range candidates {
		requests, tokens := s.loadOf(relay, index)
		assumed := time.Duration(float64(tokens+call.tokens)/simRate*float64(time.Second)) + time.Duration(requests)*500*time.Microsecond
		if best < 0 || assumed < bestLoad.Assumed {
			best, bestLoad, bestTokens = index, aubadmission.Load{InFlight: requests, Slots: s.servers[index].slots, Assumed: assumed}, tokens
		}
	}
	return best, bestLoad, bestTokens
}

func (s *simulation) loadOf(relay *simRelay, server int) (requests int, tokens int64) {
	if s.areReportsLost && s.now-s.lostSince > simMaxLoadAge {
		return relay.own.requests[server] * simRelays, relay.own.tokens[server] * simRelays
	}
	requests, tokens = relay.own.requests[server], relay.own.tokens[server]
	for _, other := range s.relays {
		isTooOld := other.frozenAt > 0 && s.now-other.frozenAt > simMaxLoadAge
		if other != relay && len(other.reports) > 0 && !isTooOld {
			requests += other.reports[0].requests[server]
			tokens += other.reports[0].tokens[server]
		}
	}
	return requests, tokens
}

func (s *simulation) decide(call *simCall) {
	relay, kind := s.relays[call.relay], call.kind
	if call.ticket != nil && !call.ticket.IsFirst() && s.now-call.heldSince < call.waitLimit {
		s.at(min(s.now+15*time.Millisecond, call.heldSince+call.waitLimit), func() { s.decide(call) })
		return
	}
	server, load, tokens := s.choose(relay, call)
	if !s.isAdmitting {
		s.send(call, server, load)
		return
	}
	load.IsBlind = s.areReportsLost && s.now-s.lostSince > simMaxLoadAge
	keys := simKeys(call, server)
	spent := s.now - call.arrivedAt
	observed := aubadmission.Kind{
		Revision: 1, Route: kind.name, Service: "s", Priority: kind.priority, Objective: kind.objective, IsDeferrable: kind.isDefer,
		Timeout: kind.timeout - (call.heldSince - call.arrivedAt),
	}
	request := aubadmission.Request{
		Objective: kind.objective, Held: s.now - call.heldSince, TimeLeft: kind.timeout - spent, IsDeferrable: kind.isDefer,
		IsWaiting: call.ticket != nil, IsStream: kind.isStream,
	}
	call.waitLimit = aubadmission.WaitLimit(request)
	request.Elapsed, request.UrgentObjective = relay.kinds.Observe(observed)
	request.IsCrowded = relay.kinds.IsCrowded(observed)
	state := aubadmission.Server{InFlight: load.InFlight, Slots: load.Slots, PendingTokens: tokens, IsBlind: load.IsBlind}
	if kind.isStream {
		state.Expected, state.IsKnown = relay.estimator.ExpectFirstEvent(keys, load)
	} else {
		state.Expected, state.IsKnown = relay.estimator.ExpectAnswer(keys, load)
	}
	switch decision := aubadmission.Decide(request, state, s.rnd.Float64()); decision.Action {
	case aubadmission.ActionSend:
		s.leave(call)
		s.send(call, server, load)
	case aubadmission.ActionRefuse:
		s.leave(call)
		call.longestRefusedHold = max(call.longestRefusedHold, request.Held)
		relay.kinds.ObserveRefusal(observed, request.Elapsed == 0)
		s.refuse(call, decision.RetryAfter)
	case aubadmission.ActionWait:
		if call.ticket == nil {
			ticket, ok := relay.queue.Enter("s", aubadmission.Entry{Priority: kind.priority, LatestStart: s.Now().Add(aubadmission.WaitLimit(request) - request.Held)})
			if !ok {
				s.refuse(call, aubadmission.RefuseFull(request, s.rnd.Float64()).RetryAfter)
				return
			}
			call.ticket = ticket
		}
		left := max(call.waitLimit-request.Held, 0)
		s.at(s.now+min(left, 15*time.Millisecond+time.Duration(s.rnd.Int64N(int64(15*time.Millisecond)))), func() { s.decide(call) })
	}
}

func (s *simulation) leave(call *simCall) {
	if call.ticket != nil {
		call.ticket.Leave()
		call.ticket = nil
	}
}

func simKeys(call *simCall, server int) aubadmission.Keys {
	return aubadmission.Keys{Server: strconv.Itoa(server), Target: "s"}
}

// refuse makes the caller return if the advised time is within a third of the time it has left.
func (s *simulation) refuse(call *simCall, retryAfter time.Duration) {
	call.refusals++
	left := call.kind.timeout - (s.now - call.arrivedAt)
	if retryAfter > left/3 || left <= 0 {
		return
	}
	s.at(s.now+retryAfter, func() { s.attempt(call) })
}

func (s *simulation) send(call *simCall, server int, load aubadmission.Load) {
	relay := s.relays[call.relay]
	target := s.servers[server]
	if target.prefillRate == 0 && target.running >= target.slots && len(target.queue) >= simQueue {
		s.refuse(call, 500*time.Millisecond)
		return
	}
	call.server, call.load, call.sentAt, call.isSent = server, load, s.now, true
	relay.own.requests[server]++
	relay.own.tokens[server] += call.tokens
	target.queue = append(target.queue, call)
	s.serve(target)
}

// serve starts what the server can start now.
func (s *simulation) serve(server *simServer) {
	if server.prefillRate > 0 {
		s.prefill(server)
		return
	}
	for server.running < server.slots && len(server.queue) > 0 {
		call := server.queue[0]
		server.queue = server.queue[1:]
		server.running++
		length := time.Duration((0.8 + 0.4*s.rnd.Float64()) * float64(server.serviceTime))
		s.at(s.now+length, func() {
			server.running--
			s.firstEvent(call)
			s.end(call)
			s.serve(server)
		})
	}
}

func (s *simulation) prefill(server *simServer) {
	if server.isPrefill || len(server.queue) == 0 || server.running >= server.slots {
		return
	}
	call := server.queue[0]
	server.queue = server.queue[1:]
	server.isPrefill = true
	server.running++
	s.at(s.now+time.Duration(float64(call.tokens)/server.prefillRate*float64(time.Second)), func() {
		server.isPrefill = false
		s.firstEvent(call)
		s.at(s.now+call.kind.output, func() {
			server.running--
			s.end(call)
			s.prefill(server)
		})
		s.prefill(server)
	})
}

func (s *simulation) firstEvent(call *simCall) {
	relay := s.relays[call.relay]
	call.isServed, call.latency = true, s.now-call.arrivedAt
	relay.own.tokens[call.server] -= call.tokens
	keys := simKeys(call, call.server)
	if call.kind.isStream {
		relay.estimator.ObserveFirstEvent(keys, call.load, s.now-call.sentAt)
	} else {
		relay.estimator.ObserveAnswer(keys, call.load, s.now-call.sentAt)
	}
}

func (s *simulation) end(call *simCall) { s.relays[call.relay].own.requests[call.server]-- }

// simResult counts the calls of one kind.
type simResult struct {
	calls, served, onTime, refused int
	longestRefusedHold             time.Duration
}

// result counts the calls of the kind that arrived in the interval.
func (s *simulation) result(kind *simKind, from, to time.Duration) simResult {
	var r simResult
	for _, call := range s.calls {
		if call.kind != kind || call.arrivedAt < from || call.arrivedAt > to {
			continue
		}
		r.calls++
		if call.isServed {
			r.served++
		} else {
			r.refused++
		}
		if call.isServed && call.latency <= kind.objective {
			r.onTime++
		}
		r.longestRefusedHold = max(r.longestRefusedHold, call.longestRefusedHold)
	}
	return r
}

func (r simResult) onTimeShare() float64 { return float64(r.onTime) / float64(max(r.calls, 1)) }
func (r simResult) servedShare() float64 { return float64(r.served) / float64(max(r.calls, 1)) }

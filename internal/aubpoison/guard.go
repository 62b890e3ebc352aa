package aubpoison

import (
	"context"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxUnsent limits the commands that wait to be committed.
	maxUnsent = 256
	// maxCounted limits the remembered pairs of crash and fingerprint, and the remembered
	// fingerprints.
	maxCounted = 4096
	// maxRunsPerCommand limits the size of one command.
	maxRunsPerCommand = 64
	// commitTimeout limits one attempt to commit a command, trialTimeout the wait of a
	// request for its trial.
	commitTimeout = time.Second
	trialTimeout  = 250 * time.Millisecond
	// commitRetryDelay is the time between two attempts to commit a command.
	commitRetryDelay = 250 * time.Millisecond
	// unsentRetention is how long a process without contact to the control quorum keeps what
	// it has seen itself.
	unsentRetention = 2 * time.Minute
	// unreachableRetryAfter is the advised time to retry while the control quorum can't be
	// asked for a trial.
	unreachableRetryAfter = time.Second
)

// Source knows the status of fingerprints: the table or a copy of it.
type Source interface {
	Status(fingerprint string) Status
	// Merge applies statuses that a committed command returned.
	Merge(statuses []*aubwire.PoisonStatus)
}

// Merge implements Source. The table applies each command itself.
func (t *Table) Merge([]*aubwire.PoisonStatus) {}

// ApplyFunc commits a command to the table.
type ApplyFunc func(ctx context.Context, command *aubwire.PoisonCommand) (*aubwire.PoisonResult, error)

// NewApplyFunc returns a function that commits commands with the proposer.
func NewApplyFunc(proposer aubcontrol.Proposer) ApplyFunc {
	return func(ctx context.Context, command *aubwire.PoisonCommand) (*aubwire.PoisonResult, error) {
		body, err := proto.Marshal(command)
		if err != nil {
			return nil, oops.In("poison").Wrapf(err, "encode command")
		}
		committed, err := proposer.Apply(ctx, TableName, body)
		if err != nil {
			return nil, oops.In("poison").Wrapf(err, "commit command")
		}
		result := &aubwire.PoisonResult{}
		err = proto.Unmarshal(committed.Body, result)
		return result, oops.In("poison").Wrapf(err, "decode result")
	}
}

// Run is a request that was interrupted by a crash.
type Run struct {
	Fingerprints []string
	StartedAt    time.Time
	EndedAt      time.Time
	// IsTrial is set if the request was admitted as a trial.
	IsTrial bool
	// ownCrashes is the count of each fingerprint in this process, with this run.
	ownCrashes []uint32
}

// Crash is one crash of a backend server.
type Crash struct {
	Backend string
	// ID identifies the crash; every process that observed it uses the same ID.
	ID string
	// Fingerprints are those of all requests in flight, if an agent knows them.
	Fingerprints []string
	// Runs are the requests of one relay.
	Runs []Run
}

// fingerprints returns the distinct fingerprints of the crash.
func (c Crash) fingerprints() []string {
	all := slices.Clone(c.Fingerprints)
	for _, run := range c.Runs {
		all = append(all, run.Fingerprints...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Admission is how a request may run.
type Admission int

// Admissions.
const (
	// AdmissionClear: as usual.
	AdmissionClear Admission = iota
	// AdmissionTrial: as a trial of its blocked fingerprints. Its end is reported with
	// ReportCrash, ReportCompletion or EndTrial.
	AdmissionTrial
)

// unsentCommand is a command that is not yet committed.
type unsentCommand struct {
	command *aubwire.PoisonCommand
	crash   Crash
	addedAt time.Time
}

// localSuspect is a fingerprint with crashes that are not yet committed.
type localSuspect struct {
	// unsent is the number of its commands in the queue.
	unsent int
	// crashes is the number that counts once all are committed.
	crashes int
}

// ownCount is what one process has counted for a fingerprint since a request with it was
// answered.
type ownCount struct {
	crashes uint32
	// lastEndedAt is when the crash that was counted last interrupted a run.
	lastEndedAt time.Time
}

// countedCrash is a crash that was counted for a fingerprint.
type countedCrash struct{ id, fingerprint string }

// Guard decides in one process which requests may run, and reports to the table what
// happened to them. Crashes that can't be committed count in this process alone until
// they are.
//
// Lock order: mu, then the source's.
type Guard struct {
	common  aubcommon.Common
	source  Source
	apply   ApplyFunc
	queue   chan *unsentCommand
	blocked tally.Counter
	trials  tally.Counter
	dropped tally.Counter

	mu sync.Mutex
	// local holds the fingerprints with crashes that are not yet committed.
	local map[string]*localSuspect
	// counted holds the crashes that were counted here, because several requests of one
	// process report the same crash.
	counted *lru.Cache[countedCrash, struct{}]
	// own holds what this process has counted itself, by fingerprint.
	own *lru.Cache[string, ownCount]
	// completing holds the fingerprints whose complete answer is not yet committed.
	completing map[string]bool
}

// NewGuard returns a guard that commits its commands until ctx ends.
func NewGuard(ctx context.Context, common aubcommon.Common, source Source, apply ApplyFunc) *Guard {
	common = common.WithPart("poison")
	// The only error is a size below 1.
	counted, _ := lru.New[countedCrash, struct{}](maxCounted)
	own, _ := lru.New[string, ownCount](maxCounted)
	g := &Guard{
		common:     common,
		source:     source,
		apply:      apply,
		queue:      make(chan *unsentCommand, maxUnsent),
		blocked:    common.Metrics.Counter("blocked_requests"),
		trials:     common.Metrics.Counter("trials"),
		dropped:    common.Metrics.Counter("dropped_reports"),
		local:      make(map[string]*localSuspect),
		counted:    counted,
		own:        own,
		completing: make(map[string]bool),
	}
	go func() {
		for {
			select {
			case unsent := <-g.queue:
				g.commit(ctx, unsent)
			case <-ctx.Done():
				return
			}
		}
	}()
	return g
}

// finding is what is known of all fingerprints of a request.
type finding struct {
	// crashes is the highest count of one of them.
	crashes int
	blocked []string
	// trialIn is the time until all blocked ones may be tried.
	trialIn time.Duration
}

func (g *Guard) find(fingerprints []string) finding {
	var f finding
	var groupTrialIn time.Duration
	for _, fp := range fingerprints {
		status := g.status(fp)
		f.crashes = max(f.crashes, status.Crashes)
		if status.Verdict == VerdictBlocked {
			f.blocked = append(f.blocked, fp)
			f.trialIn = max(f.trialIn, status.TrialIn)
			groupTrialIn = max(groupTrialIn, status.GroupTrialIn)
		}
	}
	if len(f.blocked) > 1 {
		f.trialIn = max(f.trialIn, groupTrialIn)
	}
	return f
}

// HasSuspect reports whether one of the fingerprints was in flight at a crash and in no
// complete answer since.
func (g *Guard) HasSuspect(fingerprints ...string) bool { return g.find(fingerprints).crashes > 0 }

// CheckBlocked returns an error if a request with the fingerprints is blocked and no
// trial is due.
func (g *Guard) CheckBlocked(requestID string, fingerprints ...string) *BlockedError {
	if f := g.find(fingerprints); f.trialIn > 0 {
		return g.refuse(requestID, f, f.trialIn)
	}
	return nil
}

// Admit decides whether a request with the fingerprints may run. The error is
// *BlockedError if not.
func (g *Guard) Admit(ctx context.Context, requestID string, fingerprints ...string) (Admission, error) {
	f := g.find(fingerprints)
	switch {
	case len(f.blocked) == 0:
		return AdmissionClear, nil
	case f.trialIn > 0:
		return AdmissionClear, g.refuse(requestID, f, f.trialIn)
	}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	result, err := g.apply(ctx, &aubwire.PoisonCommand{Trial: fingerprints})
	if err != nil {
		g.common.Log.Warn("Trial can't be requested.", zap.String("request_id", requestID), zap.Error(err))
		return AdmissionClear, g.refuse(requestID, f, unreachableRetryAfter)
	}
	g.source.Merge(result.GetStatuses())
	if !result.GetTrialGranted() {
		trialIn := trialPollInterval
		if f := g.find(fingerprints); len(f.blocked) > 0 {
			trialIn = max(trialIn, f.trialIn)
		}
		return AdmissionClear, g.refuse(requestID, f, trialIn)
	}
	g.trials.Inc(1)
	g.common.Log.Info("Blocked request runs as a trial.", zap.String("request_id", requestID), zap.Strings("fingerprints", f.blocked), zap.Int("crashes", f.crashes))
	return AdmissionTrial, nil
}

// status returns the status of a fingerprint with the crashes and complete answers that
// are not yet committed.
func (g *Guard) status(fingerprint string) Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.completing[fingerprint] {
		return Status{}
	}
	status := g.source.Status(fingerprint)
	local := g.local[fingerprint]
	if local == nil || local.crashes <= status.Crashes {
		return status
	}
	status.Crashes = local.crashes
	status.Verdict = max(status.Verdict, VerdictSuspect)
	if status.Verdict == VerdictSuspect && isBlocked(status.Crashes, status.IsProven) {
		status.Verdict, status.TrialIn = VerdictBlocked, unreachableRetryAfter
	}
	return status
}

func (g *Guard) refuse(requestID string, f finding, retryAfter time.Duration) *BlockedError {
	g.blocked.Inc(1)
	g.common.Log.Info("Request is blocked: it may crash backend servers.", zap.String("request_id", requestID),
		zap.Strings("fingerprints", f.blocked), zap.Int("crashes", f.crashes), zap.Int64("retry_after_ms", retryAfter.Milliseconds()))
	return &BlockedError{Fingerprints: f.blocked, RetryAfter: retryAfter}
}

// ReportCrash counts a crash for the requests that it interrupted.
func (g *Guard) ReportCrash(crash Crash) {
	for runs := range slices.Chunk(crash.Runs, maxRunsPerCommand) {
		g.enqueue(Crash{Backend: crash.Backend, ID: crash.ID, Runs: runs}, nil)
	}
	if len(crash.Fingerprints) > 0 {
		g.enqueue(Crash{Backend: crash.Backend, ID: crash.ID, Fingerprints: crash.Fingerprints}, nil)
	}
}

// ReportCompletion clears those of the fingerprints that are suspects: a request with
// them was answered completely.
func (g *Guard) ReportCompletion(fingerprints ...string) {
	var suspects []string
	for _, fp := range fingerprints {
		status := g.status(fp)
		g.mu.Lock()
		if local := g.local[fp]; local != nil {
			local.crashes = 0
		}
		g.own.Remove(fp)
		if status.Crashes > 0 && !g.completing[fp] {
			g.completing[fp] = true
			suspects = append(suspects, fp)
		}
		g.mu.Unlock()
	}
	if len(suspects) > 0 {
		g.enqueue(Crash{}, &aubwire.PoisonCommand{Completed: suspects})
	}
}

// EndTrial returns a granted trial in which the request did not run to an end.
func (g *Guard) EndTrial(fingerprints ...string) {
	g.enqueue(Crash{}, &aubwire.PoisonCommand{TrialEnded: fingerprints})
}

// enqueue queues a crash or a command to be committed.
func (g *Guard) enqueue(crash Crash, command *aubwire.PoisonCommand) {
	unsent := &unsentCommand{command: command, crash: crash, addedAt: g.common.Timer.Now()}
	unsent.crash.Runs = g.countLocally(crash, unsent.addedAt)
	select {
	case g.queue <- unsent:
	default:
		g.drop(unsent, nil)
	}
}

// countLocally counts a crash in this process until it is committed, and returns its runs
// with the counts.
func (g *Guard) countLocally(crash Crash, now time.Time) []Run {
	runs := slices.Clone(crash.Runs)
	if len(crash.Fingerprints) > 0 {
		runs = append(runs, Run{Fingerprints: crash.Fingerprints, StartedAt: now, EndedAt: now})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, fp := range crash.fingerprints() {
		local := g.local[fp]
		if local == nil {
			local = &localSuspect{}
			g.local[fp] = local
		}
		local.unsent++
		local.crashes = max(local.crashes, g.source.Status(fp).Crashes)
	}
	for i, run := range runs {
		for _, fp := range run.Fingerprints {
			runs[i].ownCrashes = append(runs[i].ownCrashes, g.countOwn(crash.ID, fp, run))
		}
	}
	return runs[:len(crash.Runs)]
}

// countOwn counts a crash that interrupted a run, unless it was counted before or the run
// began before the end of the one counted last, and returns the count of this process; the
// caller holds mu.
func (g *Guard) countOwn(crashID, fingerprint string, run Run) uint32 {
	own, _ := g.own.Get(fingerprint)
	key := countedCrash{id: crashID, fingerprint: fingerprint}
	if g.counted.Contains(key) {
		return own.crashes
	}
	g.counted.Add(key, struct{}{})
	if g.local[fingerprint].unsent == 1 {
		// All earlier ones are committed; the table may have been cleared since.
		own.crashes = min(own.crashes, uint32(g.source.Status(fingerprint).Crashes))
	}
	if !run.StartedAt.Before(own.lastEndedAt) {
		g.local[fingerprint].crashes++
		own.crashes++
		own.lastEndedAt = run.EndedAt
	}
	g.own.Add(fingerprint, own)
	return own.crashes
}

// commit commits a command, with retries until unsentRetention has passed.
func (g *Guard) commit(ctx context.Context, unsent *unsentCommand) {
	for {
		result, err := g.tryCommit(ctx, unsent)
		if err == nil {
			g.remove(unsent, result.GetStatuses())
			return
		}
		if g.common.Timer.Now().Sub(unsent.addedAt) > unsentRetention {
			g.drop(unsent, err)
			return
		}
		if aubtimer.Wait(ctx, g.common.Timer, commitRetryDelay) != nil {
			return
		}
	}
}

func (g *Guard) tryCommit(ctx context.Context, unsent *unsentCommand) (*aubwire.PoisonResult, error) {
	ctx, cancel := aubtimer.WithTimeout(ctx, g.common.Timer, commitTimeout)
	defer cancel()
	command := unsent.command
	if command == nil {
		command = unsent.crash.encode(g.common.Timer.Now())
	}
	return g.apply(ctx, command)
}

// encode returns the command for a crash that is sent now.
func (c Crash) encode(now time.Time) *aubwire.PoisonCommand {
	command := &aubwire.PoisonCommand{Backend: c.Backend, DeathId: c.ID, Fingerprints: c.Fingerprints}
	for _, run := range c.Runs {
		command.Runs = append(command.Runs, &aubwire.PoisonRun{
			Fingerprints: run.Fingerprints,
			StartedAgoMs: now.Sub(run.StartedAt).Milliseconds(),
			EndedAgoMs:   now.Sub(run.EndedAt).Milliseconds(),
			Trial:        run.IsTrial,
			OwnDeaths:    run.ownCrashes,
		})
	}
	return command
}

// drop gives up a command that can't be committed.
func (g *Guard) drop(unsent *unsentCommand, err error) {
	g.dropped.Inc(1)
	g.common.Log.Warn("Report about suspect requests is dropped.", zap.String("crash", unsent.crash.ID), zap.Error(err))
	g.remove(unsent, nil)
}

// remove forgets a command that is committed or given up, and merges the statuses that
// its commit returned.
func (g *Guard) remove(unsent *unsentCommand, statuses []*aubwire.PoisonStatus) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.source.Merge(statuses)
	for _, fp := range unsent.crash.fingerprints() {
		if local := g.local[fp]; local.unsent > 1 {
			local.unsent--
		} else {
			delete(g.local, fp)
		}
	}
	for _, fp := range unsent.command.GetCompleted() {
		delete(g.completing, fp)
	}
}

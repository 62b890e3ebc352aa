package aublimit

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// buildSync returns the next sync, or nil if there is nothing to report. The
// first sync, one every opts.FullSyncInterval and those of a drain are full: they
// are sent even if no workspace has anything to report.
func (l *Limiter) buildSync(now time.Duration) *pendingSync {
	full := now-l.session.fullSyncAt >= l.opts.FullSyncInterval || l.session.sequence == 0 || l.session.draining
	if full {
		l.session.fullSyncAt = now
		l.updateAccounts()
	}
	uses := l.collectUses(now, full)
	if len(uses) == 0 && !full {
		return nil
	}
	l.session.sequence++
	sync := &aubwire.LimitSync{
		Instance:         l.opts.Instance,
		Zone:             l.opts.Zone,
		Incarnation:      l.opts.Incarnation,
		Sequence:         l.session.sequence,
		Epoch:            l.session.epoch,
		PredecessorEnded: l.opts.PredecessorTerminated,
		Leaving:          l.session.draining,
		Uses:             uses,
	}
	body, err := proto.Marshal(sync)
	if err != nil {
		return nil
	}
	l.common.Metrics.Counter("syncs").Inc(1)
	l.common.Metrics.Counter("sync_bytes").Inc(int64(len(body)))
	return &pendingSync{sync: sync, body: body, sentAt: now}
}

// updateAccounts creates an account for every configured workspace, so that it
// has a floor before the first request, and deletes the empty accounts of removed
// workspaces.
func (l *Limiter) updateAccounts() {
	cfg := l.opts.Source.Config()
	for _, w := range cfg.Workspaces() {
		l.account(w.Name)
	}
	for name, a := range l.accounts {
		if _, ok := cfg.Workspace(name); !ok && a.isEmpty() {
			delete(l.accounts, name)
		}
	}
}

// collectUses returns the uses to report, in order of workspace.
func (l *Limiter) collectUses(now time.Duration, full bool) []*aubwire.LimitUse {
	var uses []*aubwire.LimitUse
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[name]
		use := l.collectUse(a, now)
		use.Workspace = name
		if needsReport(use, a, full) {
			uses = append(uses, use)
		}
	}
	return uses
}

// needsReport reports whether the next sync has to include the workspace.
func needsReport(use *aubwire.LimitUse, a *account, full bool) bool {
	if use.GetSpent() > 0 || use.GetReturned() > 0 || use.GetWant() > 0 || len(use.GetCredits()) > 0 {
		return true
	}
	if a.floorVersion != a.confirmedFloorVersion {
		return true
	}
	return full && !a.central.known
}

// collectUse moves the unreported amounts out of the account.
func (l *Limiter) collectUse(a *account, now time.Duration) *aubwire.LimitUse {
	target := int64(a.demand.average(now) * l.opts.PrefetchPeriod.Seconds())
	if l.session.draining {
		a.endLease()
		l.returnFloorTokens(a, now, 0)
	} else {
		l.returnExcess(a, now, target)
	}
	use := &aubwire.LimitUse{
		Spent:        a.spent,
		Returned:     a.returned,
		Want:         l.tokensToRequest(a, target),
		FloorVersion: a.floorVersion,
	}
	for _, since := range slices.Sorted(maps.Keys(a.credits)) {
		use.Credits = append(use.Credits, &aubwire.LimitCredit{SinceNs: int64(since), Tokens: a.credits[since]})
	}
	a.spent, a.returned = 0, 0
	clear(a.credits)
	return use
}

// tokensToRequest returns the tokens to request from the table: those needed by
// waiters and debt, plus a prefetch up to target when less than half of target is
// leased.
func (l *Limiter) tokensToRequest(a *account, target int64) int64 {
	if l.session.draining {
		return 0
	}
	needed := a.pendingTokens()
	if needed == 0 && a.leased >= target/2 {
		return 0
	}
	want := needed + target - a.leased
	if a.central.known {
		want = min(want, a.central.capacity)
	}
	return max(want, 0)
}

// returnExcess returns leased tokens above twice the target, down to the target.
// While the central bucket is short of tokens, it also returns floor tokens above
// twice the target.
func (l *Limiter) returnExcess(a *account, now time.Duration, target int64) {
	if len(a.waiters) > 0 {
		return
	}
	if a.leased > 2*target {
		a.returned += a.leased - target
		a.leased = target
	}
	if a.central.short && l.isTableReachable(now) {
		l.returnFloorTokens(a, now, 2*target)
	}
}

// returnFloorTokens moves the floor's tokens above minLevel to the central bucket
// with the next sync.
func (l *Limiter) returnFloorTokens(a *account, now time.Duration, minLevel int64) {
	a.fillFloor(now)
	n := a.floorLevel() - minLevel
	if n <= 0 || l.session.epoch == 0 {
		return
	}
	a.floor.take(now, n)
	a.credits[l.session.replicatedClock] += n
}

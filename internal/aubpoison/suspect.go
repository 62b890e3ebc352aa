package aubpoison

import (
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// blockThreshold is the number of crashes from which a fingerprint is blocked.
	blockThreshold = 2
	// provenBlockThreshold applies to a fingerprint of which a request was answered since it
	// was first suspected: it has rather been in the company of another one.
	provenBlockThreshold = 4
	// overlapTolerance covers the different delays with which crashes are reported. A run
	// that began earlier than this before the last counted crash does not count.
	overlapTolerance = 100 * time.Millisecond
	// retention is how long a suspect is kept after its last crash, provenRetention how long
	// after it was cleared.
	retention       = 30 * time.Minute
	provenRetention = 2 * time.Minute
	// trialLease limits a trial of which no outcome is reported.
	trialLease = 10 * time.Second
	// trialPollInterval is the time after which to ask again while a trial runs.
	trialPollInterval = time.Second
	// groupTrialDelay is the time in which a request with one blocked fingerprint is preferred
	// as a trial over one with several, whose crash would not tell which of them is at fault.
	groupTrialDelay = 2 * time.Second
	// firstRetrialDelay is the time from the first trial that ended in a crash to the next
	// one, since another request may have caused that crash; retrialDelay applies after each
	// later one.
	firstRetrialDelay = 3 * time.Second
	retrialDelay      = 10 * time.Minute
)

// Verdict is how a request with a given fingerprint is handled.
type Verdict int

// Verdicts.
const (
	// VerdictClear: the request runs as usual.
	VerdictClear Verdict = iota
	// VerdictSuspect: the request runs, alone on its backend server where an agent allows it.
	VerdictSuspect
	// VerdictBlocked: the request is refused unless it is granted a trial.
	VerdictBlocked
)

// Status is what is known of one fingerprint.
type Status struct {
	Verdict Verdict
	Crashes int
	// IsProven is set once a request with it was answered completely.
	IsProven bool
	// TrialIn is the time until a blocked fingerprint may be tried, GroupTrialIn the time
	// until it may be tried together with other blocked ones.
	TrialIn      time.Duration
	GroupTrialIn time.Duration
}

// suspect is the record of one fingerprint. Times are of the replicated clock.
//
// Two crashes count as two only if the second run began after the first crash. A failure
// that ends several backend servers at once counts once for what ran on all of them.
type suspect struct {
	crashes     uint32
	isProven    bool
	lastCrashAt time.Duration
	// nextTrialAt is the earliest start of the next trial, nextGroupTrialAt that of the next
	// one together with other blocked fingerprints.
	nextTrialAt      time.Duration
	nextGroupTrialAt time.Duration
	// trialUntil is the end of the lease of a running trial; 0 without one.
	trialUntil   time.Duration
	isGroupTrial bool
	// trialCrashes counts the trials by itself that ended in a crash.
	trialCrashes uint32
	expiresAt    time.Duration
	// index is the position in the log of the last change.
	index uint64
}

func (s suspect) isBlocked() bool { return isBlocked(int(s.crashes), s.isProven) }

// isBlocked reports whether a fingerprint with that many crashes is blocked.
func isBlocked(crashes int, isProven bool) bool {
	if isProven {
		return crashes >= provenBlockThreshold
	}
	return crashes >= blockThreshold
}

// withCrash returns the record after a crash that interrupted a run. The reporting process
// has counted ownCrashes itself, by its own clock; reports of several processes are
// compared by the replicated clock, which is inexact if a report was long on its way.
func (s suspect) withCrash(now, startedAt, endedAt time.Duration, ownCrashes uint32) suspect {
	if !s.isBlocked() {
		s.nextGroupTrialAt = now + groupTrialDelay
	}
	if s.crashes == 0 || startedAt+overlapTolerance >= s.lastCrashAt {
		s.crashes++
		s.lastCrashAt = max(s.lastCrashAt, endedAt)
	}
	s.crashes = max(s.crashes, ownCrashes)
	s.expiresAt = now + retention
	return s
}

// withCompletion returns the record after a complete answer.
func (s suspect) withCompletion(now time.Duration) suspect {
	return suspect{isProven: true, expiresAt: now + provenRetention}
}

// withTrial returns the record with the lease of a trial.
func (s suspect) withTrial(now time.Duration, isGroup bool) suspect {
	s.trialUntil, s.isGroupTrial = now+trialLease, isGroup
	return s
}

// withTrialEnded returns the record after a trial without an outcome.
func (s suspect) withTrialEnded() suspect {
	s.trialUntil = 0
	return s
}

// withTrialCrash returns the record after a trial that ended in a crash. A trial of several
// fingerprints delays only the next one of several: each may still be tried by itself.
func (s suspect) withTrialCrash(now time.Duration, isGroup bool) suspect {
	s.trialUntil = 0
	s.nextGroupTrialAt = now + retrialDelay
	if isGroup {
		return s
	}
	s.nextTrialAt = now + firstRetrialDelay
	if s.trialCrashes > 0 {
		s.nextTrialAt = now + retrialDelay
	}
	s.trialCrashes++
	return s
}

// withSoleCrash returns the record after a crash of a backend server that ran no other
// request.
func (s suspect) withSoleCrash(now time.Duration) suspect {
	s.trialUntil = 0
	s.nextTrialAt = now + retrialDelay
	return s
}

// trialIn returns the time until a trial, by itself or together with other blocked
// fingerprints, may be granted; 0 if it may be granted now.
func (s suspect) trialIn(now time.Duration, isGroup bool) time.Duration {
	switch {
	case s.trialUntil > now:
		return trialPollInterval
	case isGroup:
		return max(0, s.nextTrialAt-now, s.nextGroupTrialAt-now)
	}
	return max(0, s.nextTrialAt-now)
}

// status returns the status at a time of the replicated clock.
func (s suspect) status(now time.Duration) Status {
	if s.expiresAt <= now {
		return Status{}
	}
	status := Status{Crashes: int(s.crashes), IsProven: s.isProven}
	switch {
	case s.isBlocked():
		status.Verdict, status.TrialIn, status.GroupTrialIn = VerdictBlocked, s.trialIn(now, false), s.trialIn(now, true)
	case s.crashes > 0:
		status.Verdict = VerdictSuspect
	}
	return status
}

// encodeStatus returns the status for a process without a replica.
func (s suspect) encodeStatus(fingerprint string, now time.Duration) *aubwire.PoisonStatus {
	return &aubwire.PoisonStatus{
		Fingerprint:    fingerprint,
		Index:          s.index,
		Deaths:         s.crashes,
		Blocked:        s.isBlocked(),
		Proven:         s.isProven,
		TrialInMs:      s.trialIn(now, false).Milliseconds(),
		GroupTrialInMs: s.trialIn(now, true).Milliseconds(),
		ExpiresInMs:    max(0, s.expiresAt-now).Milliseconds(),
	}
}

// encode returns the record for a snapshot.
func (s suspect) encode(fingerprint string) *aubwire.PoisonSuspect {
	return &aubwire.PoisonSuspect{
		Fingerprint: fingerprint, Deaths: s.crashes, Proven: s.isProven, Index: s.index,
		UntilMs: s.expiresAt.Milliseconds(), LastDeathMs: s.lastCrashAt.Milliseconds(), NextTrialMs: s.nextTrialAt.Milliseconds(),
		NextGroupTrialMs: s.nextGroupTrialAt.Milliseconds(), TrialUntilMs: s.trialUntil.Milliseconds(), GroupTrial: s.isGroupTrial, TrialCrashes: s.trialCrashes,
	}
}

// decodeSuspect is the reverse of encode.
func decodeSuspect(s *aubwire.PoisonSuspect) suspect {
	return suspect{
		crashes: s.GetDeaths(), isProven: s.GetProven(), index: s.GetIndex(),
		expiresAt: milliseconds(s.GetUntilMs()), lastCrashAt: milliseconds(s.GetLastDeathMs()), nextTrialAt: milliseconds(s.GetNextTrialMs()),
		nextGroupTrialAt: milliseconds(s.GetNextGroupTrialMs()), trialUntil: milliseconds(s.GetTrialUntilMs()), isGroupTrial: s.GetGroupTrial(), trialCrashes: s.GetTrialCrashes(),
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

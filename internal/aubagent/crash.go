package aubagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/auburndale/auburndale/internal/aubtimer"
)

const (
	// maxFingerprints bounds the suspects and the poisoned fingerprints, each.
	maxFingerprints = 256
	// crashWindow is how long after a crash further failures are attributed to it.
	crashWindow = 2 * time.Second
	// fingerprintExpiry is how long a fingerprint stays suspect or poisoned.
	fingerprintExpiry = 10 * time.Minute
)

// incident is a group of request failures with one probable cause. A probe
// determines whether that cause is a crash of the backend server.
type incident struct {
	id         string
	detectedAt time.Time
	// suspects are the fingerprints in flight at detectedAt, sorted.
	suspects []string
	// soleSuspect is the fingerprint of the only request in flight; empty if
	// there were several.
	soleSuspect string
	// probeDone is closed once crashed holds the result of the probe.
	probeDone chan struct{}
	crashed   bool
	// bootID identifies the run of the engine that failed; empty if unknown.
	bootID string
}

// inFlightRequest is a request that the backend server may be executing.
type inFlightRequest struct {
	fingerprint string
	startedAt   time.Time
}

// crashTracker attributes crashes of the backend server to the requests in flight.
type crashTracker struct {
	timer aubtimer.Service

	mu           sync.Mutex
	inFlight     map[*execution]inFlightRequest
	lastIncident *incident
	// suspects and poisoned map fingerprints to the time of their last crash;
	// entries expire after fingerprintExpiry.
	suspects *simplelru.LRU[string, time.Time]
	poisoned *simplelru.LRU[string, time.Time]
}

func newCrashTracker(timer aubtimer.Service) (*crashTracker, error) {
	suspects, err := simplelru.NewLRU[string, time.Time](maxFingerprints, nil)
	if err != nil {
		return nil, err
	}
	poisoned, err := simplelru.NewLRU[string, time.Time](maxFingerprints, nil)
	if err != nil {
		return nil, err
	}
	return &crashTracker{
		timer:    timer,
		inFlight: make(map[*execution]inFlightRequest),
		suspects: suspects,
		poisoned: poisoned,
	}, nil
}

// requestStarted adds a request that is about to be dispatched.
func (t *crashTracker) requestStarted(exec *execution) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight[exec] = inFlightRequest{fingerprint: exec.start.GetFingerprint(), startedAt: t.timer.Now()}
}

// requestEnded removes a request that requestStarted added.
func (t *crashTracker) requestEnded(exec *execution) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, exec)
}

// clearSuspect removes a fingerprint from the suspects after its request completed.
func (t *crashTracker) clearSuspect(fingerprint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects.Remove(fingerprint)
}

func (t *crashTracker) isSuspect(fingerprint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isActive(t.suspects, fingerprint)
}

func (t *crashTracker) isPoisoned(fingerprint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isActive(t.poisoned, fingerprint)
}

// activeFingerprints returns the suspects and the poisoned fingerprints, oldest first.
func (t *crashTracker) activeFingerprints() (suspects, poisoned []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.activeKeys(t.suspects), t.activeKeys(t.poisoned)
}

// activeKeys returns the fingerprints that have not expired, oldest first.
func (t *crashTracker) activeKeys(fingerprints *simplelru.LRU[string, time.Time]) []string {
	var keys []string
	for _, key := range fingerprints.Keys() {
		if t.isActive(fingerprints, key) {
			keys = append(keys, key)
		}
	}
	return keys
}

// isActive reports whether the fingerprint is listed and has not expired.
func (t *crashTracker) isActive(fingerprints *simplelru.LRU[string, time.Time], fingerprint string) bool {
	addedAt, ok := fingerprints.Peek(fingerprint)
	return ok && t.timer.Now().Sub(addedAt) < fingerprintExpiry
}

// investigate determines whether the backend server crashed during the given
// execution. Failures that occur close together share one probe and one list of
// suspects.
//
// A run of the engine crashes only once: a request that was dispatched to a run
// already known to have crashed is not a suspect of that crash.
func (t *crashTracker) investigate(ctx context.Context, exec *execution, bootID string, hasCrashed func(context.Context) bool) *incident {
	t.mu.Lock()
	inc := t.lastIncident
	now := t.timer.Now()
	if inc.isCrashOf(bootID) && t.inFlight[exec].startedAt.After(inc.detectedAt) {
		t.mu.Unlock()
		return &incident{id: inc.id, crashed: true}
	}
	if inc != nil && !inc.isClosed(now) && !t.inFlight[exec].startedAt.After(inc.detectedAt) {
		t.mu.Unlock()
		select {
		case <-inc.probeDone:
			return inc
		case <-ctx.Done():
			return &incident{}
		}
	}
	inc = t.newIncident(now, bootID)
	t.lastIncident = inc
	t.mu.Unlock()
	inc.crashed = hasCrashed(ctx)
	t.recordCrash(inc)
	close(inc.probeDone)
	return inc
}

// isCrashOf reports whether the incident is a confirmed crash of that run of the engine.
func (inc *incident) isCrashOf(bootID string) bool {
	if inc == nil || bootID == "" || inc.bootID != bootID {
		return false
	}
	select {
	case <-inc.probeDone:
		return inc.crashed
	default:
		return false
	}
}

// isClosed reports whether later failures belong to a new incident.
func (inc *incident) isClosed(now time.Time) bool {
	select {
	case <-inc.probeDone:
		return !inc.crashed || now.Sub(inc.detectedAt) >= crashWindow
	default:
		return false
	}
}

// newIncident returns an incident whose suspects are the requests in flight. It
// is called with mu held.
func (t *crashTracker) newIncident(now time.Time, bootID string) *incident {
	inc := &incident{id: uuid.NewString(), detectedAt: now, bootID: bootID, probeDone: make(chan struct{})}
	for _, request := range t.inFlight {
		fingerprint := request.fingerprint
		if fingerprint != "" && !slices.Contains(inc.suspects, fingerprint) {
			inc.suspects = append(inc.suspects, fingerprint)
		}
	}
	slices.Sort(inc.suspects)
	if len(t.inFlight) == 1 && len(inc.suspects) == 1 {
		inc.soleSuspect = inc.suspects[0]
	}
	return inc
}

// recordCrash lists the suspects of a confirmed crash. A sole suspect is also
// listed as poisoned.
func (t *crashTracker) recordCrash(inc *incident) {
	if !inc.crashed {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, fingerprint := range inc.suspects {
		t.suspects.Add(fingerprint, inc.detectedAt)
	}
	if inc.soleSuspect != "" {
		t.poisoned.Add(inc.soleSuspect, inc.detectedAt)
	}
}

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
	maxFingerprints = 256
	// crashWindow is how long failures are put down to the same death.
	crashWindow       = 2 * time.Second
	fingerprintExpiry = 10 * time.Minute
)

// incident is what was in flight when the backend server stopped answering.
type incident struct {
	id         string
	detectedAt time.Time
	suspects   []string
	// soleSuspect is the fingerprint that ran with no other; empty for none.
	soleSuspect string
	probeDone   chan struct{}
	crashed     bool
	// bootID is the run of the engine that died; empty when it is not known.
	bootID string
}

// inFlightRequest is a request that was handed over.
type inFlightRequest struct {
	fingerprint string
	startedAt   time.Time
}

// crashTracker ties the crashTracker of the backend server to what was in flight.
type crashTracker struct {
	timer aubtimer.Service

	mu           sync.Mutex
	inFlight     map[*execution]inFlightRequest
	lastIncident *incident
	// suspects and poisoned forget a fingerprint after poisonTime.
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

func (t *crashTracker) requestStarted(exec *execution) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight[exec] = inFlightRequest{fingerprint: exec.start.GetFingerprint(), startedAt: t.timer.Now()}
}

func (t *crashTracker) requestEnded(exec *execution) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, exec)
}

// clearSuspect takes the suspicion from a fingerprint that ran to its end.
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

func (t *crashTracker) activeKeys(fingerprints *simplelru.LRU[string, time.Time]) []string {
	var keys []string
	for _, key := range fingerprints.Keys() {
		if t.isActive(fingerprints, key) {
			keys = append(keys, key)
		}
	}
	return keys
}

func (t *crashTracker) isActive(fingerprints *simplelru.LRU[string, time.Time], fingerprint string) bool {
	addedAt, ok := fingerprints.Peek(fingerprint)
	return ok && t.timer.Now().Sub(addedAt) < fingerprintExpiry
}

// investigate finds out whether the backend server died under x. Failures that come
// close together share one probe and one list of suspects.
//
// A run of the engine dies once: a request that was handed to one already known
// to be dead is no suspect of its death.
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

// isCrashOf reports whether the scene is the death of that run of the engine.
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

// isClosed reports whether later failures belong to another scene.
func (inc *incident) isClosed(now time.Time) bool {
	select {
	case <-inc.probeDone:
		return !inc.crashed || now.Sub(inc.detectedAt) >= crashWindow
	default:
		return false
	}
}

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

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
	// sceneWindow is how long failures are put down to the same death.
	sceneWindow = 2 * time.Second
	poisonTime  = 10 * time.Minute
)

// scene is what was in flight when the backend server stopped answering.
type scene struct {
	id       string
	at       time.Time
	suspects []string
	// alone is the fingerprint that ran with no other; empty for none.
	alone  string
	judged chan struct{}
	died   bool
	// boot is the run of the engine that died; empty when it is not known.
	boot string
}

// flight is a request that was handed over.
type flight struct {
	fingerprint string
	since       time.Time
}

// deaths ties the deaths of the backend server to what was in flight.
type deaths struct {
	timer aubtimer.Service

	mu      sync.Mutex
	flights map[*execution]flight
	last    *scene
	// suspects and poisoned forget a fingerprint after poisonTime.
	suspects *simplelru.LRU[string, time.Time]
	poisoned *simplelru.LRU[string, time.Time]
}

func newDeaths(timer aubtimer.Service) (*deaths, error) {
	suspects, err := simplelru.NewLRU[string, time.Time](maxFingerprints, nil)
	if err != nil {
		return nil, err
	}
	poisoned, err := simplelru.NewLRU[string, time.Time](maxFingerprints, nil)
	if err != nil {
		return nil, err
	}
	return &deaths{
		timer:    timer,
		flights:  make(map[*execution]flight),
		suspects: suspects,
		poisoned: poisoned,
	}, nil
}

func (d *deaths) begin(x *execution) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.flights[x] = flight{fingerprint: x.start.GetFingerprint(), since: d.timer.Now()}
}

func (d *deaths) end(x *execution) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.flights, x)
}

// clear takes the suspicion from a fingerprint that ran to its end.
func (d *deaths) clear(fingerprint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspects.Remove(fingerprint)
}

func (d *deaths) isSuspect(fingerprint string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fresh(d.suspects, fingerprint)
}

func (d *deaths) isPoisoned(fingerprint string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fresh(d.poisoned, fingerprint)
}

// lists returns the suspects and the poisoned fingerprints, oldest first.
func (d *deaths) lists() (suspects, poisoned []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.freshKeys(d.suspects), d.freshKeys(d.poisoned)
}

func (d *deaths) freshKeys(list *simplelru.LRU[string, time.Time]) []string {
	var keys []string
	for _, key := range list.Keys() {
		if d.fresh(list, key) {
			keys = append(keys, key)
		}
	}
	return keys
}

func (d *deaths) fresh(list *simplelru.LRU[string, time.Time], fingerprint string) bool {
	at, ok := list.Peek(fingerprint)
	return ok && d.timer.Now().Sub(at) < poisonTime
}

// judge finds out whether the backend server died under x. Failures that come
// close together share one probe and one list of suspects.
//
// A run of the engine dies once: a request that was handed to one already known
// to be dead is no suspect of its death.
func (d *deaths) judge(ctx context.Context, x *execution, boot string, probe func(context.Context) bool) *scene {
	d.mu.Lock()
	s := d.last
	now := d.timer.Now()
	if s.isDeathOf(boot) && d.flights[x].since.After(s.at) {
		d.mu.Unlock()
		return &scene{id: s.id, died: true}
	}
	if s != nil && !s.over(now) && !d.flights[x].since.After(s.at) {
		d.mu.Unlock()
		select {
		case <-s.judged:
			return s
		case <-ctx.Done():
			return &scene{}
		}
	}
	s = d.newScene(now, boot)
	d.last = s
	d.mu.Unlock()
	s.died = probe(ctx)
	d.record(s)
	close(s.judged)
	return s
}

// isDeathOf reports whether the scene is the death of that run of the engine.
func (s *scene) isDeathOf(boot string) bool {
	if s == nil || boot == "" || s.boot != boot {
		return false
	}
	select {
	case <-s.judged:
		return s.died
	default:
		return false
	}
}

// over reports whether later failures belong to another scene.
func (s *scene) over(now time.Time) bool {
	select {
	case <-s.judged:
		return !s.died || now.Sub(s.at) >= sceneWindow
	default:
		return false
	}
}

func (d *deaths) newScene(now time.Time, boot string) *scene {
	s := &scene{id: uuid.NewString(), at: now, boot: boot, judged: make(chan struct{})}
	for _, f := range d.flights {
		fingerprint := f.fingerprint
		if fingerprint != "" && !slices.Contains(s.suspects, fingerprint) {
			s.suspects = append(s.suspects, fingerprint)
		}
	}
	slices.Sort(s.suspects)
	if len(d.flights) == 1 && len(s.suspects) == 1 {
		s.alone = s.suspects[0]
	}
	return s
}

func (d *deaths) record(s *scene) {
	if !s.died {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, fingerprint := range s.suspects {
		d.suspects.Add(fingerprint, s.at)
	}
	if s.alone != "" {
		d.poisoned.Add(s.alone, s.at)
	}
}

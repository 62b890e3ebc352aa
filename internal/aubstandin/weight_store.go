package aubstandin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// Store hands out weights. Fetch returns once a load that takes base at full
// speed is through.
type Store interface {
	Fetch(ctx context.Context, adapter bool, base time.Duration) error
}

// WeightStoreOpts configures a weight store. Zero values mean no bound.
type WeightStoreOpts struct {
	// LoadsPerSecond bounds how many model loads begin.
	LoadsPerSecond float64
	// Concurrent is how many model loads run at full speed; more slow in proportion.
	Concurrent int
	// AdapterKnee is how many adapter loads run at full speed; more slow in proportion.
	AdapterKnee int
}

// WeightStore is the shared, rate-limited source of weights.
type WeightStore struct {
	timer   aubtimer.Service
	opts    WeightStoreOpts
	limiter *rate.Limiter
	mu      sync.Mutex
	// models and adapters are in-flight counts.
	models   int
	adapters int
}

var _ Store = (*WeightStore)(nil)

// NewWeightStore returns a weight store.
func NewWeightStore(common aubcommon.Common, opts WeightStoreOpts) *WeightStore {
	limit := rate.Inf
	if opts.LoadsPerSecond > 0 {
		limit = rate.Limit(opts.LoadsPerSecond)
	}
	return &WeightStore{timer: common.Timer, opts: opts, limiter: rate.NewLimiter(limit, 1)}
}

// Fetch implements Store.
func (s *WeightStore) Fetch(ctx context.Context, adapter bool, base time.Duration) error {
	if !adapter {
		now := s.timer.Now()
		delay := s.limiter.ReserveN(now, 1).DelayFrom(now)
		if err := wait(ctx, s.timer, delay); err != nil {
			return err
		}
	}
	slowdown := s.enter(adapter)
	defer s.leave(adapter)
	return wait(ctx, s.timer, time.Duration(float64(base)*slowdown))
}

// enter counts a load in and returns how many times slower than at full speed it is.
func (s *WeightStore) enter(adapter bool) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if adapter {
		s.adapters++
		return slowdown(s.adapters, s.opts.AdapterKnee)
	}
	s.models++
	return slowdown(s.models, s.opts.Concurrent)
}

func (s *WeightStore) leave(adapter bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if adapter {
		s.adapters--
		return
	}
	s.models--
}

func slowdown(n, knee int) float64 {
	if knee == 0 {
		return 1
	}
	return max(1, float64(n)/float64(knee))
}

const (
	pathFetch    = "/weights"
	paramAdapter = "adapter"
	paramBase    = "base_ms"
)

// Handler serves the store to engines in other processes.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathFetch, func(w http.ResponseWriter, r *http.Request) {
		base, err := strconv.ParseInt(r.FormValue(paramBase), 10, 64)
		if err != nil {
			writeError(w, http.StatusBadRequest, "invalid_request", "base_ms is no whole number")
			return
		}
		adapter := r.FormValue(paramAdapter) == "true"
		if err := s.Fetch(r.Context(), adapter, time.Duration(base)*time.Millisecond); err != nil {
			return
		}
		writeJSON(w, struct{}{})
	})
	return mux
}

// RemoteStore is a weight store in another process.
type RemoteStore struct{ url string }

var _ Store = RemoteStore{}

// NewRemoteStore returns the store behind a base address.
func NewRemoteStore(url string) RemoteStore { return RemoteStore{url: url} }

// Fetch implements Store.
func (s RemoteStore) Fetch(ctx context.Context, adapter bool, base time.Duration) error {
	url := s.url + pathFetch + "?" + paramAdapter + "=" + strconv.FormatBool(adapter) +
		"&" + paramBase + "=" + strconv.FormatInt(base.Milliseconds(), 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(&struct{}{})
}

// wait blocks for d; nothing when d is not above zero.
func wait(ctx context.Context, timer aubtimer.Service, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return aubtimer.Wait(ctx, timer, d)
}

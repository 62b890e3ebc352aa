package aubstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// Store delivers weights. Fetch blocks for the duration of a load that takes
// fullSpeedTime at the full speed of the store.
type Store interface {
	Fetch(ctx context.Context, adapter bool, fullSpeedTime time.Duration) error
}

// WeightStoreOpts configures a weight store. Zero values mean no limit.
type WeightStoreOpts struct {
	// LoadsPerSecond limits the rate at which model loads start.
	LoadsPerSecond float64
	// Concurrency is the number of simultaneous model loads at full speed; a load
	// that starts beyond it is slower in proportion.
	Concurrency int
	// AdapterConcurrency is the number of simultaneous adapter loads at full speed; a
	// load that starts beyond it is slower in proportion.
	AdapterConcurrency int
}

// WeightStore simulates a rate-limited weight store that engines share.
type WeightStore struct {
	timer   aubtimer.Service
	opts    WeightStoreOpts
	limiter *rate.Limiter
	mu      sync.Mutex
	// modelLoads and adapterLoads are the numbers of running loads.
	modelLoads   int
	adapterLoads int
}

var _ Store = (*WeightStore)(nil)

// NewWeightStore returns a weight store.
func NewWeightStore(common aubcommon.Common, opts WeightStoreOpts) *WeightStore {
	loadRate := rate.Inf
	if opts.LoadsPerSecond > 0 {
		loadRate = rate.Limit(opts.LoadsPerSecond)
	}
	return &WeightStore{timer: common.Timer, opts: opts, limiter: rate.NewLimiter(loadRate, 1)}
}

// Fetch implements Store.
func (s *WeightStore) Fetch(ctx context.Context, adapter bool, fullSpeedTime time.Duration) error {
	if !adapter {
		now := s.timer.Now()
		delay := s.limiter.ReserveN(now, 1).DelayFrom(now)
		if err := wait(ctx, s.timer, delay); err != nil {
			return err
		}
	}
	factor := s.beginLoad(adapter)
	defer s.endLoad(adapter)
	return wait(ctx, s.timer, time.Duration(float64(fullSpeedTime)*factor))
}

// beginLoad counts a running load and returns the factor by which it takes longer
// than at full speed.
func (s *WeightStore) beginLoad(adapter bool) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if adapter {
		s.adapterLoads++
		return slowdownFactor(s.adapterLoads, s.opts.AdapterConcurrency)
	}
	s.modelLoads++
	return slowdownFactor(s.modelLoads, s.opts.Concurrency)
}

func (s *WeightStore) endLoad(adapter bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if adapter {
		s.adapterLoads--
		return
	}
	s.modelLoads--
}

// slowdownFactor returns the factor by which a load takes longer; a
// fullSpeedLoads of 0 means no limit.
func slowdownFactor(loads, fullSpeedLoads int) float64 {
	if fullSpeedLoads == 0 {
		return 1
	}
	return max(1, float64(loads)/float64(fullSpeedLoads))
}

const (
	pathFetch          = "/weights"
	paramAdapter       = "adapter"
	paramFullSpeedTime = "base_ms"
)

// Handler returns the HTTP handler that serves engines in other processes.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathFetch, func(w http.ResponseWriter, r *http.Request) {
		baseMillis, err := strconv.ParseInt(r.FormValue(paramFullSpeedTime), 10, 64)
		if err != nil {
			writeError(w, http.StatusBadRequest, "invalid_request", "base_ms is no whole number")
			return
		}
		adapter := r.FormValue(paramAdapter) == "true"
		if err := s.Fetch(r.Context(), adapter, time.Duration(baseMillis)*time.Millisecond); err != nil {
			return
		}
		writeJSON(w, struct{}{})
	})
	return mux
}

// StoreStatusError is an HTTP error status of a remote weight store.
type StoreStatusError struct{ Status int }

// Error implements error.
func (e *StoreStatusError) Error() string { return fmt.Sprintf("weight store answered %d", e.Status) }

// RemoteWeightStore is a client of a weight store in another process.
type RemoteWeightStore struct{ url string }

var _ Store = RemoteWeightStore{}

// NewRemoteWeightStore returns a client of the weight store at a base URL.
func NewRemoteWeightStore(url string) RemoteWeightStore { return RemoteWeightStore{url: url} }

// Fetch implements Store.
func (s RemoteWeightStore) Fetch(ctx context.Context, adapter bool, fullSpeedTime time.Duration) error {
	url := s.url + pathFetch + "?" + paramAdapter + "=" + strconv.FormatBool(adapter) +
		"&" + paramFullSpeedTime + "=" + strconv.FormatInt(fullSpeedTime.Milliseconds(), 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StoreStatusError{Status: resp.StatusCode}
	}
	return json.NewDecoder(resp.Body).Decode(&struct{}{})
}

// wait blocks for d or until ctx ends; it returns immediately if d is not above 0.
func wait(ctx context.Context, timer aubtimer.Service, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return aubtimer.Wait(ctx, timer, d)
}

package aubstandin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubengine"
)

const (
	defaultMaxBatch    = 32
	maxAnswers         = 4096
	defaultResumeGrace = 10 * time.Second
)

// EngineOpts configures a stand-in engine. Zero rates and times mean at once.
type EngineOpts struct {
	Name string
	// MemoryBytes is the accelerator's memory.
	MemoryBytes int64
	// Items are resident from the start.
	Items []aubengine.Item
	// PrefillRate is in prompt tokens a second.
	PrefillRate float64
	// InterToken is the time between tokens at batch size one.
	InterToken time.Duration
	// InterTokenPerSequence is added for each further sequence in the batch.
	InterTokenPerSequence time.Duration
	// MaxBatch is the most sequences that run at once; 0 means 32.
	MaxBatch int
	// CacheTokens is the size of the prefix cache.
	CacheTokens int64
	// LoadTime is how long a model takes to load at the store's full speed.
	LoadTime time.Duration
	// AdapterLoadTime is the same for an adapter.
	AdapterLoadTime time.Duration
	// Store is the weight store; nil means an unbounded one.
	Store Store
	// ReportLag is how old a load report may be.
	ReportLag time.Duration
	// CacheEventLag is how late cache events are published.
	CacheEventLag time.Duration
	// ChecksFence refuses orders with a fencing number below one seen.
	ChecksFence bool
	// ResumeGrace is how long an answer without a reader goes on; 0 means 10 s.
	ResumeGrace time.Duration
	// OnCrash is called when a poison request ends the engine.
	OnCrash func()
}

// Engine is a stand-in model engine.
type Engine struct {
	ctx      context.Context
	common   aubcommon.Common
	opts     EngineOpts
	mux      *http.ServeMux
	faults   faultSet
	recorder *statsRecorder
	memory   *memory
	cache    *prefixCache

	// mu guards what follows. Lock order: mu before memory.mu.
	mu sync.Mutex
	// bootCtx ends with the current boot.
	bootCtx context.Context
	endBoot context.CancelFunc
	boot    string
	crashed bool
	fence   uint64
	sched   *scheduler
	// answers holds those that can be resumed; the oldest are forgotten.
	answers         *simplelru.LRU[string, *answer]
	publishedReport aubengine.Report
	publishedAt     time.Time
}

// NewEngine returns a running engine that ends with ctx.
func NewEngine(ctx context.Context, common aubcommon.Common, opts EngineOpts) *Engine {
	if opts.MaxBatch == 0 {
		opts.MaxBatch = defaultMaxBatch
	}
	if opts.ResumeGrace == 0 {
		opts.ResumeGrace = defaultResumeGrace
	}
	if opts.Store == nil {
		opts.Store = NewWeightStore(common, WeightStoreOpts{})
	}
	recorder := newStatsRecorder()
	e := &Engine{
		ctx:      ctx,
		common:   common.WithPart("standin"),
		opts:     opts,
		recorder: recorder,
		memory:   newMemory(opts.MemoryBytes, recorder),
		cache:    newPrefixCache(opts.CacheTokens),
	}
	answers, err := simplelru.NewLRU[string, *answer](maxAnswers, nil)
	if err != nil {
		// Only a size below one fails.
		panic(err)
	}
	e.answers = answers
	e.mux = e.routes()
	e.startBoot()
	for _, item := range opts.Items {
		item.State = aubengine.ItemReady
		e.memory.add(item)
	}
	return e
}

// startBoot begins a boot with empty memory.
func (e *Engine) startBoot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bootCtx, e.endBoot = context.WithCancel(e.ctx)
	e.boot = uuid.NewString()
	e.crashed = false
	e.fence = 0
	e.sched = newScheduler(e.opts.MaxBatch)
	e.answers.Purge()
	e.publishedAt = time.Time{}
}

// Crash ends the current boot: work, memory and connections are lost.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.crashed {
		e.mu.Unlock()
		return
	}
	e.crashed = true
	e.endBoot()
	e.memory.clear()
	e.cache.clear()
	e.mu.Unlock()
	e.recorder.update(func(s *Stats) { s.Crashes++ })
	if e.opts.OnCrash != nil {
		e.opts.OnCrash()
	}
}

// Restart begins a new boot with empty memory after a crash.
func (e *Engine) Restart() {
	e.Crash()
	e.startBoot()
}

// SetFaults replaces all fault switches.
func (e *Engine) SetFaults(f Faults) { e.faults.set(f) }

// Stats returns the engine's records.
func (e *Engine) Stats() Stats { return e.recorder.snapshot() }

// Handler returns the engine's HTTP surface.
func (e *Engine) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.isCrashed() {
			abortConnection(w)
		}
		e.mux.ServeHTTP(w, r)
	})
}

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleGenerate(kindChat))
	mux.HandleFunc("POST /v1/completions", e.handleGenerate(kindText))
	mux.HandleFunc("POST /v1/embeddings", e.handleGenerate(kindEmbedding))
	mux.HandleFunc("POST "+aubengine.PathLoad, e.handleOrder(e.startLoad))
	mux.HandleFunc("POST "+aubengine.PathUnload, e.handleOrder(e.unload))
	mux.HandleFunc("POST "+aubengine.PathFence, e.handleOrder(nil))
	mux.HandleFunc("GET "+aubengine.PathState, e.handleState)
	mux.HandleFunc("GET "+aubengine.PathReport, e.handleReport)
	mux.HandleFunc("GET "+aubengine.PathAnswers+"{id}/status", e.handleStatus)
	mux.HandleFunc("GET "+aubengine.PathAnswers+"{id}", e.handleResume)
	mux.HandleFunc("DELETE "+aubengine.PathAnswers+"{id}", e.handleAbort)
	mux.HandleFunc("GET "+aubengine.PathEvents, e.handleCacheEvents)
	mux.HandleFunc("GET "+aubengine.PathKV+"{model}", e.handleKVExport)
	mux.HandleFunc("PUT "+aubengine.PathKV+"{model}", e.handleKVImport)
	registerTestAPI(mux, &e.faults, e.Stats)
	return mux
}

func (e *Engine) isCrashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

// currentBoot returns the boot's context and scheduler.
func (e *Engine) currentBoot() (context.Context, *scheduler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootCtx, e.sched
}

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
	defaultMaxBatch = 32
	// maxAnswers bounds the answers that can be resumed.
	maxAnswers         = 4096
	defaultResumeGrace = 10 * time.Second
)

// EngineOpts configures a stand-in engine. A rate or duration of zero means no delay.
type EngineOpts struct {
	Name string
	// MemoryBytes is the memory of the accelerator.
	MemoryBytes int64
	// Items are the models and adapters that are resident at the start.
	Items []aubengine.Item
	// PrefillRate is the prefill speed in prompt tokens per second.
	PrefillRate float64
	// InterToken is the time between output tokens at batch size one.
	InterToken time.Duration
	// InterTokenPerSequence is added to InterToken for each further sequence in the batch.
	InterTokenPerSequence time.Duration
	// MaxBatch is the maximum number of concurrent sequences; 0 means 32.
	MaxBatch int
	// CacheTokens is the size of the prefix cache in tokens.
	CacheTokens int64
	// LoadTime is the duration of a model load at the full speed of the store.
	LoadTime time.Duration
	// AdapterLoadTime is the duration of an adapter load at the full speed of the store.
	AdapterLoadTime time.Duration
	// Store is the weight store; nil means one without limits.
	Store Store
	// ReportLag is how long a load report is served before it is computed again.
	ReportLag time.Duration
	// CacheEventLag is the delay before a cache event is published.
	CacheEventLag time.Duration
	// ChecksFence makes the engine refuse orders with a fencing number below the
	// highest one accepted.
	ChecksFence bool
	// ResumeGrace is how long the generation of an answer without a reader
	// continues; 0 means 10 s.
	ResumeGrace time.Duration
	// OnCrash is called after each crash, such as one caused by a poison request.
	OnCrash func()
}

// Engine is a stand-in model engine. It can crash and restart within its process.
type Engine struct {
	ctx      context.Context
	common   aubcommon.Common
	opts     EngineOpts
	mux      *http.ServeMux
	faults   faultSet
	recorder *statsRecorder
	memory   *memory
	cache    *prefixCache

	// mu guards the fields below. Lock order: mu before memory.mu.
	mu sync.Mutex
	// bootCtx ends with the current boot; endBoot cancels it.
	bootCtx context.Context
	endBoot context.CancelFunc
	// boot is the ID of the current boot.
	boot    string
	crashed bool
	// fence is the highest fencing number accepted.
	fence uint64
	sched *scheduler
	// answers holds the answers that can be resumed, by answer ID; the least
	// recently used are dropped.
	answers *simplelru.LRU[string, *answer]
	// publishedReport is the load report computed at publishedAt.
	publishedReport aubengine.LoadReport
	publishedAt     time.Time
}

// NewEngine returns a running engine that stops when ctx ends.
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
		// NewLRU fails only for a size below one.
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

// startBoot starts a new boot: a new boot ID, context and scheduler, and no
// answers. On a restart, Crash has cleared the memory already.
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

// Crash ends the current boot: running generations, the memory contents and
// all connections are lost. It does nothing if the engine has crashed already.
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

// Restart crashes the engine if it runs and starts a new boot with empty memory.
func (e *Engine) Restart() {
	e.Crash()
	e.startBoot()
}

// renewBoot changes the boot ID without an end of the boot.
func (e *Engine) renewBoot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot = uuid.NewString()
}

// SetFaults replaces all faults.
func (e *Engine) SetFaults(f Faults) { e.faults.set(f) }

// Stats returns the statistics of the engine.
func (e *Engine) Stats() Stats { return e.recorder.snapshot() }

// Handler returns the HTTP handler of the engine. While the engine is crashed,
// it aborts every connection.
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
	mux.HandleFunc("GET "+aubengine.PathLoadReport, e.handleReport)
	mux.HandleFunc("GET "+aubengine.PathAnswers+"{id}/status", e.handleStatus)
	mux.HandleFunc("GET "+aubengine.PathAnswers+"{id}", e.handleResume)
	mux.HandleFunc("DELETE "+aubengine.PathAnswers+"{id}", e.handleAbort)
	mux.HandleFunc("GET "+aubengine.PathCacheEvents, e.handleCacheEvents)
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

// currentBoot returns the context and the scheduler of the current boot.
func (e *Engine) currentBoot() (context.Context, *scheduler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootCtx, e.sched
}

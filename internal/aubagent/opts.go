package aubagent

import (
	"cmp"
	"context"
	"time"
)

const (
	defaultHeartbeat           = time.Second
	callerTimeoutHeartbeats    = 3
	ticksPerHeartbeat          = 4
	defaultLinger              = 15 * time.Second
	defaultOrderLifetime       = 30 * time.Second
	defaultStallTimeout        = 3 * time.Second
	defaultPollInterval        = time.Second
	defaultLoadingPollInterval = 20 * time.Millisecond
	defaultMaxBodyBytes        = 8 << 20
	defaultMaxRunning          = 1024
)

// AgentOpts configures an agent.
type AgentOpts struct {
	// Name, Zone and Address (host:port of the agent's gRPC listener) are announced.
	Name    string
	Zone    string
	Address string
	// EngineURL is the base address of a model engine; empty for a plain service.
	EngineURL string
	// ServiceURL is the base address of a plain service; empty for an engine.
	ServiceURL string
	// Services are the names under which a plain service is announced.
	Services []string
	// MemoryBytes is the accelerator's memory; the engine's own statement
	// counts when it is lower.
	MemoryBytes int64
	// DataDir keeps the journal of orders; empty for none.
	DataDir string
	// Incarnation overrides the one derived from the clock and the data folder.
	Incarnation uint64
	// FloorFence returns the lowest fence that this incarnation may accept. The
	// replicated log has to make it higher than every fence that an earlier
	// incarnation could accept. It is called until it succeeds; without it no
	// order is ever accepted.
	FloorFence func(ctx context.Context, incarnation uint64) (uint64, error)
	// Poisoned reports whether a fingerprint is refused fleet-wide; nil for none.
	Poisoned func(fingerprint string) bool
	// EngineChecksFence is set for engines that refuse old fencing numbers.
	EngineChecksFence bool
	// OrderLifetime is the time after which an order that was sent is no longer
	// executed, for engines that ignore fencing numbers; 0 means 30 s.
	OrderLifetime time.Duration
	// Heartbeat is the interval of heartbeat frames; 0 means 1 s.
	Heartbeat time.Duration
	// Silence is how long a caller's connection may be silent; 0 means 3 heartbeats.
	Silence time.Duration
	// Linger is how long an execution goes on without a connection and an answer
	// is kept without an acknowledgement; 0 means 15 s.
	Linger time.Duration
	// BackendSilence is how long a backend connection may be silent before the
	// engine is asked how far the answer is; 0 means 3 s.
	BackendSilence time.Duration
	// Poll is the interval of state queries; 0 means 1 s.
	Poll time.Duration
	// LoadingPoll is the same while something loads or unloads; 0 means 20 ms.
	LoadingPoll time.Duration
	// MaxBodyBytes bounds one request body; 0 means 8 MiB.
	MaxBodyBytes int
	// MaxRunning bounds the executions at once; 0 means 1024.
	MaxRunning int
}

func (o AgentOpts) withDefaults() AgentOpts {
	o.Heartbeat = cmp.Or(o.Heartbeat, defaultHeartbeat)
	o.Silence = cmp.Or(o.Silence, callerTimeoutHeartbeats*o.Heartbeat)
	o.Linger = cmp.Or(o.Linger, defaultLinger)
	o.OrderLifetime = cmp.Or(o.OrderLifetime, defaultOrderLifetime)
	o.BackendSilence = cmp.Or(o.BackendSilence, defaultStallTimeout)
	o.Poll = cmp.Or(o.Poll, defaultPollInterval)
	o.LoadingPoll = cmp.Or(o.LoadingPoll, defaultLoadingPollInterval)
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, defaultMaxBodyBytes)
	o.MaxRunning = cmp.Or(o.MaxRunning, defaultMaxRunning)
	return o
}

func (o AgentOpts) engine() bool { return o.EngineURL != "" }

func (o AgentOpts) backendURL() string {
	if o.engine() {
		return o.EngineURL
	}
	return o.ServiceURL
}

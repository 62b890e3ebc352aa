package aubapi

import "time"

// Kind is the kind of a configuration object.
type Kind string

// Kinds of configuration objects.
const (
	KindWorkspace Kind = "workspace"
	KindKey       Kind = "key"
	KindModel     Kind = "model"
	KindAdapter   Kind = "adapter"
	KindRoute     Kind = "route"
)

// AnyWorkspace admits every workspace when it is in a list of workspaces.
const AnyWorkspace = "*"

// CutOffMode defines how a zone without contact to the control leader treats the
// requests of a workspace.
type CutOffMode string

// Cut-off modes.
const (
	// CutOffServe serves requests with the last confirmed keys and within each
	// instance's floor, its guaranteed share of rate and burst.
	CutOffServe CutOffMode = "serve"
	// CutOffRefuse refuses requests once the last confirmation of the configuration by
	// the control leader is older than the bound.
	CutOffRefuse CutOffMode = "refuse"
)

// Workspace is a tenant of the site.
type Workspace struct {
	Name string `json:"name" yaml:"name"`
	// Rate is the sustained allowance over all instances, in tokens per second.
	Rate int64 `json:"rate" yaml:"rate"`
	// Burst is the allowance on top of the rate, in tokens.
	Burst int64 `json:"burst" yaml:"burst"`
	// Weight is the share in fair queueing; 0 means 1.
	Weight int64 `json:"weight,omitempty" yaml:"weight,omitempty"`
	// CutOff is the mode of a cut-off zone; empty means CutOffServe.
	CutOff CutOffMode `json:"cut_off,omitempty" yaml:"cut_off,omitempty"`
	// CutOffBound is the time since the last confirmation of the configuration after
	// which CutOffRefuse refuses requests, in seconds.
	CutOffBound int64 `json:"cut_off_bound_seconds,omitempty" yaml:"cut_off_bound_seconds,omitempty"`
}

// Key is the stored form of a caller's key. The key itself is never stored.
type Key struct {
	Name      string `json:"name" yaml:"name"`
	Workspace string `json:"workspace" yaml:"workspace"`
	// Lookup is a short, non-secret prefix of the key's digest, used as an index.
	Lookup string `json:"lookup" yaml:"lookup"`
	// Salt holds hex encoded random bytes.
	Salt string `json:"salt" yaml:"salt"`
	// Hash is the hex encoded salted hash of the key.
	Hash string `json:"hash" yaml:"hash"`
	// Withdrawn keys no longer authenticate.
	Withdrawn bool `json:"withdrawn,omitempty" yaml:"withdrawn,omitempty"`
}

// Model is a language model that engines can load.
type Model struct {
	Name string `json:"name" yaml:"name"`
	// MemoryBytes is the accelerator memory of one copy.
	MemoryBytes int64 `json:"memory_bytes" yaml:"memory_bytes"`
	// Workspaces that may call the model; AnyWorkspace admits all.
	Workspaces []string `json:"workspaces" yaml:"workspaces"`
	// MaxOutputTokens is the maximum for a request that does not set one.
	MaxOutputTokens int64 `json:"max_output_tokens,omitempty" yaml:"max_output_tokens,omitempty"`
	// BytesPerToken is the minimum number of prompt bytes per token. It converts the
	// size of a prompt to the number of tokens reserved for it. 0 means 1.
	BytesPerToken int64 `json:"bytes_per_token,omitempty" yaml:"bytes_per_token,omitempty"`
	// Copies is the desired number of resident copies, if memory allows; 0 means 2.
	Copies int `json:"copies,omitempty" yaml:"copies,omitempty"`
}

// Adapter is a fine-tuned variant that runs on top of a base model.
type Adapter struct {
	Name        string   `json:"name" yaml:"name"`
	Model       string   `json:"model" yaml:"model"`
	MemoryBytes int64    `json:"memory_bytes" yaml:"memory_bytes"`
	Workspaces  []string `json:"workspaces" yaml:"workspaces"`
}

// Route forwards requests with a path prefix to a plain service.
type Route struct {
	Name string `json:"name" yaml:"name"`
	// Prefix is the path prefix, with a leading slash. The longest prefix wins.
	Prefix string `json:"prefix" yaml:"prefix"`
	// Service is the name under which backend servers announce the service.
	Service string `json:"service" yaml:"service"`
	// Open routes need no key.
	Open bool `json:"open,omitempty" yaml:"open,omitempty"`
	// Idempotent calls may be retried by the system.
	Idempotent bool `json:"idempotent,omitempty" yaml:"idempotent,omitempty"`
	// Cost is the number of tokens that one call uses of its workspace's allowance.
	Cost int64 `json:"cost,omitempty" yaml:"cost,omitempty"`
	// Workspaces that may call the route; AnyWorkspace admits all.
	Workspaces []string `json:"workspaces,omitempty" yaml:"workspaces,omitempty"`
	// TimeoutSeconds is the maximum duration of one call; 0 means the entry's setting.
	TimeoutSeconds int64 `json:"timeout_seconds,omitempty" yaml:"timeout_seconds,omitempty"`
}

// CutOffAfter returns the time since the last confirmation of the configuration after
// which a cut-off zone refuses the workspace's requests. It returns false when the zone
// continues to serve them.
func (w Workspace) CutOffAfter() (time.Duration, bool) {
	if w.CutOff != CutOffRefuse {
		return 0, false
	}
	return time.Duration(w.CutOffBound) * time.Second, true
}

package aubapi

import "time"

// Kind names one sort of configuration object.
type Kind string

// Kinds of configuration objects.
const (
	KindWorkspace Kind = "workspace"
	KindKey       Kind = "key"
	KindModel     Kind = "model"
	KindAdapter   Kind = "adapter"
	KindRoute     Kind = "route"
)

// AnyWorkspace in a list of workspaces admits every workspace.
const AnyWorkspace = "*"

// CutOffMode says what a zone that is cut off from the control leader does
// with the requests of a workspace.
type CutOffMode string

// Cut-off modes.
const (
	// CutOffServe serves with the last confirmed keys and the standing floor.
	CutOffServe CutOffMode = "serve"
	// CutOffRefuse refuses once the configuration is older than the bound.
	CutOffRefuse CutOffMode = "refuse"
)

// Workspace is a tenant of the site.
type Workspace struct {
	Name string `json:"name" yaml:"name"`
	// Rate is the sustained allowance in tokens a second over all instances.
	Rate int64 `json:"rate" yaml:"rate"`
	// Burst is the allowance in tokens on top of the rate.
	Burst int64 `json:"burst" yaml:"burst"`
	// Weight is the share in fair queueing; 0 means 1.
	Weight int64 `json:"weight,omitempty" yaml:"weight,omitempty"`
	// CutOff is what a cut-off zone does; empty means CutOffServe.
	CutOff CutOffMode `json:"cut_off,omitempty" yaml:"cut_off,omitempty"`
	// CutOffBound is the age of the configuration, in seconds, from which
	// CutOffRefuse refuses.
	CutOffBound int64 `json:"cut_off_bound_seconds,omitempty" yaml:"cut_off_bound_seconds,omitempty"`
}

// Key is the stored form of a caller's key. The key itself is never stored.
type Key struct {
	Name      string `json:"name" yaml:"name"`
	Workspace string `json:"workspace" yaml:"workspace"`
	// Lookup is a short non-secret prefix of the key's digest, used as index.
	Lookup string `json:"lookup" yaml:"lookup"`
	// Salt is hex encoded random bytes.
	Salt string `json:"salt" yaml:"salt"`
	// Hash is the hex encoded salted hash of the key.
	Hash string `json:"hash" yaml:"hash"`
	// Withdrawn keys no longer authenticate.
	Withdrawn bool `json:"withdrawn,omitempty" yaml:"withdrawn,omitempty"`
}

// Model is a language model that engines can load.
type Model struct {
	Name string `json:"name" yaml:"name"`
	// MemoryBytes is the accelerator memory that one copy takes.
	MemoryBytes int64 `json:"memory_bytes" yaml:"memory_bytes"`
	// Workspaces that may call the model; AnyWorkspace admits all.
	Workspaces []string `json:"workspaces" yaml:"workspaces"`
	// MaxOutputTokens bounds a request that names no maximum itself.
	MaxOutputTokens int64 `json:"max_output_tokens,omitempty" yaml:"max_output_tokens,omitempty"`
	// BytesPerToken is the least number of prompt bytes that make a token; it
	// turns a prompt's size into the tokens reserved for it. 0 means 1.
	BytesPerToken int64 `json:"bytes_per_token,omitempty" yaml:"bytes_per_token,omitempty"`
	// Copies is the number of resident copies wished where memory allows; 0 means 2.
	Copies int `json:"copies,omitempty" yaml:"copies,omitempty"`
}

// Adapter is a fine-tuned variant that runs on top of a base model.
type Adapter struct {
	Name        string   `json:"name" yaml:"name"`
	Model       string   `json:"model" yaml:"model"`
	MemoryBytes int64    `json:"memory_bytes" yaml:"memory_bytes"`
	Workspaces  []string `json:"workspaces" yaml:"workspaces"`
}

// Route sends a path prefix to a plain service.
type Route struct {
	Name string `json:"name" yaml:"name"`
	// Prefix is the path prefix, beginning with a slash. The longest prefix wins.
	Prefix string `json:"prefix" yaml:"prefix"`
	// Service is the name that backend servers announce.
	Service string `json:"service" yaml:"service"`
	// Open routes answer without a key.
	Open bool `json:"open,omitempty" yaml:"open,omitempty"`
	// Idempotent calls may be sent again by the system.
	Idempotent bool `json:"idempotent,omitempty" yaml:"idempotent,omitempty"`
	// Cost is the tokens that one call takes from its workspace's allowance.
	Cost int64 `json:"cost,omitempty" yaml:"cost,omitempty"`
	// Workspaces that may call the route; AnyWorkspace admits all.
	Workspaces []string `json:"workspaces,omitempty" yaml:"workspaces,omitempty"`
	// TimeoutSeconds bounds one call; 0 means the entry's setting.
	TimeoutSeconds int64 `json:"timeout_seconds,omitempty" yaml:"timeout_seconds,omitempty"`
}

// CutOffAfter returns the age of the configuration from which a cut-off zone
// refuses the workspace, and false when it serves on.
func (w Workspace) CutOffAfter() (time.Duration, bool) {
	if w.CutOff != CutOffRefuse {
		return 0, false
	}
	return time.Duration(w.CutOffBound) * time.Second, true
}

package aubauth

import (
	"crypto/subtle"
	"encoding/hex"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// retryAfterStale is the Retry-After of a refusal for a stale configuration.
const retryAfterStale = 5 * time.Second

// Identity is the workspace and the key of an authenticated caller.
type Identity struct {
	Workspace string
	KeyName   string
	// KeyLookup distinguishes the key from a later one of the same name.
	KeyLookup string
}

// Authenticator checks keys against the active configuration. It caches nothing, so
// a key is refused as soon as the configuration that withdraws it is active in this
// process.
type Authenticator struct {
	common        aubcommon.Common
	source        aubquery.ConfigSource
	refusals      map[Reason]tally.Counter
	staleRefusals tally.Counter
}

// NewAuthenticator returns an authenticator for the keys of the source's configuration.
func NewAuthenticator(common aubcommon.Common, source aubquery.ConfigSource) *Authenticator {
	common = common.WithPart("auth")
	a := &Authenticator{
		common:        common,
		source:        source,
		refusals:      make(map[Reason]tally.Counter),
		staleRefusals: common.Metrics.Counter("stale_config_refusals"),
	}
	for _, reason := range []Reason{ReasonMissing, ReasonUnknown, ReasonWithdrawn} {
		tags := map[string]string{"reason": string(reason)}
		a.refusals[reason] = common.Metrics.Tagged(tags).Counter("refusals")
	}
	return a
}

// Authenticate returns the identity of the key. Errors are
// *UnauthenticatedError and *StaleConfigError.
func (a *Authenticator) Authenticate(key string) (Identity, error) {
	if key == "" {
		return Identity{}, a.refuse(ReasonMissing)
	}
	cfg := a.source.Config()
	stored, ok := findKey(cfg, key)
	if !ok {
		return Identity{}, a.refuseUnknown(cfg)
	}
	return a.checkStored(cfg, stored)
}

// Recheck returns nil while the key of an earlier identity is still valid, for
// requests that run for a long time. Errors are those of Authenticate.
func (a *Authenticator) Recheck(id Identity) error {
	cfg := a.source.Config()
	stored, ok := cfg.Key(id.KeyName)
	if !ok || stored.Workspace != id.Workspace || stored.Lookup != id.KeyLookup {
		return a.refuse(ReasonWithdrawn)
	}
	_, err := a.checkStored(cfg, stored)
	return err
}

// checkStored returns the identity of a stored key, unless the key is withdrawn, its
// workspace is missing or the configuration is stale.
func (a *Authenticator) checkStored(cfg aubquery.Config, stored aubapi.Key) (Identity, error) {
	if stored.Withdrawn {
		return Identity{}, a.refuse(ReasonWithdrawn)
	}
	workspace, ok := cfg.Workspace(stored.Workspace)
	if !ok {
		return Identity{}, a.refuse(ReasonUnknown)
	}
	if a.isStale(workspace) {
		a.staleRefusals.Inc(1)
		return Identity{}, &StaleConfigError{Workspace: workspace.Name, RetryAfter: retryAfterStale}
	}
	return Identity{Workspace: workspace.Name, KeyName: stored.Name, KeyLookup: stored.Lookup}, nil
}

// isStale reports whether the workspace sets a bound and the configuration was not
// confirmed within it, or not at all since the start of the process.
func (a *Authenticator) isStale(w aubapi.Workspace) bool {
	bound, refuses := w.CutOffAfter()
	if !refuses {
		return false
	}
	confirmed := a.source.ConfirmedAt()
	return confirmed.IsZero() || a.common.Timer.Now().Sub(confirmed) > bound
}

func (a *Authenticator) refuse(reason Reason) error {
	a.refusals[reason].Inc(1)
	return &UnauthenticatedError{Reason: reason}
}

// refuseUnknown refuses a key that is not in the configuration. While the process has
// no configuration yet, the error is *StaleConfigError, as the key may be valid.
func (a *Authenticator) refuseUnknown(cfg aubquery.Config) error {
	if cfg.Version() == 0 && a.source.ConfirmedAt().IsZero() {
		a.staleRefusals.Inc(1)
		return &StaleConfigError{RetryAfter: retryAfterStale}
	}
	return a.refuse(ReasonUnknown)
}

// findKey compares the whole hash of every candidate in constant time, and prefers a
// key that is not withdrawn. The lookup value is not secret, so the search by it
// need not take constant time.
func findKey(cfg aubquery.Config, key string) (aubapi.Key, bool) {
	var matched aubapi.Key
	matchCount := 0
	for _, candidate := range cfg.Keys(lookupValue(key)) {
		equal := matchesSecret(candidate, key)
		if equal == 1 && (matchCount == 0 || matched.Withdrawn) {
			matched = candidate
		}
		matchCount += equal
	}
	return matched, matchCount > 0
}

// matchesSecret returns 1 when the key has the stored hash, else 0.
func matchesSecret(stored aubapi.Key, key string) int {
	salt, err := hex.DecodeString(stored.Salt)
	if err != nil {
		return 0
	}
	hash, err := hex.DecodeString(stored.Hash)
	if err != nil {
		return 0
	}
	return subtle.ConstantTimeCompare(hash, hashSecret(salt, key))
}

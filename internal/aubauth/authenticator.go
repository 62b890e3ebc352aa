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

// retryAfterStale is when a caller refused for a stale configuration may return.
const retryAfterStale = 5 * time.Second

// Identity is whom a key stands for.
type Identity struct {
	Workspace string
	KeyName   string
	// KeyLookup tells a key from a later one of the same name.
	KeyLookup string
}

// Authenticator checks keys. It keeps nothing between calls, so a withdrawal
// counts from the moment the configuration that carries it is in force here.
type Authenticator struct {
	common        aubcommon.Common
	source        aubquery.Source
	refusals      map[Reason]tally.Counter
	staleRefusals tally.Counter
}

// NewAuthenticator returns an authenticator over the configuration in force.
func NewAuthenticator(common aubcommon.Common, source aubquery.Source) *Authenticator {
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

// Authenticate returns whom the key stands for. Errors are
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

// Recheck returns nil while the key of an earlier identity is still in force. It
// serves requests that run for long.
func (a *Authenticator) Recheck(id Identity) error {
	cfg := a.source.Config()
	stored, ok := cfg.Key(id.KeyName)
	if !ok || stored.Workspace != id.Workspace || stored.Lookup != id.KeyLookup {
		return a.refuse(ReasonWithdrawn)
	}
	_, err := a.checkStored(cfg, stored)
	return err
}

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

// isStale reports whether the configuration is older than the workspace's bound
// allows; one that was never confirmed since the start is.
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

// refuseUnknown tells a process that knows no configuration yet from a wrong key.
func (a *Authenticator) refuseUnknown(cfg aubquery.Config) error {
	if cfg.Version() == 0 && a.source.ConfirmedAt().IsZero() {
		a.staleRefusals.Inc(1)
		return &StaleConfigError{RetryAfter: retryAfterStale}
	}
	return a.refuse(ReasonUnknown)
}

// findKey compares the whole hash of every candidate in constant time. The
// lookup value is no secret, so the search by it may be seen in the timing.
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

package aubdistribution

import (
	"bytes"

	"github.com/auburndale/auburndale/internal/aubstate/aubcodec"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// mergeAction is the action of a follower after it received a delta or a full state.
type mergeAction int

const (
	// actionNone ignores the message.
	actionNone mergeAction = iota
	// actionUpdate stores and publishes the new configuration.
	actionUpdate
	// actionResync requests all changes after the current version.
	actionResync
	// actionRequestFull requests the full state.
	actionRequestFull
)

// mergeDelta applies a delta and returns the resulting configuration and action. A
// delta that starts at or before the current version and ends after it contains all
// missing changes; the digest verifies the result.
func mergeDelta(current aubquery.Config, delta *aubwire.ConfigDelta) (aubquery.Config, mergeAction) {
	if delta.GetToVersion() <= current.Version() {
		return current, actionNone
	}
	if delta.GetFromVersion() > current.Version() {
		return current, actionResync
	}
	next := current.WithChange(aubquery.Change{
		Objects: aubcodec.ObjectsFromWire(delta.GetToVersion(), delta.GetObjects()),
		Remove:  aubcodec.IDsFromWire(delta.GetRemove()),
	})
	if !equalDigest(next, delta.GetDigest()) {
		return current, actionRequestFull
	}
	return next, actionUpdate
}

// mergeFull checks a full state and returns the resulting configuration and action.
// A full state of the current version is accepted too, as it may correct the content.
func mergeFull(current aubquery.Config, full *aubwire.ConfigFull) (aubquery.Config, mergeAction) {
	if full.GetState().GetVersion() < current.Version() {
		return current, actionNone
	}
	next := aubcodec.ConfigFromWire(full.GetState())
	if !equalDigest(next, full.GetDigest()) {
		return current, actionRequestFull
	}
	return next, actionUpdate
}

// equalDigest reports whether a configuration has the digest.
func equalDigest(cfg aubquery.Config, digest []byte) bool {
	return bytes.Equal(cfg.Digest().Bytes(), digest)
}

package aubdistribution

import (
	"bytes"

	"github.com/auburndale/auburndale/internal/aubstate/aubcodec"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// step is the action of a follower after it received a delta or a full state.
type step int

const (
	// stepNone ignores the message.
	stepNone step = iota
	// stepHold stores and publishes the new configuration.
	stepHold
	// stepResync requests all changes after the current version.
	stepResync
	// stepFull requests the full state.
	stepFull
)

// mergeDelta applies a delta and returns the resulting configuration and action. A
// delta that starts at or before the current version and ends after it contains all
// missing changes; the digest verifies the result.
func mergeDelta(held aubquery.Config, delta *aubwire.ConfigDelta) (aubquery.Config, step) {
	if delta.GetToVersion() <= held.Version() {
		return held, stepNone
	}
	if delta.GetFromVersion() > held.Version() {
		return held, stepResync
	}
	next := held.WithChange(aubquery.Change{
		Objects: aubcodec.ObjectsFromWire(delta.GetToVersion(), delta.GetObjects()),
		Remove:  aubcodec.IDsFromWire(delta.GetRemove()),
	})
	if !equalDigest(next, delta.GetDigest()) {
		return held, stepFull
	}
	return next, stepHold
}

// mergeFull checks a full state and returns the resulting configuration and action.
// A full state of the current version is accepted too, as it may correct the content.
func mergeFull(held aubquery.Config, full *aubwire.ConfigFull) (aubquery.Config, step) {
	if full.GetState().GetVersion() < held.Version() {
		return held, stepNone
	}
	next := aubcodec.StateFromWire(full.GetState())
	if !equalDigest(next, full.GetDigest()) {
		return held, stepFull
	}
	return next, stepHold
}

func equalDigest(cfg aubquery.Config, digest []byte) bool {
	return bytes.Equal(cfg.Digest().Bytes(), digest)
}

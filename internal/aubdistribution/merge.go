package aubdistribution

import (
	"bytes"

	"github.com/auburndale/auburndale/internal/aubstate/aubcodec"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// step is what a follower does after one message.
type step int

const (
	// stepNone leaves everything as it is.
	stepNone step = iota
	// stepHold takes the next configuration over.
	stepHold
	// stepResync asks for everything after the version held.
	stepResync
	// stepFull asks for the full state.
	stepFull
)

// mergeDelta decides on a delta. One that begins at or before the version held
// and ends after it carries all that is missing; the digest proves the result.
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

// mergeFull decides on a full state. One of the version held replaces it when
// the content differs.
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

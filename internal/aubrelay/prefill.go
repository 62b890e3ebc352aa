package aubrelay

import (
	"time"

	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubspeed"
)

const (
	// prefillChunkTokens is the number of prompt tokens that an engine prefills between two
	// output tokens.
	prefillChunkTokens = 2048
	// pauseDivisor is the part of the pause objective for which an engine may prefill without a
	// break: a prompt of another relay can arrive before its load is known.
	pauseDivisor = 2
)

// prefillRunLimit returns the number of prompt tokens that an engine may prefill without a
// break. With deferrable routes, and a rate that was measured, its running responses then pause
// for a part of the shortest pause objective.
func (h *Handler) prefillRunLimit(ex *exchange, choice aubroute.Choice) int64 {
	if choice.IsRateMeasured && h.opts.Deferrable.Has(ex.site) {
		if pause := ex.site.ShortestPause(ex.service); pause > 0 {
			return pacedRunLimit(choice.PrefillRate, pause)
		}
	}
	// A slow engine's running responses pause longer for the same prompts.
	return int64(maxPrefillRunTokens * min(choice.Speed, 1))
}

// pacedRunLimit returns what an engine prefills in a part of the pause objective at the rate, in
// tokens a second, and at least one chunk.
func pacedRunLimit(rate float64, pause time.Duration) int64 {
	return max(int64(rate*pause.Seconds()/pauseDivisor), prefillChunkTokens)
}

// recordFirstEvent reports the first event of an attempt for the measurement of prefill rates.
func (h *Handler) recordFirstEvent(ex *exchange, choice aubroute.Choice, firstEvent time.Duration) {
	if h.opts.Speeds == nil || ex.call.Model == "" || !h.opts.Deferrable.Has(ex.site) {
		return
	}
	a := choice.Member.Announcement
	h.opts.Speeds.AddPrefill(aubspeed.Engine{ID: a.GetName(), StartedMs: int64(a.GetIncarnation())}, ex.service, aubspeed.Prefill{
		Model: aubregistry.ModelName(ex.service, ex.call.Model), NewTokens: newTokens(ex, choice), FirstEvent: firstEvent,
	})
}

// newTokens returns the number of prompt tokens that no engine has had before: those of the last
// part, which belongs to the request or its session. It is 0 if it is not known, as for a repeated
// request.
func newTokens(ex *exchange, choice aubroute.Choice) int64 {
	if ex.attempts > 1 || ex.call.LastEventID != NoEventID {
		return 0
	}
	if n := len(ex.call.Prompt); n > 0 {
		return min(ex.call.Prompt[n-1].Tokens, choice.UncachedTokens)
	}
	return choice.UncachedTokens
}

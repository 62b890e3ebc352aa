package aubspeed

import (
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// orderDelay is the age from which the first events of an engine are evaluated: those of other
	// relays arrive up to a report interval later.
	orderDelay = time.Second
	// minPrefillTokens is the number of prompt tokens from which a prompt counts; the first
	// event of shorter ones says little of the rate.
	minPrefillTokens = 256
)

// firstEvent is a first event of an engine, on the clock of this process.
type firstEvent struct {
	model             string
	tokens            int64
	startedAt, seenAt time.Time
}

// eventOrder derives how long an engine took for each prompt alone from the first events that
// all relays report of it. A prompt that waits behind others is taken up when the first event of
// the one before it is seen, so that waiting is not taken for slowness.
type eventOrder struct {
	// pending are events younger than orderDelay.
	pending []firstEvent
	// last is the event evaluated last.
	last firstEvent
}

// add adds reported events.
func (o *eventOrder) add(now time.Time, reported []*aubwire.PrefillSample) {
	for _, r := range reported {
		seenAt := now.Add(-time.Duration(max(r.GetAgoMs(), 0)) * time.Millisecond)
		o.pending = append(o.pending, firstEvent{
			model: r.GetModel(), tokens: r.GetTokens(), seenAt: seenAt,
			startedAt: seenAt.Add(-time.Duration(max(r.GetFirstEventMs(), 0)) * time.Millisecond),
		})
	}
}

// evaluate calls visit for each prompt whose time alone is known.
func (o *eventOrder) evaluate(now time.Time, visit func(model string, p prefillPoint)) {
	slices.SortStableFunc(o.pending, func(a, b firstEvent) int { return a.seenAt.Compare(b.seenAt) })
	done := 0
	for _, e := range o.pending {
		if now.Sub(e.seenAt) < orderDelay {
			break
		}
		done++
		if e.seenAt.Before(o.last.seenAt) {
			// It was reported after later ones were evaluated.
			continue
		}
		// Of a prompt that a later one has overtaken, a part may have been read before.
		isInOrder := !e.startedAt.Before(o.last.startedAt)
		from, after := e.startedAt, ""
		if o.last.seenAt.After(from) {
			from, after = o.last.seenAt, o.last.model
		}
		if alone := e.seenAt.Sub(from); isInOrder && e.tokens >= minPrefillTokens && alone > 0 {
			visit(e.model, prefillPoint{tokens: float64(e.tokens), seconds: alone.Seconds(), after: after})
		}
		o.last = e
	}
	o.pending = slices.Delete(o.pending, 0, done)
}

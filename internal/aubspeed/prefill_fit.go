package aubspeed

import (
	"cmp"
	"math"
	"slices"
)

const (
	// fitQuantile is the share of the times that may be shorter than those fitted for a model or
	// an engine. Unknown waiting, and tokens that are not cached as assumed, lengthen the times;
	// only a first event before that was seen late shortens them.
	fitQuantile = 0.25
	// fitSteps is the number of steps of the search for the slope; each narrows the range to
	// goldenShare of it, all together to 0.1% of the slope.
	fitSteps    = 18
	goldenShare = 0.618
	// minTokenSpread is the ratio of long to short prompts from which the time that doesn't
	// depend on the length can be told apart.
	minTokenSpread = 1.8
	// minPrefillRate and maxPrefillRate limit the rates, in tokens a second.
	minPrefillRate = 1000.0
	maxPrefillRate = 1e6
)

// prefillPoint is one prompt: its tokens and the seconds to its first event.
type prefillPoint struct {
	tokens, seconds float64
	// after is the model of the prompt before if the seconds begin with that one's first event;
	// empty if the prompt did not wait. The engine has then begun with it earlier: the first event
	// holds output tokens that follow the prefill.
	after string
}

// prefillLine is the expected time to the first event of a model.
type prefillLine struct {
	// constants are the seconds that don't depend on the prompt, for one that has not waited and
	// one that has.
	constants       [2]float64
	secondsPerToken float64
}

// at returns the expected seconds for the prompt.
func (l prefillLine) at(p prefillPoint) float64 {
	return l.constants[p.group()] + l.secondsPerToken*p.tokens
}

// group returns the index of the prompt's constant.
func (p prefillPoint) group() int {
	if p.after == "" {
		return 0
	}
	return 1
}

// scaled returns the line of an engine that takes the factor of the time.
func (l prefillLine) scaled(factor float64) prefillLine {
	l.constants[0] *= factor
	l.constants[1] *= factor
	l.secondsPerToken *= factor
	return l
}

// fitLine fits the fitQuantile line to the points, of which there is at least one. Waiting is
// independent of a prompt's length, so that it raises the constant part and not the slope.
func fitLine(points []prefillPoint) prefillLine {
	tokens := make([]float64, len(points))
	for i, p := range points {
		tokens[i] = p.tokens
	}
	slices.Sort(tokens)
	if quantileOf(tokens, 0.9) < minTokenSpread*quantileOf(tokens, 0.1) {
		return prefillLine{secondsPerToken: slopeThroughZero(points)}
	}
	rest := [2][]float64{make([]float64, 0, len(points)), make([]float64, 0, len(points))}
	// The minimum over the constants is convex in the slope.
	low, high := math.Log(1/maxPrefillRate), math.Log(1/minPrefillRate)
	lossAt := func(logSlope float64) float64 {
		_, loss := constantsFor(points, math.Exp(logSlope), rest)
		return loss
	}
	left, right := high-goldenShare*(high-low), low+goldenShare*(high-low)
	lossLeft, lossRight := lossAt(left), lossAt(right)
	for range fitSteps {
		if lossLeft <= lossRight {
			high, right, lossRight = right, left, lossLeft
			left = high - goldenShare*(high-low)
			lossLeft = lossAt(left)
		} else {
			low, left, lossLeft = left, right, lossRight
			right = low + goldenShare*(high-low)
			lossRight = lossAt(right)
		}
	}
	slope := math.Exp((low + high) / 2)
	constants, _ := constantsFor(points, slope, rest)
	return prefillLine{constants: constants, secondsPerToken: slope}
}

// constantsFor returns the best constants for a slope, at least 0, and the loss. It uses rest as
// memory.
func constantsFor(points []prefillPoint, slope float64, rest [2][]float64) (constants [2]float64, loss float64) {
	rest[0], rest[1] = rest[0][:0], rest[1][:0]
	for _, p := range points {
		rest[p.group()] = append(rest[p.group()], p.seconds-slope*p.tokens)
	}
	for group, seconds := range rest {
		if len(seconds) == 0 {
			continue
		}
		slices.Sort(seconds)
		constants[group] = max(quantileOf(seconds, fitQuantile), 0)
		for _, r := range seconds {
			if r -= constants[group]; r > 0 {
				loss += fitQuantile * r
			} else {
				loss -= (1 - fitQuantile) * r
			}
		}
	}
	return constants, loss
}

func slopeThroughZero(points []prefillPoint) float64 {
	slopes := make([]float64, len(points))
	for i, p := range points {
		slopes[i] = p.seconds / p.tokens
	}
	slices.Sort(slopes)
	return min(max(quantileOf(slopes, fitQuantile), 1/maxPrefillRate), 1/minPrefillRate)
}

// quantileOf returns the quantile of sorted values, of which there is at least one.
func quantileOf(sorted []float64, q float64) float64 {
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

// weightedRatio is a measured time divided by the expected one, which is its weight: waiting
// changes the ratio of long prompts less.
type weightedRatio struct{ value, weight float64 }

// weightedQuantile returns the ratio below which the share q of the weights is. There is at least
// one ratio; they are sorted in place.
func weightedQuantile(ratios []weightedRatio, q float64) float64 {
	slices.SortFunc(ratios, func(a, b weightedRatio) int { return cmp.Compare(a.value, b.value) })
	var sum, below float64
	for _, r := range ratios {
		sum += r.weight
	}
	for _, r := range ratios {
		if below += r.weight; below >= q*sum {
			return r.value
		}
	}
	return ratios[len(ratios)-1].value
}

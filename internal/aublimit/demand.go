package aublimit

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the moving average of demand.
	demandMemory = 500 * time.Millisecond
)

// demand is a moving average of the rate at which tokens are requested.
type demand struct {
	// rate is the average in tokens per second until averagedAt.
	rate float64
	at   time.Duration
	// unaveraged is the number of tokens requested since averagedAt.
	recent int64
}

// add counts the tokens of one request.
func (d *demand) observe(tokens int64) { d.recent += tokens }

// average updates the moving average and returns it, in tokens per second.
func (d *demand) average(now time.Duration) float64 {
	elapsed := now - d.at
	if elapsed < time.Millisecond {
		return d.rate
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/demandMemory.Seconds())
	d.rate += weight * (float64(d.recent)/elapsed.Seconds() - d.rate)
	d.recent = 0
	d.at = now
	return d.rate
}

package aublimit

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the moving average of demand.
	demandTimeConstant = 500 * time.Millisecond
)

// demand is a moving average of the rate at which tokens are requested.
type demand struct {
	// rate is the average in tokens per second until averagedAt.
	rate       float64
	averagedAt time.Duration
	// unaveraged is the number of tokens requested since averagedAt.
	unaveraged int64
}

// add counts the tokens of one request.
func (d *demand) add(tokens int64) { d.unaveraged += tokens }

// average updates the moving average and returns it, in tokens per second.
func (d *demand) average(now time.Duration) float64 {
	elapsed := now - d.averagedAt
	if elapsed < time.Millisecond {
		return d.rate
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
	d.rate += weight * (float64(d.unaveraged)/elapsed.Seconds() - d.rate)
	d.unaveraged = 0
	d.averagedAt = now
	return d.rate
}

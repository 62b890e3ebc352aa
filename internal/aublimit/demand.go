package aublimit

import (
	"math"
	"time"
)

const (
	// demandMemory is the time constant of the demand's average.
	demandMemory = 500 * time.Millisecond
)

// demand is the recent rate of tokens asked for.
type demand struct {
	// rate in tokens a second, averaged until at.
	rate float64
	at   time.Duration
	// recent tokens since at.
	recent int64
}

func (d *demand) observe(tokens int64) { d.recent += tokens }

// average folds the recent tokens in and returns the rate.
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

package aubplacement

import (
	"math"
	"time"

	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// trendWindow is the time constant of the rate that the present one is compared to.
	trendWindow = time.Minute
	// trendHorizon is how far ahead a rising rate is extended.
	trendHorizon = 30 * time.Second
	// defaultServiceSeconds stands in until an answer was measured.
	defaultServiceSeconds = 1.0
	// idleRate is the rate below which nobody counts as calling, requests a second.
	idleRate = 0.01
	// rowMemory is how long the demand of an entry counts after it was last seen.
	rowMemory = 10 * time.Second
)

// demandKey names a row of demand.
type demandKey struct {
	item      Key
	workspace string
}

// Forecaster joins the demand that all entries announce and extends rising
// rates. One goroutine uses it.
type Forecaster struct {
	rows map[string]map[demandKey]seenRow
	slow map[Key]float64
	last map[Key]time.Duration
	at   time.Duration
}

type seenRow struct {
	row *aubwire.ModelDemand
	at  time.Duration
}

// NewForecaster returns a forecaster that saw nothing.
func NewForecaster() *Forecaster {
	return &Forecaster{
		rows: make(map[string]map[demandKey]seenRow),
		slow: make(map[Key]float64),
		last: make(map[Key]time.Duration),
	}
}

// Observe takes in what the members announce and returns the whole demand.
func (f *Forecaster) Observe(now time.Duration, v aubmembership.View) Demand {
	for _, m := range v.Members() {
		f.observe(now, m.Announcement)
	}
	d := f.join(now)
	f.trend(now, d)
	f.at = now
	return d
}

// observe replaces an entry's rows. A row that is not announced any more counts
// as gone, unless the announcement is full and may have left it out.
func (f *Forecaster) observe(now time.Duration, a *aubwire.Announcement) {
	if a.GetRole() == aubwire.Role_ROLE_AGENT {
		return
	}
	rows := f.rows[a.GetName()]
	if rows == nil || len(a.GetDemand()) < aubmembership.MaxDemandRows {
		rows = make(map[demandKey]seenRow, len(a.GetDemand()))
		f.rows[a.GetName()] = rows
	}
	for _, row := range a.GetDemand() {
		rows[keyOf(row)] = seenRow{row: row, at: now}
	}
}

// join adds up the rows that were seen lately.
func (f *Forecaster) join(now time.Duration) Demand {
	d := Demand{Items: make(map[Key]ItemDemand), Late: make(map[string]float64)}
	rates := make(map[string]float64)
	for _, rows := range f.rows {
		for key, seen := range rows {
			if now-seen.at > rowMemory {
				delete(rows, key)
				continue
			}
			d.Items[key.item] = d.Items[key.item].with(key.workspace, seen.row)
			d.Late[key.workspace] += seen.row.GetRate() * seen.row.GetLate()
			rates[key.workspace] += seen.row.GetRate()
		}
	}
	for workspace, rate := range rates {
		if rate > 0 {
			d.Late[workspace] /= rate
		}
	}
	return d
}

// with returns the demand with one more row.
func (d ItemDemand) with(workspace string, row *aubwire.ModelDemand) ItemDemand {
	rates := make(map[string]float64, len(d.Rate)+1)
	for w, rate := range d.Rate {
		rates[w] = rate
	}
	before := d.total()
	rates[workspace] += row.GetRate()
	seconds := row.GetServiceSeconds()
	if seconds <= 0 {
		seconds = defaultServiceSeconds
	}
	if sum := before + row.GetRate(); sum > 0 {
		d.ServiceSeconds = (d.ServiceSeconds*before + seconds*row.GetRate()) / sum
	}
	d.Rate = rates
	d.Waiting += int(row.GetWaiting())
	d.Forecast = 1
	return d
}

// trend extends the rates that rise and notes when each item was last called.
func (f *Forecaster) trend(now time.Duration, d Demand) {
	share := 1 - math.Exp(-(now-f.at).Seconds()/trendWindow.Seconds())
	for key := range f.slow {
		if _, ok := d.Items[key]; !ok {
			f.slow[key] *= 1 - share
		}
	}
	for key, demand := range d.Items {
		rate := demand.total()
		f.slow[key] += share * (rate - f.slow[key])
		demand.Forecast = forecast(rate, f.slow[key])
		if rate >= idleRate || demand.Waiting > 0 {
			f.last[key] = now
		}
		d.Items[key] = demand
	}
	for key, last := range f.last {
		demand := d.Items[key]
		demand.LastArrival = last
		d.Items[key] = demand
	}
}

// forecast is the ratio of the rate at the horizon to the present one.
func forecast(rate, slow float64) float64 {
	if rate <= slow {
		return 1
	}
	rise := (rate - slow) / trendWindow.Seconds()
	return 1 + rise*trendHorizon.Seconds()/rate
}

func keyOf(row *aubwire.ModelDemand) demandKey {
	return demandKey{item: Key{Name: row.GetName(), Adapter: row.GetAdapter()}, workspace: row.GetWorkspace()}
}

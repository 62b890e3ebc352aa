package aubplacement

import (
	"math"
	"time"

	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// trendWindow is the time constant of the smoothed rate that the current rate is
	// compared with.
	trendWindow = time.Minute
	// trendHorizon is how far ahead a rising rate is extrapolated.
	trendHorizon = 30 * time.Second
	// defaultServiceSeconds is the service time assumed until one was measured.
	defaultServiceSeconds = 1.0
	// minActiveRate is the rate, in requests per second, below which an item counts as
	// unused.
	minActiveRate = 0.01
	// demandRowTTL is how long a demand row counts after it was last announced.
	demandRowTTL = 10 * time.Second
)

// demandKey identifies a demand row.
type demandKey struct {
	item      Key
	workspace string
}

// Forecaster adds up the demand that all entries announce and extrapolates rising
// rates. It is not safe for concurrent use.
type Forecaster struct {
	rowsByEntry   map[string]map[demandKey]observedRow
	smoothedRates map[Key]float64
	lastArrivals  map[Key]time.Duration
	observedAt    time.Duration
}

// observedRow is a demand row and when it was last announced.
type observedRow struct {
	row        *aubwire.ModelDemand
	observedAt time.Duration
}

// NewForecaster returns a forecaster without observations.
func NewForecaster() *Forecaster {
	return &Forecaster{
		rowsByEntry:   make(map[string]map[demandKey]observedRow),
		smoothedRates: make(map[Key]float64),
		lastArrivals:  make(map[Key]time.Duration),
	}
}

// Observe records the demand that the members announce and returns the total.
func (f *Forecaster) Observe(now time.Duration, v aubmembership.View) Demand {
	for _, m := range v.Members() {
		f.replaceRows(now, m.Announcement)
	}
	d := f.sumRows(now)
	f.extrapolate(now, d)
	f.observedAt = now
	return d
}

// replaceRows replaces an entry's rows. A row that is no longer announced is dropped,
// unless the announcement has the maximum number of rows and may have omitted it.
func (f *Forecaster) replaceRows(now time.Duration, a *aubwire.Announcement) {
	if a.GetRole() == aubwire.Role_ROLE_AGENT {
		return
	}
	rows := f.rowsByEntry[a.GetName()]
	if rows == nil || len(a.GetDemand()) < aubmembership.MaxDemandRows {
		rows = make(map[demandKey]observedRow, len(a.GetDemand()))
		f.rowsByEntry[a.GetName()] = rows
	}
	for _, row := range a.GetDemand() {
		rows[demandKeyOf(row)] = observedRow{row: row, observedAt: now}
	}
}

// sumRows adds up the rows that have not expired.
func (f *Forecaster) sumRows(now time.Duration) Demand {
	d := Demand{Items: make(map[Key]ItemDemand), LateShare: make(map[string]float64)}
	rates := make(map[string]float64)
	for _, rows := range f.rowsByEntry {
		for key, observed := range rows {
			if now-observed.observedAt > demandRowTTL {
				delete(rows, key)
				continue
			}
			d.Items[key.item] = d.Items[key.item].withRow(key.workspace, observed.row)
			d.LateShare[key.workspace] += observed.row.GetRate() * observed.row.GetLate()
			rates[key.workspace] += observed.row.GetRate()
		}
	}
	for workspace, rate := range rates {
		if rate > 0 {
			d.LateShare[workspace] /= rate
		}
	}
	return d
}

// withRow returns the demand with one row added.
func (d ItemDemand) withRow(workspace string, row *aubwire.ModelDemand) ItemDemand {
	rates := make(map[string]float64, len(d.Rate)+1)
	for w, rate := range d.Rate {
		rates[w] = rate
	}
	previousRate := d.totalRate()
	rates[workspace] += row.GetRate()
	seconds := row.GetServiceSeconds()
	if seconds <= 0 {
		seconds = defaultServiceSeconds
	}
	if sum := previousRate + row.GetRate(); sum > 0 {
		d.ServiceSeconds = (d.ServiceSeconds*previousRate + seconds*row.GetRate()) / sum
	}
	d.Rate = rates
	d.Waiting += int(row.GetWaiting())
	d.Forecast = 1
	return d
}

// extrapolate forecasts rising rates and records when each item was last requested.
func (f *Forecaster) extrapolate(now time.Duration, d Demand) {
	smoothing := 1 - math.Exp(-(now-f.observedAt).Seconds()/trendWindow.Seconds())
	for key := range f.smoothedRates {
		if _, ok := d.Items[key]; !ok {
			f.smoothedRates[key] *= 1 - smoothing
		}
	}
	for key, demand := range d.Items {
		rate := demand.totalRate()
		f.smoothedRates[key] += smoothing * (rate - f.smoothedRates[key])
		demand.Forecast = forecastRatio(rate, f.smoothedRates[key])
		if rate >= minActiveRate || demand.Waiting > 0 {
			f.lastArrivals[key] = now
		}
		d.Items[key] = demand
	}
	for key, last := range f.lastArrivals {
		demand := d.Items[key]
		demand.LastArrival = last
		d.Items[key] = demand
	}
}

// forecastRatio returns the ratio of the rate expected at trendHorizon to the current
// rate.
func forecastRatio(rate, smoothed float64) float64 {
	if rate <= smoothed {
		return 1
	}
	rise := (rate - smoothed) / trendWindow.Seconds()
	return 1 + rise*trendHorizon.Seconds()/rate
}

func demandKeyOf(row *aubwire.ModelDemand) demandKey {
	return demandKey{item: Key{Name: row.GetName(), Adapter: row.GetAdapter()}, workspace: row.GetWorkspace()}
}

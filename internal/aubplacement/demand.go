package aubplacement

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// DefaultDemandRows bounds the rows of demand that an entry announces.
	DefaultDemandRows = 24
	// rateWindow is the time constant of the measured rates.
	rateWindow = 5 * time.Second
	// idleRate is the rate below which a row is forgotten, requests a second.
	idleRate = 0.01
	// answerShare is the weight of the newest answer in the smoothed values.
	answerShare = 0.1
)

// demandKey names a row of demand.
type demandKey struct {
	item      Key
	workspace string
}

type demandRow struct {
	arrivals int
	rate     float64
	waiting  int
	late     float64
	seconds  float64
	answers  int
}

// DemandMeter counts what the callers of one entry ask for. Its methods may be
// called concurrently; mu guards all fields.
type DemandMeter struct {
	common aubcommon.Common

	mu       sync.Mutex
	rows     map[demandKey]*demandRow
	measured time.Time
}

// NewDemandMeter returns a meter without counts.
func NewDemandMeter(common aubcommon.Common) *DemandMeter {
	return &DemandMeter{
		common:   common,
		rows:     make(map[demandKey]*demandRow),
		measured: common.Timer.Now(),
	}
}

// Arrived counts a request.
func (m *DemandMeter) Arrived(item Key, workspace string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.row(item, workspace).arrivals++
}

// Waiting counts a caller that begins to wait for a load; the returned function
// ends the wait and may be called more than once.
func (m *DemandMeter) Waiting(item Key, workspace string) (done func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row := m.row(item, workspace)
	row.waiting++
	return sync.OnceFunc(func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		row.waiting--
	})
}

// Answered counts an answer: whether its first token missed the target, and how
// long the request occupied a backend server.
func (m *DemandMeter) Answered(item Key, workspace string, late bool, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row := m.row(item, workspace)
	missed := 0.0
	if late {
		missed = 1
	}
	if row.answers == 0 {
		row.late, row.seconds = missed, d.Seconds()
	}
	row.answers++
	row.late += answerShare * (missed - row.late)
	row.seconds += answerShare * (d.Seconds() - row.seconds)
}

// Rows returns up to limit rows, those with waiting callers first and then by rate.
func (m *DemandMeter) Rows(limit int) []*aubwire.ModelDemand {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.measure(m.common.Timer.Now())
	rows := make([]*aubwire.ModelDemand, 0, len(m.rows))
	for key, row := range m.rows {
		rows = append(rows, &aubwire.ModelDemand{
			Name: key.item.Name, Adapter: key.item.Adapter, Workspace: key.workspace,
			Rate: row.rate, Waiting: int32(min(row.waiting, math.MaxInt32)),
			Late: row.late, ServiceSeconds: row.seconds,
		})
	}
	slices.SortFunc(rows, func(a, b *aubwire.ModelDemand) int {
		return cmp.Or(
			cmp.Compare(b.GetWaiting(), a.GetWaiting()),
			cmp.Compare(b.GetRate(), a.GetRate()),
			cmp.Compare(a.GetName(), b.GetName()),
			cmp.Compare(a.GetWorkspace(), b.GetWorkspace()),
		)
	})
	return rows[:min(limit, len(rows))]
}

// measure turns the arrivals since the last call into rates.
func (m *DemandMeter) measure(now time.Time) {
	elapsed := now.Sub(m.measured).Seconds()
	if elapsed <= 0 {
		return
	}
	m.measured = now
	share := 1 - math.Exp(-elapsed/rateWindow.Seconds())
	for key, row := range m.rows {
		row.rate += share * (float64(row.arrivals)/elapsed - row.rate)
		row.arrivals = 0
		if row.rate < idleRate && row.waiting == 0 {
			delete(m.rows, key)
		}
	}
}

func (m *DemandMeter) row(item Key, workspace string) *demandRow {
	key := demandKey{item: item, workspace: workspace}
	row := m.rows[key]
	if row == nil {
		row = &demandRow{}
		m.rows[key] = row
	}
	return row
}

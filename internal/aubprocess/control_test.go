package aubprocess

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aublimit"
	"github.com/auburndale/auburndale/internal/aubstate"
	"github.com/auburndale/auburndale/internal/aubstate/aubcodec"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// immediateProposer applies commands to one table immediately, without a log.
type immediateProposer struct {
	table aubcontrol.Table
	index uint64
}

func (p *immediateProposer) Apply(_ context.Context, _ string, body []byte) (aubcontrol.Result, error) {
	p.index++
	return aubcontrol.Result{Index: p.index, Body: p.table.Apply(aubcontrol.Command{Index: p.index, Body: body})}, nil
}

// tableSource is a configuration source that is always confirmed.
type tableSource struct{ *aubstate.ConfigTable }

func (tableSource) ConfirmedAt() time.Time { return time.Now() }

// reserveTokens reserves a token of the workspace w on one instance, so that the table
// has a grant to refresh.
func reserveTokens(t *testing.T, limits *aublimit.Table, config *aubstate.ConfigTable) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	limiter := aublimit.NewLimiter(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aublimit.LimiterOpts{
		Instance: "entry", Zone: "a", Incarnation: 1, PredecessorTerminated: true,
		Proposer: &immediateProposer{table: limits}, Source: tableSource{config},
	})
	_, err := limiter.Reserve(ctx, "w", 1)
	qt.Assert(t, err, qt.IsNil)
}

// applyRateTicket applies a ticket that sets the rate of the workspace w.
func applyRateTicket(t *testing.T, table aubcontrol.Table, number uint64, rate int64) {
	ticket := aubapi.Ticket{Number: number, Workspaces: []aubapi.Workspace{{Name: "w", Rate: rate, Burst: 1000}}}
	body, err := aubcodec.EncodeTicket(ticket)
	qt.Assert(t, err, qt.IsNil)
	table.Apply(aubcontrol.Command{Index: number + 100, Clock: time.Duration(number) * time.Second, Body: body})
}

// TestLimitsSeeEveryChange applies tickets that change a limit and change it back, and
// checks that the limits table reads the value in between.
func TestLimitsSeeEveryChange(t *testing.T) {
	config := aubstate.NewConfigTable(aubcommon.NewCommon(aubtimer.NewReal()))
	// The limiter's goroutine applies commands concurrently.
	var mu sync.Mutex
	var readRates []int64
	limits := aublimit.NewTable(aublimit.TableOpts{Workspaces: func(name string) (aubapi.Workspace, bool) {
		w, ok := config.Config().Workspace(name)
		mu.Lock()
		defer mu.Unlock()
		readRates = append(readRates, w.Rate)
		return w, ok
	}})
	table := &refreshingTable{ConfigTable: config, limits: limits}
	applyRateTicket(t, config, 1, 100)
	reserveTokens(t, limits, config)
	mu.Lock()
	readRates = nil
	mu.Unlock()
	for i, rate := range []int64{100, 500, 100} {
		applyRateTicket(t, table, uint64(i+2), rate)
	}
	mu.Lock()
	defer mu.Unlock()
	qt.Check(t, readRates[len(readRates)-1], qt.Equals, int64(100))
	qt.Check(t, slices.Contains(readRates, 500), qt.IsTrue, qt.Commentf("the limits table did not read the rate in between: %v", readRates))
}

package aubstate_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubstate/aubcodec"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// operation is a ticket for two workspaces, or a confirmed read of the version.
type operation struct {
	read   bool
	number uint64
	rate   int64
	names  [2]string
}

// response is what the operator received. It is unknown when the request or the
// response was lost.
type response struct {
	unknown bool
	status  aubapi.TicketStatus
	version uint64
}

// modelState is a sequential model of the rules for tickets that set workspaces.
type modelState struct {
	version uint64
	decided map[uint64]decidedTicket
	last    map[string]uint64
}

// decidedTicket is the content of the first ticket with a number and its response.
type decidedTicket struct {
	rate     int64
	names    [2]string
	response response
}

func (s modelState) clone() modelState {
	next := modelState{version: s.version, decided: make(map[uint64]decidedTicket), last: make(map[string]uint64)}
	for k, v := range s.decided {
		next.decided[k] = v
	}
	for k, v := range s.last {
		next.last[k] = v
	}
	return next
}

// step returns the response to the operation and the state after it.
func (s modelState) step(op operation) (response, modelState) {
	if op.read {
		return response{version: s.version}, s
	}
	if first, ok := s.decided[op.number]; ok {
		if first.rate == op.rate && first.names == op.names {
			return first.response, s
		}
		return response{status: aubapi.TicketConflict}, s
	}
	next := s.clone()
	resp := response{status: aubapi.TicketAccepted, version: s.version + 1}
	if op.number <= s.last[op.names[0]] || op.number <= s.last[op.names[1]] {
		resp = response{status: aubapi.TicketSuperseded}
	} else {
		next.version++
		next.last[op.names[0]] = op.number
		next.last[op.names[1]] = op.number
	}
	next.decided[op.number] = decidedTicket{rate: op.rate, names: op.names, response: resp}
	return resp, next
}

func ticketModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return modelState{} },
		Step: func(state, input, output any) (bool, any) {
			s, _ := state.(modelState)
			op, _ := input.(operation)
			got, _ := output.(response)
			want, next := s.step(op)
			return got.unknown || got == want, next
		},
		Equal: func(a, b any) bool { return reflect.DeepEqual(a, b) },
		DescribeOperation: func(input, output any) string {
			return fmt.Sprintf("%+v -> %+v", input, output)
		},
	}
}

func ticketOf(op operation) aubapi.Ticket {
	ticket := aubapi.Ticket{Number: op.number}
	for _, name := range op.names {
		ticket.Workspaces = append(ticket.Workspaces, aubapi.Workspace{Name: name, Rate: op.rate, Burst: 1})
	}
	return ticket
}

// Operators concurrently send tickets with equal numbers to different replicas, lose
// responses, resend the ticket to another replica and read in between, while replicas
// restart from their snapshots. Every history must be linearizable under modelState.
func TestConcurrentTicketsAreLinearizable(t *testing.T) {
	const (
		operators = 5
		rounds    = 12
		replicas  = 3
	)
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			log := newOrderedLog(replicas)
			var mu sync.Mutex
			var history []porcupine.Operation
			start := time.Now()
			record := func(client int, op operation, run func() response) {
				call := time.Since(start).Nanoseconds()
				resp := run()
				end := time.Since(start).Nanoseconds()
				if resp.unknown {
					// A lost request may take effect at any later time.
					end = int64(time.Hour)
				}
				mu.Lock()
				defer mu.Unlock()
				history = append(history, porcupine.Operation{ClientId: client, Input: op, Call: call, Output: resp, Return: end})
			}
			var wg sync.WaitGroup
			for client := range operators {
				wg.Go(func() {
					random := rand.New(rand.NewPCG(seed, uint64(client)))
					for round := range rounds {
						runOperation(t, log, random, client, round, record)
					}
				})
			}
			wg.Wait()
			result := porcupine.CheckOperationsTimeout(ticketModel(), history, 60*time.Second)
			qt.Assert(t, result, qt.Equals, porcupine.Ok)
		})
	}
}

func runOperation(
	t *testing.T, log *orderedLog, random *rand.Rand, client, round int, record func(int, operation, func() response),
) {
	replica := random.IntN(len(log.replicas))
	if random.IntN(6) == 0 {
		qt.Check(t, log.restartFromSnapshot(replica), qt.IsNil)
	}
	if random.IntN(4) == 0 {
		record(client, operation{read: true}, func() response { return response{version: log.confirmedVersion(replica)} })
		return
	}
	names := []string{"a", "b", "c"}
	i := random.IntN(len(names))
	op := operation{
		number: uint64(round + 1 + random.IntN(2)),
		rate:   1 + random.Int64N(2),
		names:  [2]string{names[i], names[(i+1)%len(names)]},
	}
	send := func(replica int) response { return sendTicket(t, log, random, replica, op) }
	for attempt := range 3 {
		done := false
		record(client, op, func() response {
			resp := send((replica + attempt) % len(log.replicas))
			done = !resp.unknown
			return resp
		})
		if done {
			return
		}
	}
}

func sendTicket(t *testing.T, log *orderedLog, random *rand.Rand, replica int, op operation) response {
	body, err := aubcodec.EncodeTicket(ticketOf(op))
	qt.Check(t, err, qt.IsNil)
	if random.IntN(16) == 0 {
		// The request is lost.
		return response{unknown: true}
	}
	outcome, err := aubcodec.DecodeOutcome(log.commit(replica, body))
	qt.Check(t, err, qt.IsNil)
	if random.IntN(4) == 0 {
		// The response is lost.
		return response{unknown: true}
	}
	return response{status: outcome.Status, version: outcome.Version}
}

package aubstate_test

import (
	"runtime"
	"sync"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubstate"
	"github.com/auburndale/auburndale/internal/aubstate/aubcodec"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// asserter holds the methods that testing.TB and rapid.T have in common.
type asserter interface {
	Helper()
	Fatalf(format string, args ...any)
	Error(args ...any)
	Fatal(args ...any)
}

// applyTo applies a ticket to a table.
func applyTo(t asserter, table *aubstate.ConfigTable, ticket aubapi.Ticket) aubapi.TicketOutcome {
	t.Helper()
	body, err := aubcodec.EncodeTicket(ticket)
	if err != nil {
		t.Fatalf("ticket not encoded: %v", err)
	}
	outcome, err := aubcodec.DecodeOutcome(table.Apply(aubcontrol.Command{Body: body}))
	if err != nil {
		t.Fatalf("outcome not decoded: %v", err)
	}
	return outcome
}

// orderedLog is a replicated log: all replicas apply the commands in the same order,
// each when it is next used.
type orderedLog struct {
	mu       sync.Mutex
	commands [][]byte
	replicas []*logReplica
}

// logReplica is one replica of an orderedLog with the results of the applied commands.
type logReplica struct {
	mu      sync.Mutex
	table   *aubstate.ConfigTable
	applied int
	results [][]byte
}

func newOrderedLog(replicas int) *orderedLog {
	l := &orderedLog{}
	for range replicas {
		l.replicas = append(l.replicas, &logReplica{table: newTable()})
	}
	return l
}

// commit appends a command to the log and returns its result on the replica.
func (l *orderedLog) commit(replica int, body []byte) []byte {
	l.mu.Lock()
	l.commands = append(l.commands, body)
	index := len(l.commands)
	l.mu.Unlock()
	runtime.Gosched()
	r := l.replicas[replica]
	r.mu.Lock()
	defer r.mu.Unlock()
	l.catchUp(r, index)
	return r.results[index-1]
}

// confirmedVersion applies all committed commands on the replica and returns its
// configuration version.
func (l *orderedLog) confirmedVersion(replica int) uint64 {
	l.mu.Lock()
	index := len(l.commands)
	l.mu.Unlock()
	r := l.replicas[replica]
	r.mu.Lock()
	defer r.mu.Unlock()
	l.catchUp(r, index)
	return r.table.Config().Version()
}

// catchUp applies the commands up to the index. The caller holds the replica's lock.
func (l *orderedLog) catchUp(r *logReplica, index int) {
	l.mu.Lock()
	missing := l.commands[min(r.applied, index):index]
	l.mu.Unlock()
	for _, body := range missing {
		r.results = append(r.results, r.table.Apply(aubcontrol.Command{Body: body}))
		r.applied++
	}
}

// restartFromSnapshot replaces the replica's table with one restored from its snapshot.
func (l *orderedLog) restartFromSnapshot(replica int) error {
	r := l.replicas[replica]
	r.mu.Lock()
	defer r.mu.Unlock()
	data, err := r.table.Snapshot()
	if err != nil {
		return err
	}
	r.table = newTable()
	return r.table.Restore(data)
}

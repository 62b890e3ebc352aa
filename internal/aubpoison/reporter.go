package aubpoison

import (
	"context"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// Reporter reports crashes of backend servers to the replicated table and gives
// access to the local copy of that table.
type Reporter struct {
	table    *Table
	proposer aubcontrol.Proposer
}

// NewReporter returns a reporter for the local table.
func NewReporter(table *Table, proposer aubcontrol.Proposer) *Reporter {
	return &Reporter{table: table, proposer: proposer}
}

// Crash is one crash of a backend server.
type Crash struct {
	Backend string
	// ID identifies the crash; every entry that observed it uses the same ID.
	ID string
	// Fingerprints are those of the requests in flight on the backend server.
	Fingerprints []string
}

// Report commits one crash. A crash reported more than once is counted once.
func (r *Reporter) Report(ctx context.Context, crash Crash) error {
	body, err := proto.Marshal(&aubwire.PoisonDeath{Backend: crash.Backend, DeathId: crash.ID, Fingerprints: crash.Fingerprints})
	if err != nil {
		return oops.In("poison").Wrapf(err, "encode crash report")
	}
	_, err = r.proposer.Apply(ctx, TableName, body)
	return oops.In("poison").Wrapf(err, "commit crash report of %s", crash.Backend)
}

// Table returns the local table.
func (r *Reporter) Table() *Table { return r.table }

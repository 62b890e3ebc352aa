package aubpoison

import (
	"context"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// Register reports deaths and answers verdicts for one process.
type Register struct {
	table    *Table
	proposer aubcontrol.Proposer
}

// NewRegister returns a register over the local table.
func NewRegister(table *Table, proposer aubcontrol.Proposer) *Register {
	return &Register{table: table, proposer: proposer}
}

// Death is one death of a backend server.
type Death struct {
	Backend string
	// ID names the death; every entry that saw it uses the same one.
	ID string
	// Fingerprints were in flight on the backend server.
	Fingerprints []string
}

// Report commits one death. A death reported twice counts once.
func (r *Register) Report(ctx context.Context, crash Death) error {
	body, err := proto.Marshal(&aubwire.PoisonDeath{Backend: crash.Backend, DeathId: crash.ID, Fingerprints: crash.Fingerprints})
	if err != nil {
		return oops.In("poison").Wrapf(err, "encode death")
	}
	_, err = r.proposer.Apply(ctx, TableName, body)
	return oops.In("poison").Wrapf(err, "commit death of %s", crash.Backend)
}

// Table returns the local table.
func (r *Register) Table() *Table { return r.table }

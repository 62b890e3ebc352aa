package aubsite

import (
	"context"

	"github.com/auburndale/auburndale/internal/aubcontrol"
)

// Configurations commits and reads complete configurations through the replicated log.
type Configurations struct {
	table    *Table
	proposer aubcontrol.Proposer
	reader   aubcontrol.Reader
}

// NewConfigurations returns access to the table of a control replica through its
// proposer and reader.
func NewConfigurations(table *Table, proposer aubcontrol.Proposer, reader aubcontrol.Reader) *Configurations {
	return &Configurations{table: table, proposer: proposer, reader: reader}
}

// Commit proposes a revision and returns once it is committed or was superseded by a
// revision with the same or a higher number. Errors are *InvalidError or those of
// aubcontrol.Proposer.
func (c *Configurations) Commit(ctx context.Context, number uint64, document []byte) error {
	body, err := EncodeCommand(number, document)
	if err != nil {
		return &InvalidError{Reason: "can't be encoded", Err: err}
	}
	_, err = c.proposer.Apply(ctx, TableName, body)
	return err
}

// Newest returns the newest committed document after a linearizable read; it is empty
// before the first commit. Errors are *DocumentError or those of aubcontrol.Reader.
func (c *Configurations) Newest(ctx context.Context) ([]byte, error) {
	if _, err := c.reader.Confirm(ctx); err != nil {
		return nil, err
	}
	revision, _ := c.table.Revision()
	return Document(revision)
}

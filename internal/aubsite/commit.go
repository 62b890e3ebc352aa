package aubsite

import (
	"context"

	"github.com/auburndale/auburndale/internal/aubcontrol"
)

// Configurations commits and reads whole configurations through the replicated log.
type Configurations struct {
	table    *Table
	proposer aubcontrol.Proposer
	reader   aubcontrol.Reader
}

// NewConfigurations returns access to the table of a control replica.
func NewConfigurations(table *Table, proposer aubcontrol.Proposer, reader aubcontrol.Reader) *Configurations {
	return &Configurations{table: table, proposer: proposer, reader: reader}
}

// Commit returns once the document is committed, or a revision with the same or
// a higher number is. Errors are those of aubcontrol.Proposer.
func (c *Configurations) Commit(ctx context.Context, number uint64, document []byte) error {
	body, err := EncodeCommand(number, document)
	if err != nil {
		return &InvalidError{Reason: "can't be encoded", Err: err}
	}
	_, err = c.proposer.Apply(ctx, TableName, body)
	return err
}

// Newest returns the newest committed document, confirmed by the leader after
// the call; it is empty before the first. Errors are those of aubcontrol.Reader.
func (c *Configurations) Newest(ctx context.Context) ([]byte, error) {
	if _, err := c.reader.Confirm(ctx); err != nil {
		return nil, err
	}
	revision, _ := c.table.Revision()
	return revision.GetDocument(), nil
}

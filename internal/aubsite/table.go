package aubsite

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// TableName names the table in the replicated log.
const TableName = "site"

// Results of applying a proposed revision.
var (
	resultAccepted   = []byte{1}
	resultSuperseded = []byte{2}
)

// Table is the replicated table of the configuration. It holds the document with the
// highest revision number and ignores revisions that are not above it.
//
// Lock order: mu is a leaf lock.
type Table struct {
	mu       sync.Mutex
	revision *aubwire.SiteRevision
	changed  chan struct{}
}

var _ aubcontrol.Table = (*Table)(nil)

// NewTable returns a table without a revision.
func NewTable() *Table {
	return &Table{revision: &aubwire.SiteRevision{}, changed: make(chan struct{})}
}

// EncodeCommand encodes the command that proposes a revision.
func EncodeCommand(number uint64, document []byte) ([]byte, error) {
	revision, err := NewRevision(number, document)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(revision)
}

// Name implements aubcontrol.Table.
func (t *Table) Name() string { return TableName }

// Apply implements aubcontrol.Table.
func (t *Table) Apply(cmd aubcontrol.Command) []byte {
	next := &aubwire.SiteRevision{}
	if err := proto.Unmarshal(cmd.Body, next); err != nil {
		return resultSuperseded
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if next.GetNumber() <= t.revision.GetNumber() {
		return resultSuperseded
	}
	t.setRevision(next)
	return resultAccepted
}

// Revision returns the current revision and a channel that is closed when it changes.
func (t *Table) Revision() (*aubwire.SiteRevision, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision, t.changed
}

// Snapshot implements aubcontrol.Table.
func (t *Table) Snapshot() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return proto.Marshal(t.revision)
}

// Restore implements aubcontrol.Table.
func (t *Table) Restore(data []byte) error {
	revision := &aubwire.SiteRevision{}
	if err := proto.Unmarshal(data, revision); err != nil {
		return &SnapshotError{Err: err}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setRevision(revision)
	return nil
}

// setRevision replaces the revision and notifies waiters; the caller holds mu.
func (t *Table) setRevision(revision *aubwire.SiteRevision) {
	t.revision = revision
	close(t.changed)
	t.changed = make(chan struct{})
}

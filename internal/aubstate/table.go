// Package aubstate implements the replicated table of the configuration. The write
// side is in aubcommand, the read side in aubquery.
package aubstate

import (
	"sync"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubstate/aubcodec"
	"github.com/auburndale/auburndale/internal/aubstate/aubcommand"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// TableName is the name of the configuration table in the replicated log.
const TableName = "config"

// maxRetainedChanges is the maximum number of changes retained to bring followers up to
// date; the older half is dropped when it is reached. A follower that is further behind
// gets the complete configuration.
const maxRetainedChanges = 1024

// ConfigTable is the replicated table of the configuration. Its lock is never held
// while another lock is taken.
type ConfigTable struct {
	common aubcommon.Common

	mu    sync.RWMutex
	state *aubcommand.State
	// changes holds the newest changes up to the current version, without gaps.
	changes []aubquery.Change
	// changed is closed and replaced when the configuration changes.
	changed chan struct{}
}

var _ aubcontrol.Table = (*ConfigTable)(nil)

// NewConfigTable returns the table with an empty configuration.
func NewConfigTable(common aubcommon.Common) *ConfigTable {
	return &ConfigTable{
		common:  common.WithPart("config"),
		state:   aubcommand.NewState(aubcommand.MaxRecords),
		changed: make(chan struct{}),
	}
}

// Name implements aubcontrol.Table.
func (t *ConfigTable) Name() string { return TableName }

// Apply implements aubcontrol.Table. The result is an encoded outcome.
func (t *ConfigTable) Apply(cmd aubcontrol.Command) []byte {
	outcome := t.execute(cmd.Body)
	body, err := aubcodec.EncodeOutcome(outcome)
	if err != nil {
		// Unreachable: protobuf refuses to encode only strings that are not UTF-8, and
		// the decoders of tickets reject those.
		t.common.Log.Error("Ticket outcome can't be encoded.", zap.Uint64("ticket", outcome.Number), zap.Error(err))
	}
	return body
}

func (t *ConfigTable) execute(body []byte) aubapi.TicketOutcome {
	ticket, err := aubcodec.DecodeTicket(body)
	if err != nil {
		return aubapi.TicketOutcome{
			Status: aubapi.TicketInvalid,
			Faults: []aubapi.Fault{{Reason: "the command is not a ticket"}},
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	outcome, change, accepted := t.state.Execute(ticket)
	if accepted {
		t.retainChange(change)
		t.notify()
	}
	return outcome
}

func (t *ConfigTable) retainChange(change aubquery.Change) {
	if len(t.changes) >= maxRetainedChanges {
		t.changes = append(t.changes[:0:0], t.changes[len(t.changes)-maxRetainedChanges/2:]...)
	}
	t.changes = append(t.changes, change)
}

func (t *ConfigTable) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Snapshot implements aubcontrol.Table.
func (t *ConfigTable) Snapshot() ([]byte, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.state.Snapshot()
}

// Restore implements aubcontrol.Table.
func (t *ConfigTable) Restore(data []byte) error {
	state, err := aubcommand.RestoreState(aubcommand.MaxRecords, data)
	if err != nil {
		return &SnapshotError{Err: err}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = state
	t.changes = nil
	t.notify()
	return nil
}

// Config returns the configuration at the last log index that the replica applied.
func (t *ConfigTable) Config() aubquery.Config {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.state.Config()
}

// Changed returns a channel that is closed once the configuration is newer than the
// version.
func (t *ConfigTable) Changed(version uint64) <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.state.Config().Version() > version {
		return closedChannel
	}
	return t.changed
}

// Outcome returns the recorded outcome of the ticket number.
func (t *ConfigTable) Outcome(number uint64) (aubapi.TicketOutcome, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.state.Outcome(number)
}

// Since returns the current configuration and the changes from the version to it. It
// returns false when some of these changes are no longer retained.
func (t *ConfigTable) Since(version uint64) (aubquery.Config, []aubquery.Change, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	cfg := t.state.Config()
	if version >= cfg.Version() {
		return cfg, nil, true
	}
	missing := cfg.Version() - version
	if missing > uint64(len(t.changes)) {
		return cfg, nil, false
	}
	return cfg, append([]aubquery.Change(nil), t.changes[len(t.changes)-int(missing):]...), true
}

var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

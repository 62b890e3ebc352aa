// Package aubstate is the replicated configuration: the table that the
// replicated log drives, over the write side in aubcommand and the read side in
// aubquery.
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

// TableName identifies the configuration in the replicated log.
const TableName = "config"

// maxRetainedChanges bounds the changes kept for those that follow by version.
const maxRetainedChanges = 1024

// ConfigTable is the configuration as a replicated table. It takes one lock and
// calls nothing while it holds it.
type ConfigTable struct {
	common aubcommon.Common

	mu    sync.RWMutex
	state *aubcommand.State
	// changes ends at the current version, without gaps.
	changes []aubquery.Change
	changed chan struct{}
}

var _ aubcontrol.Table = (*ConfigTable)(nil)

// NewConfigTable returns an empty configuration.
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
		// Only text that is not UTF-8 can't be encoded, and no decoder lets it in.
		t.common.Log.Error("Outcome not encoded.", zap.Uint64("ticket", outcome.Number), zap.Error(err))
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

// Config returns the configuration at the replica's position in the log.
func (t *ConfigTable) Config() aubquery.Config {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.state.Config()
}

// Changed returns a channel that is closed once the version is above the given one.
func (t *ConfigTable) Changed(version uint64) <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.state.Config().Version() > version {
		return closedChannel
	}
	return t.changed
}

// Outcome returns the kept outcome of the ticket number.
func (t *ConfigTable) Outcome(number uint64) (aubapi.TicketOutcome, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.state.Outcome(number)
}

// Since returns the current configuration and the changes that lead to it from
// the version. It returns false when they are no longer kept.
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

package aubcontrol

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// Machine is the replicated state machine: it passes each committed command to
// its table and keeps the replicated clock and the outcomes of recent commands.
//
// Lock order: mu is taken alone; tables lock themselves and are never called
// under mu.
type Machine struct {
	tables     map[string]Table
	tableOrder []Table
	recent     *recentCommands

	mu           sync.Mutex
	clock        replicatedClock
	appliedIndex uint64
}

// NewMachine returns a machine with the tables; their names must differ.
func NewMachine(tables []Table) (*Machine, error) {
	m := &Machine{tables: make(map[string]Table, len(tables)), recent: newRecentCommands()}
	for _, t := range tables {
		if _, ok := m.tables[t.Name()]; ok {
			return nil, &TableError{Table: t.Name(), Reason: "registered twice"}
		}
		m.tables[t.Name()] = t
		m.tableOrder = append(m.tableOrder, t)
	}
	return m, nil
}

// Apply executes one committed entry and returns its encoded CommandResult. A
// command with the id of a recent one returns the recorded result instead of
// being executed again. The result of a rejected command has no command id.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	env := &aubwire.Envelope{}
	if err := proto.Unmarshal(data, env); err != nil {
		return encodeResult(&aubwire.CommandResult{Index: index})
	}
	clock := m.advanceClock(index, env.GetClockMs())
	m.recent.trim(clock)
	if recorded, ok := m.recent.find(env.GetCommandId()); ok {
		return encodeResult(recorded)
	}
	if m.recent.mustReject(env, clock) {
		return encodeResult(&aubwire.CommandResult{Index: index, ClockMs: clock.Milliseconds()})
	}
	result := &aubwire.CommandResult{
		CommandId: env.GetCommandId(),
		IssuedMs:  env.GetIssuedMs(),
		Index:     index,
		ClockMs:   clock.Milliseconds(),
		Result:    m.dispatch(index, clock, env),
	}
	m.recent.add(result)
	return encodeResult(result)
}

func (m *Machine) dispatch(index uint64, clock time.Duration, env *aubwire.Envelope) []byte {
	table, ok := m.tables[env.GetTable()]
	if !ok {
		return nil
	}
	return table.Apply(Command{Index: index, Clock: clock, Body: env.GetBody()})
}

// advanceClock advances the clock and the applied index and returns the
// command's clock.
func (m *Machine) advanceClock(index uint64, stampMs int64) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.appliedIndex = index
	return m.clock.apply(time.Duration(stampMs) * time.Millisecond)
}

// Elected starts the clock of a new leader: it continues from the last applied
// value by the leader's monotonic time since its election.
func (m *Machine) Elected(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clock.elected(at)
}

// Stamp returns the clock for a command that the leader proposes now.
func (m *Machine) Stamp(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock.stamp(now)
}

// Clock returns the clock of the last applied command.
func (m *Machine) Clock() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock.applied
}

// HasTable reports whether commands for the table can be applied.
func (m *Machine) HasTable(name string) bool {
	_, ok := m.tables[name]
	return ok
}

// Snapshot encodes the whole state as a MachineSnapshot.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	snap := &aubwire.MachineSnapshot{Index: m.appliedIndex, ClockMs: m.clock.applied.Milliseconds()}
	m.mu.Unlock()
	for _, t := range append([]Table{m.recent}, m.tableOrder...) {
		data, err := t.Snapshot()
		if err != nil {
			return nil, &TableError{Table: t.Name(), Reason: "snapshot failed", Err: err}
		}
		snap.Tables = append(snap.Tables, &aubwire.TableSnapshot{Table: t.Name(), Data: data})
	}
	return proto.Marshal(snap)
}

// Restore replaces the whole state with an encoded MachineSnapshot.
func (m *Machine) Restore(data []byte) error {
	snap := &aubwire.MachineSnapshot{}
	if err := proto.Unmarshal(data, snap); err != nil {
		return &TableError{Reason: "snapshot is not readable", Err: err}
	}
	for _, tableSnap := range snap.GetTables() {
		if err := m.restoreTable(tableSnap); err != nil {
			return err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.appliedIndex = snap.GetIndex()
	m.clock = replicatedClock{applied: time.Duration(snap.GetClockMs()) * time.Millisecond}
	return nil
}

func (m *Machine) restoreTable(tableSnap *aubwire.TableSnapshot) error {
	table, ok := m.tables[tableSnap.GetTable()]
	if tableSnap.GetTable() == m.recent.Name() {
		table, ok = m.recent, true
	}
	if !ok {
		return &TableError{Table: tableSnap.GetTable(), Reason: "unknown in this version"}
	}
	if err := table.Restore(tableSnap.GetData()); err != nil {
		return &TableError{Table: tableSnap.GetTable(), Reason: "restore failed", Err: err}
	}
	return nil
}

func encodeResult(r *aubwire.CommandResult) []byte {
	// Marshaling a message without required fields does not fail.
	data, _ := proto.Marshal(r)
	return data
}

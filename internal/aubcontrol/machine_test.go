package aubcontrol_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// journal is a table that records the clock and body of every command.
type journal struct {
	clocks []time.Duration
	data   []byte
}

func (j *journal) Name() string { return "journal" }

func (j *journal) Apply(cmd aubcontrol.Command) []byte {
	j.clocks = append(j.clocks, cmd.Clock)
	j.data = append(j.data, cmd.Body...)
	return append([]byte(nil), j.data...)
}

func (j *journal) Snapshot() ([]byte, error) { return j.data, nil }

func (j *journal) Restore(data []byte) error {
	j.data = append([]byte(nil), data...)
	return nil
}

func apply(t *testing.T, m *aubcontrol.Machine, index uint64, env *aubwire.Envelope) *aubwire.CommandResult {
	t.Helper()
	data, err := proto.Marshal(env)
	qt.Assert(t, err, qt.IsNil)
	result := &aubwire.CommandResult{}
	qt.Assert(t, proto.Unmarshal(m.Apply(index, data), result), qt.IsNil)
	return result
}

func command(id, body string, clockMs, issuedMs int64) *aubwire.Envelope {
	return &aubwire.Envelope{Table: "journal", Body: []byte(body), CommandId: id, ClockMs: clockMs, IssuedMs: issuedMs}
}

func TestMachineAppliesRetriedCommandOnce(t *testing.T) {
	m, err := aubcontrol.NewMachine([]aubcontrol.Table{&journal{}})
	qt.Assert(t, err, qt.IsNil)
	first := apply(t, m, 1, command("a", "x", 10, 10))
	apply(t, m, 2, command("b", "y", 20, 20))
	snap, err := m.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	restored, err := aubcontrol.NewMachine([]aubcontrol.Table{&journal{}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, restored.Restore(snap), qt.IsNil)

	for _, replica := range []*aubcontrol.Machine{m, restored} {
		retried := apply(t, replica, 3, command("a", "x", 30, 10))
		qt.Assert(t, retried.GetIndex(), qt.Equals, first.GetIndex())
		qt.Assert(t, string(retried.GetResult()), qt.Equals, "x")
		last := apply(t, replica, 4, command("c", "z", 40, 40))
		qt.Assert(t, string(last.GetResult()), qt.Equals, "xyz")
	}
}

func TestMachineRefusesExpiredCommand(t *testing.T) {
	m, err := aubcontrol.NewMachine([]aubcontrol.Table{&journal{}})
	qt.Assert(t, err, qt.IsNil)
	apply(t, m, 1, command("a", "x", 10, 10))
	apply(t, m, 2, command("b", "y", 200_000, 200_000))
	expired := apply(t, m, 3, command("a", "x", 200_001, 10))
	qt.Assert(t, expired.GetCommandId(), qt.Equals, "")
	last := apply(t, m, 4, command("c", "z", 200_002, 200_002))
	qt.Assert(t, string(last.GetResult()), qt.Equals, "xyz")
}

func TestMachineClockIsMonotonicAndNotFasterThanRealTime(t *testing.T) {
	table := &journal{}
	m, err := aubcontrol.NewMachine([]aubcontrol.Table{table})
	qt.Assert(t, err, qt.IsNil)
	apply(t, m, 1, command("a", "x", 5_000, 5_000))
	electedAt := time.Unix(1_000, 0)
	m.Elected(electedAt)
	qt.Assert(t, m.Stamp(electedAt.Add(2*time.Second)), qt.Equals, 7*time.Second)
	apply(t, m, 2, command("b", "x", 4_000, 4_000))
	qt.Assert(t, table.clocks, qt.DeepEquals, []time.Duration{5 * time.Second, 5 * time.Second})
}

func TestMachineBoundsRecentCommandsAndAppliesNothingTwice(t *testing.T) {
	const count = 10_000
	m, err := aubcontrol.NewMachine([]aubcontrol.Table{&counterTable{}})
	qt.Assert(t, err, qt.IsNil)
	newCommand := func(i int64) *aubwire.Envelope {
		return &aubwire.Envelope{Table: "counter", CommandId: fmt.Sprint(i), ClockMs: i, IssuedMs: i}
	}
	for i := int64(1); i <= count; i++ {
		apply(t, m, uint64(i), newCommand(i))
	}
	refused := 0
	for i := int64(1); i <= count; i++ {
		retry := newCommand(i)
		retry.ClockMs = count
		result := apply(t, m, uint64(count+i), retry)
		if result.GetCommandId() == "" {
			refused++
			continue
		}
		qt.Assert(t, result.GetIndex(), qt.Equals, uint64(i))
	}
	qt.Assert(t, refused, qt.Equals, count-8192)
}

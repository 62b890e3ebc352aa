package aubplacement

import (
	"cmp"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// TableName is the name of the placement table in the replicated log.
	TableName = "placement"
	// maxAgents bounds the agents whose floor is stored.
	maxAgents = 20000
)

// Table is the replicated state of placement: the fencing numbers and the floors of
// agents. A fencing number is issued only once. mu guards all fields.
type Table struct {
	mu     sync.Mutex
	fence  uint64
	term   uint64
	agents map[string]*aubwire.AgentFloor
}

var _ aubcontrol.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{agents: make(map[string]*aubwire.AgentFloor)}
}

// Name implements aubcontrol.Table.
func (t *Table) Name() string { return TableName }

// Fence returns the highest fencing number issued.
func (t *Table) Fence() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fence
}

// Apply implements aubcontrol.Table.
func (t *Table) Apply(cmd aubcontrol.Command) []byte {
	c := &aubwire.PlacementCommand{}
	if err := proto.Unmarshal(cmd.Body, c); err != nil {
		return encodeResult(&aubwire.PlacementResult{Refused: true})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch c := c.GetCommand().(type) {
	case *aubwire.PlacementCommand_AcquireFence:
		return encodeResult(t.acquireFence(c.AcquireFence.GetTerm()))
	case *aubwire.PlacementCommand_RegisterAgent:
		return encodeResult(t.registerAgent(c.RegisterAgent))
	}
	return encodeResult(&aubwire.PlacementResult{Refused: true})
}

// acquireFence issues a fencing number to the leader of the term, unless a later term
// has one.
func (t *Table) acquireFence(term uint64) *aubwire.PlacementResult {
	if term < t.term {
		return &aubwire.PlacementResult{Refused: true, Fence: t.fence}
	}
	t.term = term
	t.fence++
	return &aubwire.PlacementResult{Fence: t.fence}
}

// registerAgent gives an agent incarnation its floor: a new fencing number, so that
// every order sent to an earlier incarnation has a lower one. A repeated registration
// returns the same floor.
func (t *Table) registerAgent(r *aubwire.RegisterAgent) *aubwire.PlacementResult {
	registered := t.agents[r.GetName()]
	if registered.GetIncarnation() > r.GetIncarnation() {
		return &aubwire.PlacementResult{Refused: true, Fence: registered.GetFloor()}
	}
	if registered != nil && registered.GetIncarnation() == r.GetIncarnation() {
		return &aubwire.PlacementResult{Fence: registered.GetFloor()}
	}
	t.fence++
	t.agents[r.GetName()] = &aubwire.AgentFloor{
		Name: r.GetName(), Incarnation: r.GetIncarnation(), Floor: t.fence,
	}
	if len(t.agents) > maxAgents {
		t.removeLowestFloor()
	}
	return &aubwire.PlacementResult{Fence: t.fence}
}

// removeLowestFloor removes the agent with the lowest floor.
func (t *Table) removeLowestFloor() {
	var lowest *aubwire.AgentFloor
	for _, a := range t.agents {
		if lowest == nil || a.GetFloor() < lowest.GetFloor() {
			lowest = a
		}
	}
	delete(t.agents, lowest.GetName())
}

// Snapshot implements aubcontrol.Table.
func (t *Table) Snapshot() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &aubwire.PlacementSnapshot{Fence: t.fence, Term: t.term}
	for _, a := range t.agents {
		s.Agents = append(s.Agents, a)
	}
	slices.SortFunc(s.Agents, func(x, y *aubwire.AgentFloor) int { return cmp.Compare(x.GetName(), y.GetName()) })
	return proto.MarshalOptions{Deterministic: true}.Marshal(s)
}

// Restore implements aubcontrol.Table.
func (t *Table) Restore(data []byte) error {
	s := &aubwire.PlacementSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fence = s.GetFence()
	t.term = s.GetTerm()
	t.agents = make(map[string]*aubwire.AgentFloor, len(s.GetAgents()))
	for _, a := range s.GetAgents() {
		t.agents[a.GetName()] = a
	}
	return nil
}

func encodeResult(r *aubwire.PlacementResult) []byte {
	// Marshal of a message without required fields and with valid strings can't fail.
	data, _ := proto.Marshal(r)
	return data
}

package aubcontrol

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// commandLifetime is how long after its issue a command may still be applied.
	commandLifetime = time.Minute
	// recentRetention outlives every resend of a command that can be applied.
	recentRetention = 2 * commandLifetime
	recentTableName = "recent_commands"
)

// recentCommands keeps the outcomes of recent commands by id. It is part of the
// replicated state and used by the applying goroutine only.
type recentCommands struct {
	results []*aubwire.CommandResult
	byID    map[string]*aubwire.CommandResult
}

var _ Table = (*recentCommands)(nil)

func newRecentCommands() *recentCommands {
	return &recentCommands{byID: make(map[string]*aubwire.CommandResult)}
}

// Name implements Table.
func (r *recentCommands) Name() string { return recentTableName }

// Apply implements Table; no command is addressed to it.
func (r *recentCommands) Apply(Command) []byte { return nil }

func (r *recentCommands) find(id string) (*aubwire.CommandResult, bool) {
	result, ok := r.byID[id]
	return result, ok
}

func (r *recentCommands) add(result *aubwire.CommandResult) {
	if result.GetCommandId() == "" {
		return
	}
	r.results = append(r.results, result)
	r.byID[result.GetCommandId()] = result
}

// expire drops what no resend can ask for any more.
func (r *recentCommands) expire(clock time.Duration) {
	oldest := (clock - recentRetention).Milliseconds()
	n := 0
	for n < len(r.results) && r.results[n].GetClockMs() < oldest {
		delete(r.byID, r.results[n].GetCommandId())
		r.results[n] = nil
		n++
	}
	r.results = r.results[n:]
}

// Snapshot implements Table.
func (r *recentCommands) Snapshot() ([]byte, error) {
	return proto.Marshal(&aubwire.CommandResults{Results: r.results})
}

// Restore implements Table.
func (r *recentCommands) Restore(data []byte) error {
	all := &aubwire.CommandResults{}
	if err := proto.Unmarshal(data, all); err != nil {
		return err
	}
	*r = *newRecentCommands()
	for _, result := range all.GetResults() {
		r.add(result)
	}
	return nil
}

// isExpired reports whether a command comes so long after its issue that the
// outcome of an earlier send may be forgotten already.
func isExpired(env *aubwire.Envelope, clock time.Duration) bool {
	return clock-time.Duration(env.GetIssuedMs())*time.Millisecond > commandLifetime
}

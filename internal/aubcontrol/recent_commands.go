package aubcontrol

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// commandLifetime is how long after its issue a command may be applied.
	commandLifetime = time.Minute
	recentTableName = "recent_commands"

	maxRecentCount = 8192
	maxRecentBytes = 2 << 20
)

// recentCommands holds the outcomes of a bounded number of recent commands by
// id. A command issued no later than one whose outcome was dropped is rejected,
// because it may be a retry of that one. recentCommands is part of the
// replicated state and used only by the goroutine that applies commands.
type recentCommands struct {
	results []*aubwire.CommandResult // oldest first
	byID    map[string]*aubwire.CommandResult
	// bytes is the total size of the results' bodies.
	bytes int
	// lastDroppedIssue is the latest issue time of a command whose outcome was
	// dropped, on the replicated clock.
	lastDroppedIssue time.Duration
}

var _ Table = (*recentCommands)(nil)

func newRecentCommands() *recentCommands {
	return &recentCommands{byID: make(map[string]*aubwire.CommandResult)}
}

// Name implements Table.
func (r *recentCommands) Name() string { return recentTableName }

// Apply implements Table; no command is sent to this table.
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
	r.bytes += len(result.GetResult())
}

// trim drops the outcomes of expired commands, and the oldest ones beyond the
// limits.
func (r *recentCommands) trim(clock time.Duration) {
	n := 0
	for ; n < len(r.results); n++ {
		exceedsLimit := len(r.results)-n > maxRecentCount || r.bytes > maxRecentBytes
		if !exceedsLimit && !isExpired(issuedAt(r.results[n]), clock) {
			break
		}
		r.drop(r.results[n])
		r.results[n] = nil
	}
	r.results = r.results[n:]
}

func (r *recentCommands) drop(result *aubwire.CommandResult) {
	delete(r.byID, result.GetCommandId())
	r.bytes -= len(result.GetResult())
	r.lastDroppedIssue = max(r.lastDroppedIssue, issuedAt(result))
}

// mustReject reports whether a command is expired or may be a retry whose
// outcome was dropped.
func (r *recentCommands) mustReject(env *aubwire.Envelope, clock time.Duration) bool {
	issued := issuedAt(env)
	return isExpired(issued, clock) || issued <= r.lastDroppedIssue
}

// Snapshot implements Table.
func (r *recentCommands) Snapshot() ([]byte, error) {
	return proto.Marshal(&aubwire.CommandResults{Results: r.results, ForgottenMs: r.lastDroppedIssue.Milliseconds()})
}

// Restore implements Table.
func (r *recentCommands) Restore(data []byte) error {
	decoded := &aubwire.CommandResults{}
	if err := proto.Unmarshal(data, decoded); err != nil {
		return err
	}
	*r = *newRecentCommands()
	r.lastDroppedIssue = time.Duration(decoded.GetForgottenMs()) * time.Millisecond
	for _, result := range decoded.GetResults() {
		r.add(result)
	}
	return nil
}

func issuedAt(m interface{ GetIssuedMs() int64 }) time.Duration {
	return time.Duration(m.GetIssuedMs()) * time.Millisecond
}

func isExpired(issued, clock time.Duration) bool { return clock-issued > commandLifetime }

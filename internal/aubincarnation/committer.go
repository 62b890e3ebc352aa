package aubincarnation

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// commitTimeout limits one commit. Backend servers try another control process after one second.
const commitTimeout = 800 * time.Millisecond

// CommitterOpts configures a committer.
type CommitterOpts struct {
	Table    *Table
	Proposer aubcontrol.Proposer
	// NamesService reports whether the configuration names a service.
	NamesService func(service string) bool
}

// Committer puts incarnations into the replicated table before what concerns them is acknowledged.
type Committer struct {
	common aubcommon.Common
	opts   CommitterOpts
	// inFlight joins the commits of one statement.
	inFlight singleflight.Group
}

// NewCommitter returns a committer.
func NewCommitter(common aubcommon.Common, opts CommitterOpts) *Committer {
	return &Committer{common: common.WithPart("incarnations"), opts: opts}
}

// Ensure returns once the table holds the incarnation in the state, or one after it. The error is
// *CommitError.
func (c *Committer) Ensure(ctx context.Context, incarnation *aubwire.Incarnation) error {
	if c.opts.Table.Holds(incarnation) {
		return nil
	}
	key := incarnation.GetId() + "\x00" + incarnation.GetService() + "\x00" + strconv.FormatInt(incarnation.GetStartedMs(), 10) + incarnation.GetState().String()
	result := c.inFlight.DoChan(key, func() (any, error) {
		// The commit is shared, so it must not end with the context of the first caller.
		return nil, c.commit(context.WithoutCancel(ctx), incarnation)
	})
	select {
	case committed := <-result:
		return committed.Err
	case <-ctx.Done():
		return &CommitError{ID: incarnation.GetId(), Err: ctx.Err()}
	}
}

func (c *Committer) commit(ctx context.Context, incarnation *aubwire.Incarnation) error {
	ctx, cancel := aubtimer.WithTimeout(ctx, c.common.Timer, commitTimeout)
	defer cancel()
	startedAt := c.common.Timer.Now()
	isHeld, err := c.propose(ctx, incarnation)
	if err != nil || !isHeld {
		c.common.Metrics.Counter("commit_failures").Inc(1)
		return &CommitError{ID: incarnation.GetId(), Err: err}
	}
	records, bytes := c.opts.Table.Size()
	c.common.Metrics.Timer("commit_time").Record(c.common.Timer.Now().Sub(startedAt))
	c.common.Metrics.Gauge("records").Update(float64(records))
	c.common.Metrics.Gauge("bytes").Update(float64(bytes))
	c.common.Log.Info("Incarnation of a backend server committed.",
		zap.String("backend_server", incarnation.GetId()), zap.String("service", incarnation.GetService()),
		zap.Int64("started_ms", incarnation.GetStartedMs()), zap.Int64("sequence", incarnation.GetSequence()),
		zap.Stringer("state", incarnation.GetState()), zap.Int64("commit_ms", c.common.Timer.Now().Sub(startedAt).Milliseconds()))
	return nil
}

// propose proposes the incarnation and reports whether the table has room for it.
func (c *Committer) propose(ctx context.Context, incarnation *aubwire.Incarnation) (bool, error) {
	body, err := proto.Marshal(&aubwire.IncarnationCommand{Incarnation: incarnation, Unlisted: !c.opts.NamesService(incarnation.GetService())})
	if err != nil {
		return false, err
	}
	committed, err := c.opts.Proposer.Apply(ctx, TableName, body)
	if err != nil {
		return false, err
	}
	result := &aubwire.IncarnationResult{}
	if err := proto.Unmarshal(committed.Body, result); err != nil {
		return false, err
	}
	return result.GetHeld(), nil
}

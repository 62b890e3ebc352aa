package aubresume

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// commitTimeout limits one commit. Backend servers try another control process after one
	// second.
	commitTimeout = 800 * time.Millisecond
	// refreshCheckInterval is the time between two looks of the leader for versions to commit.
	refreshCheckInterval = time.Second
)

// CommitterOpts configures a committer.
type CommitterOpts struct {
	Table      *SoftwareTable
	Proposer   aubcontrol.Proposer
	Leadership aubcontrol.Leadership
	// Seen returns the versions that are registered at this or another control process with
	// the ages of their last registrations.
	Seen func() []*aubwire.SoftwareSeen
}

// SoftwareCommitter puts the software versions of registered backend servers into the
// replicated table: new ones before their registration takes effect, known ones every
// refreshInterval while this process leads.
type SoftwareCommitter struct {
	common aubcommon.Common
	opts   CommitterOpts
	// inFlight joins the commits of one version.
	inFlight singleflight.Group
}

// NewSoftwareCommitter returns a committer that refreshes the table until ctx ends.
func NewSoftwareCommitter(ctx context.Context, common aubcommon.Common, opts CommitterOpts) *SoftwareCommitter {
	c := &SoftwareCommitter{common: common.WithPart("software"), opts: opts}
	ticks := common.Timer.Subscribe(ctx, refreshCheckInterval)
	go func() {
		var term uint64
		var committedAt map[softwareKey]time.Time
		for {
			select {
			case <-ticks:
			case <-ctx.Done():
				return
			}
			current, leads := opts.Leadership.Leading()
			if !leads {
				continue
			}
			// The leader before may have failed to commit, so a new one commits everything.
			if current != term || committedAt == nil {
				term, committedAt = current, make(map[softwareKey]time.Time)
			}
			c.refresh(ctx, committedAt)
		}
	}()
	return c
}

// Ensure returns once the table holds the version. It commits a version that the table of this
// process doesn't hold. The error is *CommitError.
func (c *SoftwareCommitter) Ensure(ctx context.Context, service, software string) error {
	if c.opts.Table.Holds(service, software) {
		return nil
	}
	result := c.inFlight.DoChan(service+"\x00"+software, func() (any, error) {
		// The commit is shared, so it must not end with the context of the first caller.
		ctx := context.WithoutCancel(ctx)
		return nil, c.commit(ctx, []*aubwire.SoftwareVersion{{Service: service, Software: software}})
	})
	select {
	case committed := <-result:
		return committed.Err
	case <-ctx.Done():
		return &CommitError{Service: service, Software: software, Err: ctx.Err()}
	}
}

// refresh commits the registered versions that this leader has not committed for
// refreshInterval. Their number is small, so one command holds them all.
func (c *SoftwareCommitter) refresh(ctx context.Context, committedAt map[softwareKey]time.Time) {
	now := c.common.Timer.Now()
	var due []*aubwire.SoftwareVersion
	for _, seen := range c.opts.Seen() {
		key := softwareKey{service: seen.GetService(), software: seen.GetSoftware()}
		at, ok := committedAt[key]
		// A version whose last registration is older than the last commit needs no other.
		isNewer := !ok || now.Sub(at) > time.Duration(seen.GetSeenAgoMs())*time.Millisecond
		if isNewer && (!ok || now.Sub(at) >= refreshInterval) {
			due = append(due, &aubwire.SoftwareVersion{Service: key.service, Software: key.software})
		}
	}
	if len(due) == 0 {
		return
	}
	slices.SortFunc(due, func(a, b *aubwire.SoftwareVersion) int {
		return compareKeys(softwareKey{a.GetService(), a.GetSoftware()}, softwareKey{b.GetService(), b.GetSoftware()})
	})
	if err := c.commit(ctx, due); err != nil {
		c.common.Log.Warn("Software versions not refreshed.", zap.Int("versions", len(due)), zap.Error(err))
		return
	}
	for _, version := range due {
		committedAt[softwareKey{version.GetService(), version.GetSoftware()}] = now
	}
}

// commit commits the versions; the error is a *CommitError of the first that is not held.
func (c *SoftwareCommitter) commit(ctx context.Context, versions []*aubwire.SoftwareVersion) error {
	ctx, cancel := aubtimer.WithTimeout(ctx, c.common.Timer, commitTimeout)
	defer cancel()
	body, err := proto.Marshal(&aubwire.SoftwareCommand{Registered: versions})
	if err != nil {
		return &CommitError{Service: versions[0].GetService(), Software: versions[0].GetSoftware(), Err: err}
	}
	committed, err := c.opts.Proposer.Apply(ctx, SoftwareTableName, body)
	if err != nil {
		return &CommitError{Service: versions[0].GetService(), Software: versions[0].GetSoftware(), Err: err}
	}
	result := &aubwire.SoftwareResult{}
	if err := proto.Unmarshal(committed.Body, result); err != nil {
		return &CommitError{Service: versions[0].GetService(), Software: versions[0].GetSoftware(), Err: err}
	}
	if refused := result.GetRefused(); len(refused) > 0 {
		return &CommitError{Service: refused[0].GetService(), Software: refused[0].GetSoftware()}
	}
	for _, version := range versions {
		c.common.Log.Info("Software version committed.", zap.String("service", version.GetService()), zap.String("software", version.GetSoftware()))
	}
	return nil
}

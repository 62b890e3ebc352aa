package aubdistribution

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

const (
	// startupTimeout is the time that a starting process waits for a confirmed
	// configuration before it publishes an unconfirmed one.
	startupTimeout = 10 * time.Second
	// minReconnectPause and maxReconnectPause limit the random pause before a new
	// connection.
	minReconnectPause = 100 * time.Millisecond
	maxReconnectPause = 500 * time.Millisecond
)

// FollowerOpts are the options of NewFollower.
type FollowerOpts struct {
	// Process is the name of this process.
	Process string
	// Addresses are the servers of the processes that run a replica, in order of
	// preference.
	Addresses []string
	// Dial returns a new connection. Each stream uses its own.
	Dial func(address string) (*grpc.ClientConn, error)
	// DataDir is the directory of the configuration cache; empty disables the cache.
	DataDir string
}

// Follower is the configuration source of a process without a replica. It follows a
// server over a stream.
type Follower struct {
	*publisher

	common aubcommon.Common
	opts   FollowerOpts
}

var _ aubquery.ConfigSource = (*Follower)(nil)

// NewFollower follows the configuration until ctx is done.
func NewFollower(ctx context.Context, common aubcommon.Common, opts FollowerOpts) *Follower {
	common = common.WithPart("distribution")
	f := &Follower{publisher: newPublisher(common, opts.DataDir), common: common, opts: opts}
	expired := common.Timer.After(ctx, startupTimeout)
	go func() {
		select {
		case <-expired:
			f.publishUnconfirmed()
		case <-ctx.Done():
		}
	}()
	go f.run(ctx)
	return f
}

// run keeps one stream open. After each stream that ended it tries the next address.
func (f *Follower) run(ctx context.Context) {
	if len(f.opts.Addresses) == 0 {
		return
	}
	reconnects := f.common.Metrics.Counter("reconnects")
	for i := 0; ctx.Err() == nil; i++ {
		address := f.opts.Addresses[i%len(f.opts.Addresses)]
		err := f.follow(ctx, address)
		if ctx.Err() != nil {
			return
		}
		reconnects.Inc(1)
		f.common.Log.Info("Configuration stream ended.", zap.String("address", address), zap.Error(err))
		pause := minReconnectPause + rand.N(maxReconnectPause-minReconnectPause)
		if aubtimer.Wait(ctx, f.common.Timer, pause) != nil {
			return
		}
	}
}

// follow runs one stream on a new connection: another stream on a connection that
// delivers no data would not receive any either.
func (f *Follower) follow(ctx context.Context, address string) error {
	conn, err := f.opts.Dial(address)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &session{
		common:          f.common,
		publisher:       f.publisher,
		process:         f.opts.Process,
		address:         address,
		hasOtherServers: len(f.opts.Addresses) > 1,
	}
	return s.run(ctx, conn)
}

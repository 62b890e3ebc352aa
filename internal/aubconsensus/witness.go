package aubconsensus

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// namingTimeout limits one attempt to name the first cluster. It covers a round trip to each
// control process of a large site, one after the other.
const namingTimeout = time.Second

// WitnessTransport sends the calls of a witness.
type WitnessTransport interface {
	// Hello requests the identity and membership of the process at the address.
	Hello(ctx context.Context, address string, req *aubwire.HelloRequest) (*aubwire.HelloResponse, error)
	// PromiseCluster requests the promise of the witness at the address.
	PromiseCluster(ctx context.Context, address string, req *aubwire.PromiseClusterRequest) (*aubwire.PromiseClusterResponse, error)
}

// WitnessOpts configures a witness.
type WitnessOpts struct {
	Self Peer
	// Seeds lists the control processes that the settings name.
	Seeds []Peer
	// MayName lets this witness name the first cluster. It must be false at every start
	// but the first one of the system, because a witness forgets its promise when it stops.
	MayName bool
	// Voters is the number of voters of the first cluster.
	Voters    int
	Transport WitnessTransport
	// OnReplica receives the addresses of the replicas that call.
	OnReplica func(address string)
	// Replicas returns the addresses of the known replicas.
	Replicas func() []string
}

// Witness is the part of a control process without a disk in the replicated log. It tells
// replicas each other's addresses. If no seed has a disk, the witness with the lowest name
// among the seeds names the voters of the first cluster, once every seed has promised it
// this cluster.
//
// Lock order: mu is taken alone.
type Witness struct {
	common aubcommon.Common
	opts   WitnessOpts

	// waitsFor is what the log last said that the first cluster waits for. Only the goroutine
	// that names it uses the field.
	waitsFor string

	mu sync.Mutex
	// promised is the only cluster that this witness grants or names; nil before the first
	// promise. It never changes.
	promised *aubwire.Membership
	// isNamed is set once every seed has promised the cluster.
	isNamed bool
}

// NewWitness returns a witness that works until ctx ends.
func NewWitness(ctx context.Context, common aubcommon.Common, opts WitnessOpts) *Witness {
	w := &Witness{common: common.WithPart("witness"), opts: opts}
	if !opts.MayName || !w.isLowestSeed() {
		return w
	}
	ticks := common.Timer.Subscribe(ctx, helloInterval)
	go func() {
		for !w.tryName(ctx) {
			select {
			case <-ticks:
			case <-ctx.Done():
				return
			}
		}
	}()
	return w
}

func (w *Witness) isLowestSeed() bool {
	lowest := w.opts.Self.Name
	isListed := false
	for _, seed := range w.opts.Seeds {
		lowest = min(lowest, seed.Name)
		isListed = isListed || seed.Name == w.opts.Self.Name
	}
	return isListed && lowest == w.opts.Self.Name
}

// Hello returns the known replicas and, once it is named, the first cluster. It adds the
// caller to the known replicas.
func (w *Witness) Hello(req *aubwire.HelloRequest) *aubwire.HelloResponse {
	if req.GetMember().GetDiskId() != "" {
		w.opts.OnReplica(req.GetMember().GetAddress())
	}
	resp := &aubwire.HelloResponse{
		Member:           w.member(),
		WithoutDisk:      true,
		ControlAddresses: w.opts.Replicas(),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isNamed {
		resp.Membership = w.promised
	}
	return resp
}

// PromiseCluster grants the first cluster that is asked for, and refuses all others.
func (w *Witness) PromiseCluster(req *aubwire.PromiseClusterRequest) *aubwire.PromiseClusterResponse {
	if req.GetMembership().GetClusterId() == "" {
		return &aubwire.PromiseClusterResponse{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.promised == nil {
		w.promised = req.GetMembership()
	}
	isGranted := w.promised.GetClusterId() == req.GetMembership().GetClusterId()
	w.isNamed = w.isNamed || isGranted && req.GetNamed()
	return &aubwire.PromiseClusterResponse{Granted: isGranted}
}

func (w *Witness) member() *aubwire.ConsensusMember {
	return &aubwire.ConsensusMember{Name: w.opts.Self.Name, Address: w.opts.Self.Address}
}

// tryName names the first cluster if that is possible, and reports whether it is named or
// a cluster exists.
func (w *Witness) tryName(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, namingTimeout)
	defer cancel()
	if w.promise() == nil {
		voters, exists := w.findVoters(ctx)
		if exists || voters == nil {
			return exists
		}
		w.promiseSelf(&aubwire.Membership{ClusterId: uuid.NewString(), Voters: voters})
	}
	promised := w.promise()
	if !w.collectPromises(ctx, &aubwire.PromiseClusterRequest{Membership: promised}) {
		return false
	}
	w.mu.Lock()
	w.isNamed = true
	w.mu.Unlock()
	w.common.Log.Info("First cluster is named.", zap.String("cluster", promised.GetClusterId()), zap.Int("voters", len(promised.GetVoters())))
	// The other witnesses name the cluster too, so that replicas learn it when this one has
	// stopped. It is named without their acknowledgement.
	w.collectPromises(ctx, &aubwire.PromiseClusterRequest{Membership: promised, Named: true})
	return true
}

func (w *Witness) promise() *aubwire.Membership {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.promised
}

func (w *Witness) promiseSelf(membership *aubwire.Membership) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.promised == nil {
		w.promised = membership
	}
}

// findVoters returns the voters of the first cluster, nil while they can't be determined,
// and whether a cluster exists. The voters are determined only if no seed has a disk and all
// known replicas answer that they hold nothing.
func (w *Witness) findVoters(ctx context.Context) (voters []*aubwire.ConsensusMember, exists bool) {
	replicas := w.opts.Replicas()
	for _, seed := range w.otherSeeds() {
		resp, err := w.hello(ctx, seed.Address)
		switch {
		case err != nil:
			w.logWait("seed "+seed.Address, zap.Error(err))
			return nil, false
		case resp.GetMembership().GetClusterId() != "" || !resp.GetWithoutDisk():
			// A seed with a disk forms the cluster.
			return nil, true
		}
		replicas = append(replicas, resp.GetControlAddresses()...)
	}
	slices.Sort(replicas)
	for _, address := range slices.Compact(replicas) {
		resp, err := w.hello(ctx, address)
		if err != nil || resp.GetWithoutDisk() || resp.GetAfterDamage() || resp.GetMember().GetDiskId() == "" {
			w.logWait("replica "+address, zap.Bool("after_damage", resp.GetAfterDamage()), zap.Error(err))
			return nil, false
		}
		if resp.GetMembership().GetClusterId() != "" {
			return nil, true
		}
		voters = append(voters, resp.GetMember())
	}
	if len(voters) < w.opts.Voters {
		w.logWait("more replicas", zap.Int("replicas", len(voters)), zap.Int("needed", w.opts.Voters))
		return nil, false
	}
	slices.SortFunc(voters, func(a, b *aubwire.ConsensusMember) int { return strings.Compare(a.GetName(), b.GetName()) })
	return voters[:w.opts.Voters], false
}

// collectPromises reports whether all other seeds grant the request.
func (w *Witness) collectPromises(ctx context.Context, req *aubwire.PromiseClusterRequest) bool {
	granted := true
	for _, seed := range w.otherSeeds() {
		resp, err := w.opts.Transport.PromiseCluster(ctx, seed.Address, proto.CloneOf(req))
		if err != nil || !resp.GetGranted() {
			w.logWait("promise of "+seed.Address, zap.Error(err))
			granted = false
		}
	}
	return granted
}

// logWait logs what the first cluster waits for, once until that changes.
func (w *Witness) logWait(reason string, fields ...zap.Field) {
	if w.waitsFor == reason {
		return
	}
	w.waitsFor = reason
	w.common.Log.Info("First cluster waits.", append(fields, zap.String("for", reason))...)
}

func (w *Witness) hello(ctx context.Context, address string) (*aubwire.HelloResponse, error) {
	// Without a cluster id the caller is admitted nowhere.
	return w.opts.Transport.Hello(ctx, address, &aubwire.HelloRequest{Member: w.member()})
}

func (w *Witness) otherSeeds() []Peer {
	return slices.DeleteFunc(slices.Clone(w.opts.Seeds), func(p Peer) bool { return p.Name == w.opts.Self.Name })
}

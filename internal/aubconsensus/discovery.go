package aubconsensus

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// helloResult is a peer's response to Hello, or the zero value if the call
// failed.
type helloResult struct {
	peer Peer
	resp *aubwire.HelloResponse
}

// Hello returns this replica's identity and membership to another replica. The
// leader admits a caller whose disk is not a member as a learner.
func (n *Node) Hello(ctx context.Context, req *aubwire.HelloRequest) (*aubwire.HelloResponse, error) {
	var resp *aubwire.HelloResponse
	err := n.call(ctx, func() { resp = n.handleHello(req) })
	return resp, err
}

func (n *Node) handleHello(req *aubwire.HelloRequest) *aubwire.HelloResponse {
	members := n.log.membership()
	resp := &aubwire.HelloResponse{
		Member:      n.self,
		Membership:  members.wire,
		AfterDamage: n.opts.Disk.AfterDamage(),
	}
	if m, ok := members.member(n.leaderID); ok {
		resp.Leader = m
	}
	// Only a caller that has already adopted this cluster is admitted.
	if n.leadership != nil && req.GetClusterId() == n.clusterID() {
		n.admitLearner(req.GetMember())
	}
	return resp
}

// runDiscovery periodically queries the other replicas while needsDiscovery
// reports true, until the node stops.
func (n *Node) runDiscovery(ctx context.Context) {
	ticks := n.common.Timer.Subscribe(ctx, min(helloInterval, n.opts.ElectionTimeout))
	for {
		if n.needsDiscovery() {
			n.discover(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-n.done:
			return
		case <-ticks:
		}
	}
}

// needsDiscovery reports whether this replica is neither a voter nor a learner,
// or has no contact with a leader. A removed replica is not notified of its
// removal; it only receives no more messages.
func (n *Node) needsDiscovery() bool {
	n.mu.Lock()
	status, contactAt := n.published.status, n.published.leaderContactAt
	n.mu.Unlock()
	isLearner := slices.Contains(status.Learners, n.opts.Self)
	isLeaderUnresponsive := !status.IsLeader && n.now().Sub(contactAt) > 2*n.opts.ElectionTimeout
	return !status.IsVoter && !isLearner || status.Leader.Name == "" || isLeaderUnresponsive
}

// discover sends Hello to the known peers, then to leaders that they name, and
// handles the responses. Replicas that a witness names are queried in the next round.
func (n *Node) discover(ctx context.Context) {
	status := n.Status()
	helloCtx, cancel := context.WithTimeout(ctx, 2*n.opts.ElectionTimeout)
	defer cancel()
	peers := n.helloTargets(status)
	results := n.callHello(helloCtx, peers, status)
	results = append(results, n.callHello(helloCtx, unqueriedLeaders(results, peers), status)...)
	n.updateWitnessed(results)
	// An unresponsive peer may have used up helloCtx; the results are handled
	// under ctx.
	_ = n.call(ctx, func() { n.handleHelloResults(results) })
}

// updateWitnessed stores the replicas that witnesses name. Without an answer of a witness
// the previous ones stay.
func (n *Node) updateWitnessed(results []helloResult) {
	if slices.ContainsFunc(results, func(r helloResult) bool { return r.resp.GetWithoutDisk() }) {
		n.witnessed = n.namedReplicas(results)
	}
}

// namedReplicas returns the other replicas that the responses of witnesses name.
func (n *Node) namedReplicas(results []helloResult) []Peer {
	var replicas []Peer
	for _, result := range results {
		for _, address := range result.resp.GetControlAddresses() {
			p := Peer{Name: address, Address: address}
			if address != n.opts.Self.Address && !slices.Contains(replicas, p) {
				replicas = append(replicas, p)
			}
		}
	}
	return replicas
}

// callHello sends Hello to the peers concurrently.
func (n *Node) callHello(ctx context.Context, peers []Peer, status Status) []helloResult {
	var wg sync.WaitGroup
	results := make([]helloResult, len(peers))
	for i, p := range peers {
		wg.Go(func() {
			req := &aubwire.HelloRequest{Member: n.self, ClusterId: status.ClusterID}
			resp, err := n.opts.Transport.Hello(ctx, p.Address, req)
			if err == nil {
				results[i] = helloResult{peer: p, resp: resp}
			}
		})
	}
	wg.Wait()
	return results
}

// unqueriedLeaders returns the leaders that the results name and that are not
// among the queried peers. Only the leader admits a replica.
func unqueriedLeaders(results []helloResult, queried []Peer) []Peer {
	var leaders []Peer
	for _, result := range results {
		leader := Peer{Name: result.resp.GetLeader().GetName(), Address: result.resp.GetLeader().GetAddress()}
		if leader.Address != "" && !slices.Contains(queried, leader) && !slices.Contains(leaders, leader) {
			leaders = append(leaders, leader)
		}
	}
	return leaders
}

// helloTargets returns the voters of the settings, the known voters, the known leader
// and the replicas that witnesses name, except this replica and without duplicate addresses.
func (n *Node) helloTargets(status Status) []Peer {
	var peers []Peer
	known := map[string]bool{n.opts.Self.Address: true}
	for _, p := range slices.Concat(n.opts.Voters, status.Voters, []Peer{status.Leader}, n.witnessed) {
		if p.Address != "" && !known[p.Address] {
			known[p.Address] = true
			peers = append(peers, p)
		}
	}
	return peers
}

// handleHelloResults adopts the cluster of a peer or forms a new one, if this
// replica has no cluster yet. Otherwise it logs why the replica has no vote.
func (n *Node) handleHelloResults(results []helloResult) {
	if n.clusterID() != "" {
		n.logNoVote(results)
		return
	}
	// A witness knows only the first membership, a replica may know a newer one.
	for _, isWitness := range []bool{false, true} {
		for _, result := range results {
			if result.resp.GetWithoutDisk() == isWitness && result.resp.GetMembership().GetClusterId() != "" {
				n.adoptMembership(result.resp.GetMembership())
				return
			}
		}
	}
	if founders, ok := n.canFormCluster(results); ok {
		n.formCluster(founders)
	}
}

// adoptMembership joins an existing cluster with an empty log. The replica votes
// only if the membership lists its disk as a voter. That is so only for a disk that
// formed the cluster and has acknowledged no entry yet, so its vote is safe.
func (n *Node) adoptMembership(wire *aubwire.Membership) {
	n.common.Log.Info("Membership of an existing cluster adopted.", zap.String("cluster", wire.GetClusterId()))
	n.log.setSnapshot(&aubwire.LogSnapshot{Membership: wire})
	n.resetElectionDeadline()
}

// canFormCluster reports whether this replica may form a new cluster, and returns the
// responses of its other voters. It may if it has the lowest name of the listed voters with
// a disk, its store was never damaged, every other listed voter responded, and all of them
// that have a disk, and all replicas that the others name, have no cluster and no damaged
// store.
func (n *Node) canFormCluster(results []helloResult) ([]helloResult, bool) {
	isListed := slices.ContainsFunc(n.opts.Voters, func(p Peer) bool { return p.Name == n.opts.Self.Name })
	if n.opts.JoinOnly || !isListed {
		return nil, false
	}
	var otherVoters []Peer
	for _, v := range n.opts.Voters {
		if v.Name == n.opts.Self.Name || isWithoutDisk(results, v) {
			continue
		}
		if strings.Compare(v.Name, n.opts.Self.Name) < 0 {
			return nil, false
		}
		otherVoters = append(otherVoters, v)
	}
	if n.opts.Disk.AfterDamage() {
		n.common.Log.Error("The store was damaged and no replica has a cluster; an operator must restore the cluster.")
		return nil, false
	}
	founders, ok := emptyResponses(results, otherVoters)
	if !ok {
		return nil, false
	}
	_, ok = emptyResponses(results, n.namedReplicas(results))
	return founders, ok
}

func isWithoutDisk(results []helloResult, p Peer) bool {
	return slices.ContainsFunc(results, func(r helloResult) bool { return r.peer.Address == p.Address && r.resp.GetWithoutDisk() })
}

// emptyResponses returns the responses of the peers, and whether all of them responded
// without a damaged store. The caller has checked that no response has a cluster.
func emptyResponses(results []helloResult, peers []Peer) ([]helloResult, bool) {
	var empty []helloResult
	for _, p := range peers {
		i := slices.IndexFunc(results, func(r helloResult) bool {
			return r.peer.Address == p.Address && r.resp.GetMember().GetName() == r.peer.Name && r.resp.GetMember().GetDiskId() != ""
		})
		if i < 0 || results[i].resp.GetAfterDamage() {
			return nil, false
		}
		empty = append(empty, results[i])
	}
	return empty, true
}

func (n *Node) formCluster(results []helloResult) {
	wire := &aubwire.Membership{ClusterId: uuid.NewString(), Voters: []*aubwire.ConsensusMember{n.self}}
	for _, result := range results {
		wire.Voters = append(wire.Voters, &aubwire.ConsensusMember{
			DiskId:  result.resp.GetMember().GetDiskId(),
			Name:    result.peer.Name,
			Address: result.peer.Address,
		})
	}
	n.common.Log.Info("Cluster is formed.", zap.String("cluster", wire.GetClusterId()))
	n.log.setSnapshot(&aubwire.LogSnapshot{Membership: wire})
	n.electionDeadline = n.now()
}

// logNoVote logs why this replica has no vote or no leader yet.
func (n *Node) logNoVote(results []helloResult) {
	if n.leaderID != "" {
		return
	}
	isVoter := n.log.membership().isVoter(n.self.GetDiskId())
	for _, result := range results {
		if id := result.resp.GetMembership().GetClusterId(); id != "" && id != n.clusterID() {
			n.common.Log.Error("Replica belongs to another cluster than its peer.", zap.String("peer", result.peer.Name))
		}
		if isVoter && n.isRemovedIn(result.resp) {
			n.common.Log.Error("This disk was replaced and has no vote any more; start on an empty data folder.")
			return
		}
	}
	if !isVoter {
		n.common.Log.Warn("Replica has no vote and no leader takes it in; a majority of disks may be lost.")
	}
}

// isRemovedIn reports whether a replica that knows a leader has a membership of
// this cluster without this disk.
func (n *Node) isRemovedIn(resp *aubwire.HelloResponse) bool {
	if resp.GetLeader() == nil || resp.GetMembership().GetClusterId() != n.clusterID() {
		return false
	}
	_, ok := membership{wire: resp.GetMembership()}.member(n.self.GetDiskId())
	return !ok
}

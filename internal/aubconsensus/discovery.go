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

// helloResult is what the replica at one address of the settings said.
type helloResult struct {
	peer Peer
	resp *aubwire.HelloResponse
}

// Hello answers another replica's question. The leader takes in a caller whose
// disk is not part of the members.
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
	// Only a caller that holds this cluster already is taken in.
	if n.leadership != nil && req.GetClusterId() == n.clusterID() {
		n.admitLearner(req.GetMember())
	}
	return resp
}

// runDiscovery asks the other replicas what they hold while this one has no vote.
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

// needsDiscovery reports whether this replica is no member or hears no leader. A replica
// that was removed is not told so; it only hears nothing any more.
func (n *Node) needsDiscovery() bool {
	n.mu.Lock()
	status, heardAt := n.published.status, n.published.leaderContactAt
	n.mu.Unlock()
	isLearner := slices.Contains(status.Learners, n.opts.Self)
	isLeaderUnresponsive := !status.LeaderHere && n.now().Sub(heardAt) > 2*n.opts.ElectionTimeout
	return !status.IsVoter && !isLearner || status.Leader.Name == "" || isLeaderUnresponsive
}

func (n *Node) discover(ctx context.Context) {
	status := n.Status()
	helloCtx, cancel := context.WithTimeout(ctx, 2*n.opts.ElectionTimeout)
	defer cancel()
	peers := n.helloTargets(status)
	results := n.callHello(helloCtx, peers, status)
	results = append(results, n.callHello(helloCtx, unqueriedLeaders(results, peers), status)...)
	// A silent peer uses up the time for the answers, not for taking them in.
	_ = n.call(ctx, func() { n.handleHelloResults(results) })
}

// callHello greets the peers at once.
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

// unqueriedLeaders returns the leaders that the answers name and that were not asked:
// only the leader takes a replica in.
func unqueriedLeaders(results []helloResult, queried []Peer) []Peer {
	var leaders []Peer
	for _, a := range results {
		leader := Peer{Name: a.resp.GetLeader().GetName(), Address: a.resp.GetLeader().GetAddress()}
		if leader.Address != "" && !slices.Contains(queried, leader) && !slices.Contains(leaders, leader) {
			leaders = append(leaders, leader)
		}
	}
	return leaders
}

// helloTargets returns the peers of the settings and of the known membership.
func (n *Node) helloTargets(status Status) []Peer {
	var peers []Peer
	known := map[string]bool{n.opts.Self.Address: true}
	for _, p := range append(append([]Peer(nil), n.opts.Voters...), append(status.Voters, status.Leader)...) {
		if p.Address != "" && !known[p.Address] {
			known[p.Address] = true
			peers = append(peers, p)
		}
	}
	return peers
}

func (n *Node) handleHelloResults(results []helloResult) {
	if n.clusterID() != "" {
		n.logNoVote(results)
		return
	}
	for _, a := range results {
		if a.resp.GetMembership().GetClusterId() != "" {
			n.adoptMembership(a.resp.GetMembership())
			return
		}
	}
	if n.canFormCluster(results) {
		n.formCluster(results)
	}
}

// adoptMembership joins an existing cluster. This disk has acknowledged nothing yet, so it
// can vote only if it was one of the disks that formed the cluster.
func (n *Node) adoptMembership(wire *aubwire.Membership) {
	n.common.Log.Info("Cluster found.", zap.String("cluster", wire.GetClusterId()))
	n.log.setSnapshot(&aubwire.LogSnapshot{Membership: wire})
	n.resetElection()
}

// canFormCluster reports whether this replica forms the cluster: it has the lowest name
// and every other replica answered that it holds nothing and never did.
func (n *Node) canFormCluster(results []helloResult) bool {
	isListed := slices.ContainsFunc(n.opts.Voters, func(p Peer) bool { return p.Name == n.opts.Self.Name })
	if n.opts.JoinOnly || !isListed {
		return false
	}
	otherVoters := 0
	for _, v := range n.opts.Voters {
		if v.Name == n.opts.Self.Name {
			continue
		}
		if strings.Compare(v.Name, n.opts.Self.Name) < 0 {
			return false
		}
		otherVoters++
	}
	if n.opts.Disk.AfterDamage() {
		n.common.Log.Error("Store was damaged and no replica holds the cluster; an operator must restore it.")
		return false
	}
	emptyVoters := 0
	for _, a := range results {
		if a.resp != nil && a.resp.GetMember().GetName() == a.peer.Name && !a.resp.GetAfterDamage() {
			emptyVoters++
		}
	}
	return emptyVoters == otherVoters
}

func (n *Node) formCluster(results []helloResult) {
	wire := &aubwire.Membership{ClusterId: uuid.NewString(), Voters: []*aubwire.ConsensusMember{n.self}}
	for _, a := range results {
		wire.Voters = append(wire.Voters, &aubwire.ConsensusMember{
			DiskId:  a.resp.GetMember().GetDiskId(),
			Name:    a.peer.Name,
			Address: a.peer.Address,
		})
	}
	n.common.Log.Info("Cluster is formed.", zap.String("cluster", wire.GetClusterId()))
	n.log.setSnapshot(&aubwire.LogSnapshot{Membership: wire})
	n.electionDeadline = n.now()
}

// logNoVote says why this replica can't take part yet.
func (n *Node) logNoVote(results []helloResult) {
	if n.leaderID != "" {
		return
	}
	isVoter := n.log.membership().isVoter(n.self.GetDiskId())
	for _, a := range results {
		if id := a.resp.GetMembership().GetClusterId(); id != "" && id != n.clusterID() {
			n.common.Log.Error("Replica belongs to another cluster than its peer.", zap.String("peer", a.peer.Name))
		}
		if isVoter && n.isRemovedIn(a.resp) {
			n.common.Log.Error("This disk was replaced and has no vote any more; start on an empty data folder.")
			return
		}
	}
	if !isVoter {
		n.common.Log.Warn("Replica has no vote and no leader takes it in; a majority of disks may be lost.")
	}
}

// isRemovedIn reports whether a replica with a leader knows a membership without
// this disk.
func (n *Node) isRemovedIn(resp *aubwire.HelloResponse) bool {
	if resp.GetLeader() == nil || resp.GetMembership().GetClusterId() != n.clusterID() {
		return false
	}
	_, ok := membership{wire: resp.GetMembership()}.member(n.self.GetDiskId())
	return !ok
}

package aubmembership

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubmetric"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// zoneSenderTimeout is the time without a datagram of the relay that sends the sums of a
	// zone after which the next one sends them: two full reports.
	zoneSenderTimeout = time.Second
	// zoneSumsTimeout is the age above which the sums of a sender are used only if no other
	// sender of its zone has newer ones.
	zoneSumsTimeout = 1250 * time.Millisecond
	// missingTimeout is the time without sums of a zone after which a relay tells the relays of
	// that zone: more than one full report. For missingRetention after such a notice the next
	// relay of the zone sends the sums too, because the sender may be cut off from other zones
	// and not from its own.
	missingTimeout   = 750 * time.Millisecond
	missingRetention = 30 * time.Second
	// countersRetention is how long the counters of a relay that is not heard are sent on: what
	// it spent last must reach the other zones although the sender stopped with it.
	countersRetention = 10 * time.Second
	// zoneInterval is the minimum time between two messages with sums. With the pauses of the
	// relays before and the network, sums of a fleet of 24 relays stay younger than 150 ms.
	zoneInterval = 90 * time.Millisecond
	// zonePausePerPeer, multiplied by the number of relays of other zones, is the minimum time
	// in larger fleets. Their sums are as old as the loads of a direct exchange.
	zonePausePerPeer = 3 * time.Millisecond
	// countersTicks is the number of full reports from one datagram with the own counters to
	// the next one, for relays of other zones.
	countersTicks = 2
	// wholeCountersTicks is the number of full reports from one datagram with all counters to
	// the next one; those between hold the counters that changed. A lost one is also in the messages of the
	// zone's sender.
	wholeCountersTicks = 32
	// maxZoneBytes limits the estimated size of the content of a datagram with sums, with a
	// reserve for the header and the datagram's own fields.
	maxZoneBytes = maxPayloadBytes - 150
	// loadBytes and useBytes are the sizes of a load and of a counter with large numbers.
	loadBytes = 18
	useBytes  = 18
)

// Kinds of datagrams in the metrics.
const (
	kindFull     = "load_full"
	kindDelta    = "load_delta"
	kindCounters = "load_counters"
	kindLimits   = "limits"
	kindZone     = "zone_loads"
	kindRejected = "rejected"
)

func kindOf(d *aubwire.Datagram) string {
	switch {
	case d.GetLimits() != nil:
		return kindLimits
	case d.GetZoneLoads() != nil:
		return kindZone
	case d.GetLoad().GetCountersOnly():
		return kindCounters
	case d.GetLoad().GetWhole():
		return kindFull
	case d.GetLoad() != nil:
		return kindDelta
	}
	return kindRejected
}

// zoneSums is the work in flight of one zone as one sender reported it.
type zoneSums struct {
	incarnation uint64
	sequence    uint64
	receivedAt  time.Time
	// loads has the hash of the backend server's id as key.
	loads map[uint32]Load
}

// zoneSender is what this process has sent to the relays of other zones.
type zoneSender struct {
	startedAt time.Time
	// remote holds the peers of other zones at the last update.
	remote []netip.AddrPort
	// ticks counts the full reports.
	ticks     int
	isSending bool
	// sentAt is when sums were last sent; isDue is set while changed ones wait for
	// zoneInterval.
	sentAt time.Time
	isDue  bool
	// ownCounters are the own counters at the last datagram with them.
	ownCounters map[string]int64
	sequence    uint64
	loads       map[string]Load
	// counters holds the counters sent last, repeated those at the last full report, by
	// relayID and workspace.
	counters map[uint32]map[string]int64
	// named holds the workspaces whose names were sent since the last wholeCountersTicks.
	named    map[string]bool
	repeated map[uint32]map[string]int64
}

// hasLost reports whether a peer that was of another zone no longer is.
func (z *zoneSender) hasLost(remote []netip.AddrPort) bool {
	return slices.ContainsFunc(z.remote, func(peer netip.AddrPort) bool { return !slices.Contains(remote, peer) })
}

// hasGained reports whether a peer is of another zone that was not.
func (z *zoneSender) hasGained(remote []netip.AddrPort) bool {
	return slices.ContainsFunc(remote, func(peer netip.AddrPort) bool { return !slices.Contains(z.remote, peer) })
}

// relayID returns the hash of an incarnation of a relay in ZoneLoads.
func relayID(instance string, incarnation uint64) uint32 {
	return hashOf(instance + "\x00" + strconv.FormatUint(incarnation, 10))
}

// hashOf returns the hash that stands for a name in datagrams.
func hashOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func (l Load) plus(other Load) Load {
	return Load{Requests: l.Requests + other.Requests, PrefillTokens: l.PrefillTokens + other.PrefillTokens}
}

// isZoned reports whether this process sends its loads only to the relays of its zone.
func (x *LoadExchange) isZoned() bool {
	return x.opts.Zone != "" && x.opts.IsZoned != nil && x.opts.IsZoned()
}

// splitPeers returns the peers that receive the loads of this process, and those that receive
// the sums of its zone. The former include peers whose zone is not known.
func (x *LoadExchange) splitPeers() (direct, remote []netip.AddrPort) {
	isZoned := x.isZoned()
	x.mu.Lock()
	defer x.mu.Unlock()
	if !isZoned {
		return x.peerAddresses, nil
	}
	for _, peer := range x.peerAddresses {
		if zone := x.zones[peer]; zone != "" && zone != x.opts.Zone {
			remote = append(remote, peer)
			continue
		}
		direct = append(direct, peer)
	}
	return direct, remote
}

// peerZone returns whether a peer is known to be in the own or in another zone.
func (x *LoadExchange) peerZone(peer netip.AddrPort) aubmetric.PeerZone {
	x.mu.Lock()
	defer x.mu.Unlock()
	return aubmetric.PeerZoneOf(x.opts.Zone, x.zones[peer])
}

// setZone stores the zone that a peer states; the caller holds mu.
func (x *LoadExchange) setZone(from netip.AddrPort, peer *peerState, zone string) {
	peer.zone = zone
	if zone == "" {
		delete(x.zones, from)
		return
	}
	if x.zones[from] != zone && slices.Contains(x.peerAddresses, from) {
		x.zones[from] = zone
		x.joined[from] = true
		x.NotifyLoadChanged()
	}
	if zone == x.opts.Zone && x.isSender {
		x.NotifyLoadChanged()
	}
}

// sendToZones sends the own counters and, if this process is the sender of its zone, the sums
// of the zone to the relays of other zones.
func (x *LoadExchange) sendToZones(isFull bool, remote []netip.AddrPort, loads map[string]Load, tokensUsed map[string]int64) {
	z := &x.updates.zone
	if isFull {
		z.ticks++
	}
	hasGained := z.hasGained(remote)
	z.remote = remote
	x.sendCounters(isFull, remote, tokensUsed)
	z.isDue = false
	if !x.becomeSender(len(remote) > 0) {
		z.isSending = false
		return
	}
	now := x.common.Timer.Now()
	if !z.isSending {
		z.isSending, z.loads, z.counters, z.repeated = true, nil, nil, nil
		isFull = true
	}
	if isDue := now.Sub(z.sentAt) >= zonePause(len(remote)); !isDue && !isFull {
		z.isDue = true
		return
	}
	z.sentAt = now
	sums, counters := x.zoneTotals(loads, tokensUsed)
	delta := deltaOf(z.loads, sums, isFull || hasGained)
	changed := changedCounters(z.counters, counters)
	if isFull {
		// A counter that was lost once is sent again.
		changed = changedCounters(z.repeated, counters)
		z.repeated = counters
	}
	z.loads, z.counters = sums, counters
	if z.named == nil || isFull && z.ticks%wholeCountersTicks == 0 {
		z.named = make(map[string]bool)
	}
	for _, message := range splitZoneLoads(delta, changed, z.named) {
		z.sequence++
		message.Zone, message.Instance, message.Incarnation, message.Sequence = x.opts.Zone, x.opts.Instance, x.opts.Incarnation, z.sequence
		x.send(remote, &aubwire.Datagram{ZoneLoads: message})
	}
}

// zonePause returns the minimum time between two messages with sums.
func zonePause(recipients int) time.Duration {
	return max(zoneInterval, time.Duration(recipients)*zonePausePerPeer)
}

// zoneDelay returns the time until sums that wait are due; false if none wait.
func (x *LoadExchange) zoneDelay() (time.Duration, bool) {
	z := &x.updates.zone
	return max(z.sentAt.Add(zonePause(len(z.remote))).Sub(x.common.Timer.Now()), 0), z.isDue
}

// sendCounters sends the own counters to the relays of other zones: all of them to those that
// have none yet and each wholeCountersTicks, otherwise those that changed.
func (x *LoadExchange) sendCounters(isFull bool, remote []netip.AddrPort, tokensUsed map[string]int64) {
	z := &x.updates.zone
	if joined := x.takeJoined(remote); len(joined) > 0 {
		x.sendDelta(joined, &aubwire.LoadDelta{Whole: true, CountersOnly: true, Uses: tokenUsesOf(nil, tokensUsed, true)})
	}
	if !isFull || len(remote) == 0 {
		return
	}
	missing := x.missingZones()
	if z.ticks%countersTicks != 0 && len(missing) == 0 {
		return
	}
	if z.ticks%wholeCountersTicks == 0 {
		x.sendDelta(remote, &aubwire.LoadDelta{Whole: true, CountersOnly: true, Uses: tokenUsesOf(nil, tokensUsed, true), MissingZones: missing})
	} else {
		delta := &aubwire.LoadDelta{CountersOnly: true, MissingZones: missing}
		for _, use := range tokenUsesOf(z.ownCounters, tokensUsed, false) {
			delta.UsedWorkspaces = append(delta.UsedWorkspaces, hashOf(use.GetWorkspace()))
			delta.UsedTokens = append(delta.UsedTokens, use.GetTokens())
		}
		x.sendDelta(remote, delta)
	}
	z.ownCounters = tokensUsed
}

// missingZones returns the zones of which relays are heard but sums no longer arrive.
func (x *LoadExchange) missingZones() []string {
	now := x.common.Timer.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	isMissing := make(map[string]bool)
	for _, peer := range x.peers {
		if peer.zone != "" && peer.zone != x.opts.Zone && now.Sub(peer.receivedAt) <= zoneSenderTimeout {
			isMissing[peer.zone] = true
		}
	}
	for zone := range isMissing {
		if len(x.zoneSums[zone]) == 0 {
			// The zone has not begun to send sums.
			delete(isMissing, zone)
		}
		for _, sums := range x.zoneSums[zone] {
			if now.Sub(sums.receivedAt) <= missingTimeout {
				delete(isMissing, zone)
			}
		}
	}
	return slices.Sorted(maps.Keys(isMissing))
}

// takeJoined returns the remote peers that have started or have become remote since the last
// call.
func (x *LoadExchange) takeJoined(remote []netip.AddrPort) []netip.AddrPort {
	x.mu.Lock()
	defer x.mu.Unlock()
	var joined []netip.AddrPort
	for _, peer := range remote {
		if x.joined[peer] {
			joined = append(joined, peer)
			delete(x.joined, peer)
		}
	}
	return joined
}

// becomeSender reports whether this process is the sender of its zone: the relay with the
// lowest name that was heard, and the next one while other zones miss the sums. A process that has just started waits until it can have heard
// the others. There is no sender without relays of other zones.
func (x *LoadExchange) becomeSender(hasRemote bool) bool {
	now := x.common.Timer.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	wasSender := x.isSender
	before, allowed := 0, 0
	for name, peer := range x.peers {
		if name < x.opts.Instance && peer.zone == x.opts.Zone && now.Sub(peer.receivedAt) <= zoneSenderTimeout {
			before++
		}
	}
	if !x.missingAt.IsZero() && now.Sub(x.missingAt) <= missingRetention {
		allowed = 1
	}
	x.isSender = hasRemote && before <= allowed && now.Sub(x.updates.zone.startedAt) >= zoneSenderTimeout
	if x.isSender != wasSender {
		x.common.Log.Info("Sender of the zone's loads changed.", zap.String("zone", x.opts.Zone), zap.Bool("is_sender", x.isSender),
			zap.Int("lower_names", before), zap.Bool("is_missed", allowed > 0))
	}
	return x.isSender
}

// zoneTotals returns the work in flight in the own zone and the token counters of its relays
// by relayID and workspace.
func (x *LoadExchange) zoneTotals(loads map[string]Load, tokensUsed map[string]int64) (map[string]Load, map[uint32]map[string]int64) {
	now := x.common.Timer.Now()
	sums := maps.Clone(loads)
	if sums == nil {
		sums = make(map[string]Load)
	}
	counters := map[uint32]map[string]int64{relayID(x.opts.Instance, x.opts.Incarnation): tokensUsed}
	x.mu.Lock()
	defer x.mu.Unlock()
	for name, peer := range x.peers {
		age := now.Sub(peer.receivedAt)
		if peer.zone != x.opts.Zone || age > countersRetention {
			continue
		}
		counters[relayID(name, peer.incarnation)] = maps.Clone(peer.tokensUsed)
		if age > maxLoadAge {
			continue
		}
		for id, load := range peer.loads {
			if load != (Load{}) {
				sums[id] = sums[id].plus(load)
			}
		}
	}
	return sums, counters
}

// counterChange is the new value of a token counter.
type counterChange struct {
	relay     uint32
	workspace string
	tokens    int64
}

// changedCounters returns the counters that differ, by relay and workspace.
func changedCounters(before, after map[uint32]map[string]int64) []counterChange {
	var changes []counterChange
	for relay, counters := range after {
		for workspace, tokens := range counters {
			if before[relay][workspace] != tokens {
				changes = append(changes, counterChange{relay: relay, workspace: workspace, tokens: tokens})
			}
		}
	}
	slices.SortFunc(changes, func(a, b counterChange) int {
		return cmp.Or(cmp.Compare(a.relay, b.relay), cmp.Compare(a.workspace, b.workspace))
	})
	return changes
}

// splitZoneLoads distributes sums and counters over as many messages as they need. Each message
// with all sums covers a range of backend servers, so that a lost one leaves only these as they
// were. Names of workspaces that are not in named are included and added to it.
func splitZoneLoads(delta *aubwire.LoadDelta, changes []counterChange, named map[string]bool) []*aubwire.ZoneLoads {
	var messages []*aubwire.ZoneLoads
	message, size := &aubwire.ZoneLoads{Whole: delta.GetWhole(), Last: math.MaxUint32}, 0
	next := func() {
		messages = append(messages, message)
		message, size = &aubwire.ZoneLoads{}, 0
	}
	loads := make(map[uint32]Load, len(delta.GetLoads()))
	for _, load := range delta.GetLoads() {
		hash := hashOf(load.GetId())
		loads[hash] = loads[hash].plus(Load{Requests: int(load.GetInFlight()), PrefillTokens: load.GetPrefillTokens()})
	}
	for _, hash := range slices.Sorted(maps.Keys(loads)) {
		if size+loadBytes > maxZoneBytes {
			message.Last = hash - 1
			next()
			message.Whole, message.First, message.Last = delta.GetWhole(), hash, math.MaxUint32
		}
		message.Backends = append(message.Backends, hash)
		message.InFlight = append(message.InFlight, int32(loads[hash].Requests))
		message.PrefillTokens = append(message.PrefillTokens, loads[hash].PrefillTokens)
		size += loadBytes
	}
	if !delta.GetWhole() {
		message.Last = 0
	}
	for _, change := range changes {
		if size+len(change.workspace)+useBytes > maxZoneBytes {
			next()
		}
		if !named[change.workspace] {
			named[change.workspace] = true
			message.Names = append(message.Names, change.workspace)
			size += len(change.workspace) + 3
		}
		message.Relays = append(message.Relays, change.relay)
		message.Workspaces = append(message.Workspaces, hashOf(change.workspace))
		message.Tokens = append(message.Tokens, change.tokens)
		size += useBytes
	}
	if message.GetWhole() || size > 0 {
		next()
	}
	return messages
}

// applyZoneLoads applies the sums of another zone unless the sender's later ones were applied,
// and all counters: they never decrease, so that their order does not matter.
func (x *LoadExchange) applyZoneLoads(message *aubwire.ZoneLoads) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.learnNames(message.GetNames())
	x.applyZoneCounters(message)
	if message.GetZone() == x.opts.Zone {
		return
	}
	senders := x.zoneSums[message.GetZone()]
	if senders == nil {
		senders = make(map[string]*zoneSums)
		x.zoneSums[message.GetZone()] = senders
	}
	sums := senders[message.GetInstance()]
	now := x.common.Timer.Now()
	// A restarted sender has a lower incarnation if its clock was set back.
	if sums == nil || sums.incarnation < message.GetIncarnation() || now.Sub(sums.receivedAt) > zoneSumsTimeout {
		sums = &zoneSums{incarnation: message.GetIncarnation(), loads: make(map[uint32]Load)}
		senders[message.GetInstance()] = sums
	}
	if message.GetIncarnation() != sums.incarnation || message.GetSequence() <= sums.sequence {
		return
	}
	sums.sequence, sums.receivedAt = message.GetSequence(), now
	if message.GetWhole() {
		maps.DeleteFunc(sums.loads, func(hash uint32, _ Load) bool { return hash >= message.GetFirst() && hash <= message.GetLast() })
	}
	inFlight, prefillTokens := message.GetInFlight(), message.GetPrefillTokens()
	if len(inFlight) != len(message.GetBackends()) || len(prefillTokens) != len(inFlight) {
		return
	}
	for i, hash := range message.GetBackends() {
		sums.loads[hash] = Load{Requests: int(inFlight[i]), PrefillTokens: prefillTokens[i]}
	}
}

// applyZoneCounters applies the counters of relays that this process has heard directly; only
// then it is known since when they count. The caller holds mu.
func (x *LoadExchange) applyZoneCounters(message *aubwire.ZoneLoads) {
	workspaces, tokens := message.GetWorkspaces(), message.GetTokens()
	if len(workspaces) != len(message.GetRelays()) || len(tokens) != len(workspaces) {
		return
	}
	for i, relay := range message.GetRelays() {
		if peer := x.peersByID[relay]; peer != nil {
			x.applyCounter(peer, workspaces[i], tokens[i])
		}
	}
}

// applyCounter applies a counter of a peer by the hash of the workspace's name. It does nothing
// if the name is not known; the peer's next datagram with names has it. The caller holds mu.
func (x *LoadExchange) applyCounter(peer *peerState, hash uint32, tokens int64) {
	workspace, isKnown := x.workspaceNames[hash]
	if !isKnown || workspace == "" || tokens <= peer.tokensUsed[workspace] {
		return
	}
	x.peerTokensUsed[workspace] += peer.updateTokensUsed(&aubwire.TokenUse{Workspace: workspace, Tokens: tokens})
}

// learnNames stores the names of workspaces by their hashes, and none for a hash that several
// names have; the caller holds mu.
func (x *LoadExchange) learnNames(names []string) {
	for _, name := range names {
		hash := hashOf(name)
		if known, isKnown := x.workspaceNames[hash]; isKnown && known != name {
			name = ""
		}
		x.workspaceNames[hash] = name
	}
}

// setPeer replaces the state of a peer. Peers whose identifiers are equal are not found by them
// until one restarts; their own datagrams have their counters. The caller holds mu.
func (x *LoadExchange) setPeer(name string, previous, peer *peerState) {
	x.peers[name] = peer
	if previous != nil {
		delete(x.peersByID, relayID(name, previous.incarnation))
	}
	id := relayID(name, peer.incarnation)
	if _, isTaken := x.peersByID[id]; isTaken {
		x.peersByID[id] = nil
		return
	}
	x.peersByID[id] = peer
}

// isInZoneSums reports whether the sums of the peer's zone stand for its loads; the caller
// holds mu.
func (x *LoadExchange) isInZoneSums(now time.Time, peer *peerState) bool {
	if peer.zone == "" || peer.zone == x.opts.Zone {
		return false
	}
	for _, sums := range x.zoneSums[peer.zone] {
		if now.Sub(sums.receivedAt) <= zoneSumsTimeout {
			return true
		}
	}
	return false
}

// zoneLoad returns the work in flight of a zone on a backend server. Of several senders, which
// may hear different relays, the largest sums count; outdated ones count only if there are no
// others. The caller holds mu.
func (x *LoadExchange) zoneLoad(now time.Time, zone, backend string) Load {
	var load, outdated Load
	hash := hashOf(backend)
	hasCurrent := false
	newest := maxLoadAge
	for _, sums := range x.zoneSums[zone] {
		age := now.Sub(sums.receivedAt)
		switch {
		case age <= zoneSumsTimeout:
			hasCurrent = true
			load.Requests = max(load.Requests, sums.loads[hash].Requests)
			load.PrefillTokens = max(load.PrefillTokens, sums.loads[hash].PrefillTokens)
		case age <= newest:
			newest, outdated = age, sums.loads[hash]
		}
	}
	if !hasCurrent {
		return outdated
	}
	return load
}

package aublimit

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// Snapshot implements aubcontrol.Table.
func (t *Table) Snapshot() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	snapshot := &aubwire.LimitSnapshot{ClockNs: int64(t.clock)}
	for _, id := range slices.SortedFunc(maps.Keys(t.sessions), holderID.compare) {
		snapshot.Sessions = append(snapshot.Sessions, t.sessions[id].wire())
	}
	for _, name := range slices.Sorted(maps.Keys(t.centrals)) {
		snapshot.Centrals = append(snapshot.Centrals, t.centrals[name].wire(name))
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	return data, oops.In("limits").Wrapf(err, "encode snapshot")
}

// Restore implements aubcontrol.Table.
func (t *Table) Restore(data []byte) error {
	snapshot := &aubwire.LimitSnapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return oops.In("limits").Wrapf(err, "decode snapshot")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock = time.Duration(snapshot.GetClockNs())
	t.centrals = make(map[string]*centralState)
	for _, w := range snapshot.GetCentrals() {
		t.centrals[w.GetWorkspace()] = restoreCentralState(w)
	}
	t.sessions = make(map[holderID]*tableSession)
	for _, w := range snapshot.GetSessions() {
		s := restoreSession(w)
		t.sessions[s.id] = s
		t.addHoldings(s)
	}
	for _, c := range t.centrals {
		c.bucket.rateMilli, c.bucket.capacity = c.limitsWithoutFloors()
	}
	return nil
}

// addHoldings adds the session's holdings to the sums of the central states.
func (t *Table) addHoldings(s *tableSession) {
	for name, h := range s.holdings {
		c := t.centrals[name]
		c.bucket.outstanding += toMicroTokens(h.outstanding)
		c.heldFloors.rateMilli += h.heldFloor.rateMilli
		c.heldFloors.burst += h.heldFloor.burst
	}
}

func (s *tableSession) wire() *aubwire.LimitSession {
	message := &aubwire.LimitSession{
		Instance:    s.id.instance,
		Zone:        s.zone,
		Incarnation: s.id.incarnation,
		Sequence:    s.sequence,
		Epoch:       s.epoch,
		LeaseEndNs:  int64(s.leaseEnd),
		FloorEndNs:  int64(s.floorEnd),
		Left:        s.drained,
		Reply:       s.reply,
	}
	for _, name := range slices.Sorted(maps.Keys(s.holdings)) {
		h := s.holdings[name]
		message.Accounts = append(message.Accounts, &aubwire.LimitAccount{
			Workspace:   name,
			Outstanding: h.outstanding,
			Held:        h.heldFloor.wire(),
			Offered:     h.offeredFloor.wire(),
		})
	}
	return message
}

func restoreSession(message *aubwire.LimitSession) *tableSession {
	s := &tableSession{
		id:       holderID{instance: message.GetInstance(), incarnation: message.GetIncarnation()},
		zone:     message.GetZone(),
		sequence: message.GetSequence(),
		epoch:    message.GetEpoch(),
		leaseEnd: time.Duration(message.GetLeaseEndNs()),
		floorEnd: time.Duration(message.GetFloorEndNs()),
		drained:  message.GetLeft(),
		reply:    message.GetReply(),
		holdings: make(map[string]*holding, len(message.GetAccounts())),
	}
	for _, a := range message.GetAccounts() {
		s.holdings[a.GetWorkspace()] = &holding{
			outstanding:  a.GetOutstanding(),
			heldFloor:    floorFromWire(a.GetHeld()),
			offeredFloor: floorFromWire(a.GetOffered()),
		}
	}
	return s
}

func (c *centralState) wire(name string) *aubwire.LimitCentral {
	b := &aubwire.LimitBucket{
		Level:    int64(c.bucket.level),
		FilledNs: int64(c.bucket.filledAt),
	}
	for _, h := range c.bucket.headrooms {
		b.Headrooms = append(b.Headrooms, &aubwire.LimitHeadroom{AtNs: int64(h.at), Least: int64(h.minFree)})
	}
	return &aubwire.LimitCentral{
		Workspace:    name,
		Rate:         c.limits.rate,
		Burst:        c.limits.burst,
		ShortUntilNs: int64(c.shortUntil),
		UsedNs:       int64(c.configuredAt),
		Bucket:       b,
	}
}

func restoreCentralState(message *aubwire.LimitCentral) *centralState {
	c := &centralState{
		limits:       limits{rate: message.GetRate(), burst: message.GetBurst()},
		shortUntil:   time.Duration(message.GetShortUntilNs()),
		configuredAt: time.Duration(message.GetUsedNs()),
	}
	c.bucket.level = microTokens(message.GetBucket().GetLevel())
	c.bucket.filledAt = time.Duration(message.GetBucket().GetFilledNs())
	for _, h := range message.GetBucket().GetHeadrooms() {
		c.bucket.headrooms = append(c.bucket.headrooms, headroom{
			at:      time.Duration(h.GetAtNs()),
			minFree: microTokens(h.GetLeast()),
		})
	}
	return c
}

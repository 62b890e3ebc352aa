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
	t.centrals = make(map[string]*central)
	for _, w := range snapshot.GetCentrals() {
		t.centrals[w.GetWorkspace()] = restoreCentral(w)
	}
	t.sessions = make(map[holderID]*session)
	for _, w := range snapshot.GetSessions() {
		s := restoreSession(w)
		t.sessions[s.id] = s
		t.count(s)
	}
	for _, c := range t.centrals {
		c.bucket.rateMilli, c.bucket.capacity = c.remainder()
	}
	return nil
}

// addHoldings adds the session's holdings to the sums of the central states.
func (t *Table) count(s *session) {
	for name, h := range s.accounts {
		c := t.centrals[name]
		c.bucket.lent += toMicro(h.outstanding)
		c.held.rateMilli += h.held.rateMilli
		c.held.burst += h.held.burst
	}
}

func (s *session) wire() *aubwire.LimitSession {
	w := &aubwire.LimitSession{
		Instance:    s.id.instance,
		Zone:        s.zone,
		Incarnation: s.id.incarnation,
		Sequence:    s.sequence,
		Epoch:       s.epoch,
		LeaseEndNs:  int64(s.leaseEnd),
		FloorEndNs:  int64(s.floorEnd),
		Left:        s.left,
		Reply:       s.reply,
	}
	for _, name := range slices.Sorted(maps.Keys(s.accounts)) {
		h := s.accounts[name]
		w.Accounts = append(w.Accounts, &aubwire.LimitAccount{
			Workspace:   name,
			Outstanding: h.outstanding,
			Held:        h.held.wire(),
			Offered:     h.offered.wire(),
		})
	}
	return w
}

func restoreSession(w *aubwire.LimitSession) *session {
	s := &session{
		id:       holderID{instance: w.GetInstance(), incarnation: w.GetIncarnation()},
		zone:     w.GetZone(),
		sequence: w.GetSequence(),
		epoch:    w.GetEpoch(),
		leaseEnd: time.Duration(w.GetLeaseEndNs()),
		floorEnd: time.Duration(w.GetFloorEndNs()),
		left:     w.GetLeft(),
		reply:    w.GetReply(),
		accounts: make(map[string]*holding, len(w.GetAccounts())),
	}
	for _, a := range w.GetAccounts() {
		s.accounts[a.GetWorkspace()] = &holding{
			outstanding: a.GetOutstanding(),
			held:        newFloor(a.GetHeld()),
			offered:     newFloor(a.GetOffered()),
		}
	}
	return s
}

func (c *central) wire(name string) *aubwire.LimitCentral {
	b := &aubwire.LimitBucket{
		Level:    int64(c.bucket.level),
		FilledNs: int64(c.bucket.filledAt),
	}
	for _, h := range c.bucket.headrooms {
		b.Headrooms = append(b.Headrooms, &aubwire.LimitHeadroom{AtNs: int64(h.at), Least: int64(h.least)})
	}
	return &aubwire.LimitCentral{
		Workspace:    name,
		Rate:         c.limits.rate,
		Burst:        c.limits.burst,
		ShortUntilNs: int64(c.shortUntil),
		UsedNs:       int64(c.usedAt),
		Bucket:       b,
	}
}

func restoreCentral(w *aubwire.LimitCentral) *central {
	c := &central{
		limits:     limits{rate: w.GetRate(), burst: w.GetBurst()},
		shortUntil: time.Duration(w.GetShortUntilNs()),
		usedAt:     time.Duration(w.GetUsedNs()),
	}
	c.bucket.level = micro(w.GetBucket().GetLevel())
	c.bucket.filledAt = time.Duration(w.GetBucket().GetFilledNs())
	for _, h := range w.GetBucket().GetHeadrooms() {
		c.bucket.headrooms = append(c.bucket.headrooms, headroom{
			at:    time.Duration(h.GetAtNs()),
			least: micro(h.GetLeast()),
		})
	}
	return c
}

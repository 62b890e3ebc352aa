// Package aubdrain holds the availability zones that operators have drained: the
// replicated table, the orders that change it, and the view by which a relay decides
// whether a backend server of a zone may get a request.
package aubdrain

import (
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// TableName is the name of the replicated table.
const TableName = "zone_drains"

// withdrawalRetention is how long withdrawals are stated: as long as aubthrottle.MaxColdTime, after
// which no backend server of the zone counts as cold.
const withdrawalRetention = 2 * time.Minute

// maxZones limits the zones with an order, so that the table and its statements stay small.
const maxZones = 256

// Results of applying a command.
var (
	resultAccepted = []byte{1}
	resultRefused  = []byte{2}
)

// order is the newest order about one zone.
type order struct {
	// drained is unset if the order to drain the zone was withdrawn.
	drained bool
	// index is the position of the order in the log.
	index uint64
	// notBefore is a time before the commit of the order; zero if none is known. It is not
	// replicated.
	notBefore time.Time
	// appliedAt is a time after the commit of the order. It is not replicated.
	appliedAt time.Time
}

// Table is the replicated table of drained zones.
//
// Lock order: mu is a leaf lock.
type Table struct {
	timer aubtimer.Service

	mu sync.Mutex
	// orders is keyed by zone. Withdrawn orders are kept so that a repeated withdrawal finds
	// the zone known.
	orders map[string]order
	// revision is the position in the log of the last change.
	revision uint64
	// confirmedAt is when the newest confirmed read began, confirmedIndex what it returned:
	// what has a higher index was committed after confirmedAt.
	confirmedAt    time.Time
	confirmedIndex uint64
	changed        chan struct{}
}

var _ aubcontrol.Table = (*Table)(nil)

// NewTable returns a table without drained zones.
func NewTable(timer aubtimer.Service) *Table {
	return &Table{timer: timer, orders: make(map[string]order), changed: make(chan struct{})}
}

// Name implements aubcontrol.Table.
func (t *Table) Name() string { return TableName }

// Apply implements aubcontrol.Table. The command is a ZoneDrainCommand. An order that
// repeats what holds changes nothing.
func (t *Table) Apply(cmd aubcontrol.Command) []byte {
	var command aubwire.ZoneDrainCommand
	if err := proto.Unmarshal(cmd.Body, &command); err != nil || command.GetZone() == "" {
		return resultRefused
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	held, isHeld := t.orders[command.GetZone()]
	switch {
	case held.drained == command.GetDrained():
		return resultAccepted
	case !isHeld && len(t.orders) >= maxZones && !t.evictWithdrawn():
		return resultRefused
	}
	t.orders[command.GetZone()] = order{drained: command.GetDrained(), index: cmd.Index, notBefore: t.notBefore(cmd.Index), appliedAt: t.timer.Now()}
	t.revision = cmd.Index
	t.notify()
	return resultAccepted
}

// evictWithdrawn removes the oldest withdrawn order and reports whether there was one; the
// caller holds mu.
func (t *Table) evictWithdrawn() bool {
	oldest := ""
	for zone, o := range t.orders {
		if !o.drained && (oldest == "" || o.index < t.orders[oldest].index) {
			oldest = zone
		}
	}
	delete(t.orders, oldest)
	return oldest != ""
}

// Knows reports whether there is an order about the zone, also a withdrawn one.
func (t *Table) Knows(zone string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.orders[zone]
	return ok
}

// notBefore returns a time before the commit of the entry at the index, zero if none is
// known; the caller holds mu.
func (t *Table) notBefore(index uint64) time.Time {
	if index <= t.confirmedIndex {
		return time.Time{}
	}
	return t.confirmedAt
}

// notify wakes all that wait for a change; the caller holds mu.
func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Confirmed notes that a linearizable read which began at the time returned the index.
func (t *Table) Confirmed(startedAt time.Time, index uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if startedAt.After(t.confirmedAt) {
		t.confirmedAt, t.confirmedIndex = startedAt, index
	}
}

// Drains returns the drained zones and a channel that is closed at the next change.
func (t *Table) Drains() (Drains, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	zones := make(map[string]bool)
	for zone, o := range t.orders {
		if o.drained {
			zones[zone] = true
		}
	}
	return Drains{revision: t.revision, zones: zones}, t.changed
}

// Statement returns what a control process states to relays now, and a channel that is
// closed at the next change.
func (t *Table) Statement() (*aubwire.ZoneDrains, <-chan struct{}) {
	now := t.timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	statement := &aubwire.ZoneDrains{Revision: t.revision}
	if !t.confirmedAt.IsZero() {
		statement.ConfirmedAgoMs = proto.Int64(ceilMilliseconds(now.Sub(t.confirmedAt)))
	}
	for zone, o := range t.orders {
		if !o.drained {
			// After a restart notBefore is unknown, and old withdrawals are left out.
			if now.Sub(o.notBefore) < withdrawalRetention {
				statement.Withdrawals = append(statement.Withdrawals, &aubwire.ZoneWithdrawal{Zone: zone, Index: o.index, MinAgeMs: now.Sub(o.appliedAt).Milliseconds()})
			}
			continue
		}
		stated := &aubwire.ZoneDrain{Zone: zone, Index: o.index}
		if !o.notBefore.IsZero() {
			stated.MaxAgeMs = proto.Int64(ceilMilliseconds(now.Sub(o.notBefore)))
		}
		statement.Drains = append(statement.Drains, stated)
	}
	slices.SortFunc(statement.Drains, func(a, b *aubwire.ZoneDrain) int { return strings.Compare(a.GetZone(), b.GetZone()) })
	return statement, t.changed
}

// ceilMilliseconds returns the duration in milliseconds, rounded up.
func ceilMilliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

// Snapshot implements aubcontrol.Table.
func (t *Table) Snapshot() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	snapshot := &aubwire.ZoneDrainTable{Revision: t.revision}
	for zone, o := range t.orders {
		snapshot.Orders = append(snapshot.Orders, &aubwire.ZoneDrainEntry{Zone: zone, Index: o.index, Drained: o.drained})
	}
	slices.SortFunc(snapshot.Orders, func(a, b *aubwire.ZoneDrainEntry) int { return strings.Compare(a.GetZone(), b.GetZone()) })
	return proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
}

// Restore implements aubcontrol.Table. The ages of orders that the table did not hold before
// are unknown.
func (t *Table) Restore(data []byte) error {
	snapshot := &aubwire.ZoneDrainTable{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return &SnapshotError{Err: err}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	orders := make(map[string]order, len(snapshot.GetOrders()))
	for _, entry := range snapshot.GetOrders() {
		o := order{index: entry.GetIndex(), drained: entry.GetDrained()}
		if held, ok := t.orders[entry.GetZone()]; ok && held.index == o.index {
			o.notBefore = held.notBefore
		}
		orders[entry.GetZone()] = o
	}
	t.orders, t.revision = orders, snapshot.GetRevision()
	t.notify()
	return nil
}

// Drains is the set of drained zones at one revision of the table. It is immutable.
type Drains struct {
	revision uint64
	zones    map[string]bool
}

// Revision returns the position in the log of the last change, 0 before the first.
func (d Drains) Revision() uint64 { return d.revision }

// Contains reports whether the zone is drained.
func (d Drains) Contains(zone string) bool { return d.zones[zone] }

// Zones returns the drained zones in the order of their names.
func (d Drains) Zones() []string {
	zones := make([]string, 0, len(d.zones))
	for zone := range d.zones {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}

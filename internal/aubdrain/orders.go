package aubdrain

import (
	"bytes"
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// closedCallerWait is the time before an order is proposed in which its context may end. A
// process that was suspended for seconds first notices then that the caller has given up on
// a call that it finds in its socket; the order would otherwise take effect after a later one.
const closedCallerWait = 10 * time.Millisecond

// ZoneKnowledge is what a control process knows of a zone.
type ZoneKnowledge int

// Values of ZoneKnowledge.
const (
	// ZoneUncertain means that the control process may not know all zones yet.
	ZoneUncertain ZoneKnowledge = iota
	// ZoneKnown means that the zone exists.
	ZoneKnown
	// ZoneUnknown means that the zone does not exist.
	ZoneUnknown
)

// OrdersOpts are the dependencies of Orders.
type OrdersOpts struct {
	Table    *Table
	Proposer aubcontrol.Proposer
	Reader   aubcontrol.Reader
	// Knowledge returns what this process knows of a zone that the table does not know.
	Knowledge func(zone string) ZoneKnowledge
}

// Orders commits the orders of operators through the replicated log.
type Orders struct {
	common aubcommon.Common
	opts   OrdersOpts
}

// NewOrders returns orders on the table of a control replica.
func NewOrders(common aubcommon.Common, opts OrdersOpts) *Orders {
	return &Orders{common: common.WithPart("drain"), opts: opts}
}

// Drain orders that no more requests are sent to the backend servers of the zone, and returns
// once the order is committed. Errors are *UnknownZoneError and *NotDecidedError.
func (o *Orders) Drain(ctx context.Context, zone string) error { return o.apply(ctx, zone, true) }

// Restore withdraws the order to drain the zone. Errors are as for Drain.
func (o *Orders) Restore(ctx context.Context, zone string) error { return o.apply(ctx, zone, false) }

func (o *Orders) apply(ctx context.Context, zone string, drained bool) error {
	err := o.checkZone(ctx, zone)
	if err == nil {
		err = o.propose(ctx, zone, drained)
	}
	if err != nil {
		o.common.Log.Warn("Zone drain is not changed.", zap.String("zone", zone), zap.Bool("drained", drained), zap.Error(err))
	}
	return err
}

// checkZone returns an error unless the zone is known. A zone is unknown only by confirmed
// state, because the caller does not repeat such an order.
func (o *Orders) checkZone(ctx context.Context, zone string) error {
	if o.opts.Table.Knows(zone) || o.opts.Knowledge(zone) == ZoneKnown {
		return nil
	}
	if _, err := o.opts.Reader.Confirm(ctx); err != nil {
		return &NotDecidedError{Reason: "whether the zone exists is not confirmed", Err: err}
	}
	if o.opts.Table.Knows(zone) {
		return nil
	}
	switch o.opts.Knowledge(zone) {
	case ZoneKnown:
		return nil
	case ZoneUnknown:
		return &UnknownZoneError{Zone: zone}
	case ZoneUncertain:
	}
	return &NotDecidedError{Reason: "this process does not know all zones yet"}
}

func (o *Orders) propose(ctx context.Context, zone string, drained bool) error {
	if err := aubtimer.Wait(ctx, o.common.Timer, closedCallerWait); err != nil {
		return &NotDecidedError{Reason: "the caller has left", Err: err}
	}
	// Marshaling a message without required fields does not fail.
	body, _ := proto.Marshal(&aubwire.ZoneDrainCommand{Zone: zone, Drained: drained})
	result, err := o.opts.Proposer.Apply(ctx, TableName, body)
	if err != nil {
		return &NotDecidedError{Reason: "not committed", Err: err}
	}
	if !bytes.Equal(result.Body, resultAccepted) {
		return &NotDecidedError{Reason: "too many zones are drained"}
	}
	o.common.Log.Info("Zone drain is committed.", zap.String("zone", zone), zap.Bool("drained", drained), zap.Uint64("index", result.Index))
	return nil
}

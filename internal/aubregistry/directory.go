package aubregistry

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// callerTimeout is the time without a call after which a control process with a disk is no
// longer listed. It covers the timeout of a silent stream and some attempts to reconnect.
const callerTimeout = 3 * time.Second

// Directory is the registry of a control process without a disk. It tells watching processes
// the addresses of the control processes with a disk, and nothing else.
//
// Lock order: mu is taken alone.
type Directory struct {
	aubwire.UnimplementedRegistryServer

	common aubcommon.Common
	// connected returns the addresses of the control processes to which this one is connected.
	connected func() []string

	mu sync.Mutex
	// calledAt holds when a control process with a disk last called, by address.
	calledAt map[string]time.Time
}

var _ aubwire.RegistryServer = (*Directory)(nil)

// NewDirectory returns a directory that lists the connected control processes and those
// that call.
func NewDirectory(common aubcommon.Common, connected func() []string) *Directory {
	return &Directory{common: common.WithPart("directory"), connected: connected, calledAt: make(map[string]time.Time)}
}

// AddCaller records a call of the control process at the address.
func (d *Directory) AddCaller(address string) {
	if address == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calledAt[address] = d.common.Timer.Now()
}

// Addresses returns the addresses of the control processes with a disk in lexical order.
func (d *Directory) Addresses() []string {
	addresses := append([]string(nil), d.connected()...)
	now := d.common.Timer.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, calledAt := range d.calledAt {
		if now.Sub(calledAt) > callerTimeout {
			delete(d.calledAt, address)
			continue
		}
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// Watch implements aubwire.RegistryServer. It sends the addresses each reportInterval until
// the caller falls silent.
func (d *Directory) Watch(stream grpc.BidiStreamingServer[aubwire.RegistryRequest, aubwire.RegistryResponse]) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	requests := make(chan *aubwire.RegistryRequest)
	received := make(chan error, 1)
	go func() {
		for {
			req, err := stream.Recv()
			if err != nil {
				received <- err
				return
			}
			select {
			case requests <- req:
			case <-ctx.Done():
				return
			}
		}
	}()
	ticks := d.common.Timer.Subscribe(ctx, reportInterval)
	lastReceivedAt := d.common.Timer.Now()
	isDue := true
	for {
		if isDue {
			if err := stream.Send(&aubwire.RegistryResponse{WithoutDisk: true, ControlAddresses: d.Addresses()}); err != nil {
				return err
			}
		}
		isDue = false
		select {
		case req := <-requests:
			lastReceivedAt = d.common.Timer.Now()
			d.AddCaller(req.GetControlAddress())
		case err := <-received:
			return err
		case <-ticks:
			if d.common.Timer.Now().Sub(lastReceivedAt) > streamTimeout {
				return status.Error(codes.DeadlineExceeded, "watcher fell silent")
			}
			isDue = true
		}
	}
}

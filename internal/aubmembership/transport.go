package aubmembership

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
)

// receiveBufferBytes is the kernel's buffer for datagrams not yet handled.
const receiveBufferBytes = 1 << 20

// transport sends and receives datagrams over one UDP socket. Gnet's event loop
// receives; sends go out by a duplicate of the same socket, so that receivers
// see one address.
type transport struct {
	gnet.BuiltinEventEngine

	receive func(from netip.AddrPort, data []byte)
	booted  chan gnet.Engine
	conn    net.PacketConn
	// ready is set once receive may be called.
	ready  atomic.Bool
	closed sync.WaitGroup
}

// newTransport listens on the address until ctx ends.
func newTransport(
	ctx context.Context, log *zap.Logger, listen string, receive func(netip.AddrPort, []byte),
) (*transport, error) {
	if err := probe(ctx, listen); err != nil {
		return nil, err
	}
	t := &transport{receive: receive, booted: make(chan gnet.Engine, 1)}
	failed := make(chan error, 1)
	t.closed.Go(func() {
		failed <- gnet.Run(t, "udp://"+listen,
			gnet.WithNumEventLoop(1),
			gnet.WithLogger(log.Sugar()),
			gnet.WithSocketRecvBuffer(receiveBufferBytes))
	})
	select {
	case err := <-failed:
		return nil, err
	case engine := <-t.booted:
		if err := t.open(ctx, engine); err != nil {
			_ = engine.Stop(ctx)
			return nil, err
		}
		return t, nil
	}
}

// start lets received datagrams through.
func (t *transport) start() { t.ready.Store(true) }

// probe fails when the address is taken. Gnet shares UDP ports between
// processes, which would split the datagrams between them.
func probe(ctx context.Context, listen string) error {
	var lc net.ListenConfig
	conn, err := lc.ListenPacket(ctx, "udp", listen)
	if err != nil {
		return err
	}
	return conn.Close()
}

// open duplicates the socket for sending and ties its life to ctx.
func (t *transport) open(ctx context.Context, engine gnet.Engine) error {
	fd, err := engine.Dup()
	if err != nil {
		return err
	}
	file := os.NewFile(uintptr(fd), "membership")
	defer file.Close()
	t.conn, err = net.FilePacketConn(file)
	if err != nil {
		return err
	}
	t.closed.Go(func() {
		<-ctx.Done()
		_ = t.conn.Close()
		_ = engine.Stop(context.WithoutCancel(ctx))
	})
	return nil
}

// OnBoot implements gnet.EventHandler.
func (t *transport) OnBoot(engine gnet.Engine) gnet.Action {
	t.booted <- engine
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (t *transport) OnTraffic(c gnet.Conn) gnet.Action {
	data, err := c.Next(-1)
	if err != nil || !t.ready.Load() {
		return gnet.None
	}
	from, ok := c.RemoteAddr().(*net.UDPAddr)
	if ok {
		t.receive(unmap(from.AddrPort()), data)
	}
	return gnet.None
}

// send hands one datagram to the kernel.
func (t *transport) send(to netip.AddrPort, data []byte) error {
	_, err := t.conn.WriteTo(data, net.UDPAddrFromAddrPort(to))
	return err
}

// address returns the address listened on.
func (t *transport) address() netip.AddrPort {
	addr, ok := t.conn.LocalAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return unmap(addr.AddrPort())
}

// wait blocks until the transport has ended.
func (t *transport) wait() { t.closed.Wait() }

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

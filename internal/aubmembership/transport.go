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

// receiveBufferBytes is the size of the kernel's receive buffer.
const receiveBufferBytes = 1 << 20

// transport sends and receives datagrams over one UDP socket. Gnet's event loop
// receives. Datagrams are sent through a duplicate of the socket's file descriptor,
// so that peers see the listen address as the source.
type transport struct {
	gnet.BuiltinEventEngine

	receive func(from netip.AddrPort, data []byte)
	booted  chan gnet.Engine
	conn    net.PacketConn
	// started is true once receive may be called; earlier datagrams are dropped.
	started    atomic.Bool
	goroutines sync.WaitGroup
}

// newTransport listens on the address until ctx is done. Datagrams are dropped until
// start is called.
func newTransport(
	ctx context.Context, log *zap.Logger, listen string, receive func(netip.AddrPort, []byte),
) (*transport, error) {
	if err := checkAddressFree(ctx, listen); err != nil {
		return nil, err
	}
	t := &transport{receive: receive, booted: make(chan gnet.Engine, 1)}
	failed := make(chan error, 1)
	t.goroutines.Go(func() {
		failed <- gnet.Run(t, "udp://"+listen,
			gnet.WithNumEventLoop(1),
			gnet.WithLogger(log.Sugar()),
			gnet.WithSocketRecvBuffer(receiveBufferBytes))
	})
	select {
	case err := <-failed:
		return nil, err
	case engine := <-t.booted:
		if err := t.openSender(ctx, engine); err != nil {
			_ = engine.Stop(ctx)
			return nil, err
		}
		return t, nil
	}
}

// start enables the delivery of datagrams to receive.
func (t *transport) start() { t.started.Store(true) }

// checkAddressFree fails if the address is in use. Gnet allows several processes to
// share a UDP port, which would split the datagrams between them.
func checkAddressFree(ctx context.Context, listen string) error {
	var lc net.ListenConfig
	conn, err := lc.ListenPacket(ctx, "udp", listen)
	if err != nil {
		return err
	}
	return conn.Close()
}

// openSender duplicates the socket for sending and closes both when ctx is done.
func (t *transport) openSender(ctx context.Context, engine gnet.Engine) error {
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
	t.goroutines.Go(func() {
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
	if err != nil || !t.started.Load() {
		return gnet.None
	}
	from, ok := c.RemoteAddr().(*net.UDPAddr)
	if ok {
		t.receive(unmap(from.AddrPort()), data)
	}
	return gnet.None
}

// send sends one datagram.
func (t *transport) send(to netip.AddrPort, data []byte) error {
	_, err := t.conn.WriteTo(data, net.UDPAddrFromAddrPort(to))
	return err
}

// address returns the local address of the socket.
func (t *transport) address() netip.AddrPort {
	addr, ok := t.conn.LocalAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return unmap(addr.AddrPort())
}

// wait blocks until all goroutines of the transport have ended.
func (t *transport) wait() { t.goroutines.Wait() }

// unmap turns an IPv4-mapped IPv6 address into an IPv4 address.
func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

const (
	// resendTime is the least time after which the kernel sends a lost packet again, resendSpread what may be added for the
	// measured times of the link.
	resendTime   = 200 * time.Millisecond
	resendSpread = 20 * time.Millisecond
)

// loss is the state of links that lose packets: those between the zone and the others.
type loss struct {
	zone  atomic.Pointer[string]
	share float64
}

// isLost draws whether a packet between the two zones is lost.
func (l *loss) isLost(from, to string) bool {
	zone := l.zone.Load()
	return zone != nil && (from == *zone) != (to == *zone) && rand.Float64() < l.share
}

// link is the way from all processes to one worker. Of what it carries only orders are lost: a lost one is sent again after a while,
// and what follows on the connection waits for it.
type link struct {
	site     *site
	loss     *loss
	zone     string
	upstream string
}

func (l *link) serve(ctx context.Context, address string) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(ctx, conn)
		}
	}()
	return nil
}

func (l *link) carry(ctx context.Context, near net.Conn) {
	defer near.Close()
	far, err := new(net.Dialer).DialContext(ctx, "tcp", l.upstream)
	if err != nil {
		return
	}
	defer far.Close()
	done := make(chan struct{}, 1)
	go func() {
		l.copy(near, far)
		done <- struct{}{}
	}()
	l.copy(far, near)
	<-done
}

// copy carries what one end sends until it closes, then closes that direction.
func (l *link) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if zone := l.site.senderZone(buffer[:n]); zone != "" && l.loss.isLost(zone, l.zone) {
				time.Sleep(resendTime + time.Duration(rand.Int64N(int64(resendSpread))))
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

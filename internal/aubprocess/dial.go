package aubprocess

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// backendDialTimeout bounds the time to connect to a backend server. An attempt
	// whose SYN is lost fails, because the kernel retransmits a SYN only after 1 s.
	backendDialTimeout = 700 * time.Millisecond
	// tcpUserTimeout is how long sent data may stay unacknowledged before the kernel
	// closes the connection.
	tcpUserTimeout = 3 * time.Second
	// keepAliveInterval is the idle time before the first keep-alive probe and the time
	// between two probes.
	keepAliveInterval = time.Second
	// keepAliveCount is the number of unanswered probes after which the connection is
	// closed.
	keepAliveCount = 3
)

// DialBackend opens a connection that detects an unresponsive peer within seconds.
func DialBackend(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         backendDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
	return dialer.DialContext(ctx, network, address)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

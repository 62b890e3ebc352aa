package aubprocess

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// backendDialTimeout bounds a connection to a backend server; it leaves room for
	// no lost opening packet, because those are sent again after a second.
	backendDialTimeout = 700 * time.Millisecond
	// tcpUserTimeout is how long sent data may stay unacknowledged before the kernel
	// ends the connection, and probeInterval the time between keep-alive probes.
	tcpUserTimeout    = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// DialBackend opens a connection that notices a silent peer within seconds.
func DialBackend(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         backendDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
	return dialer.DialContext(ctx, network, address)
}

// setUserTimeout bounds how long a connection waits for acknowledgements.
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

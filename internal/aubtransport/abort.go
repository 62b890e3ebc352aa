package aubtransport

import (
	"net"
	"net/http"
)

// AbortResponse ends the handler of a response that can't be completed, and its connection or HTTP/2 stream. It panics with
// http.ErrAbortHandler. For a caller of HTTP/1.0, which is sent no chunks, an orderly end of the connection would complete
// the response, so that it is reset.
func AbortResponse(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection of a response.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	// Whatever wraps the connection would end it in an orderly way, such as with an alert of TLS.
	if tcp := unwrapTCP(conn); tcp != nil {
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
	_ = conn.Close()
}

// unwrapTCP returns the TCP connection that others wrap, nil without one.
func unwrapTCP(conn net.Conn) *net.TCPConn {
	for {
		if tcp, ok := conn.(*net.TCPConn); ok {
			return tcp
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
}

package aubbudget

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// firstBufferBytes is the size of the first buffer of a body.
const firstBufferBytes = 512

// maxReadBytes bounds what one read of a body charges in advance.
const maxReadBytes = 32 << 10

// maxSkippedBytes is the size of the largest body that is read for a request that was refused before, so that its
// connection can be kept.
const maxSkippedBytes = 64 << 10

// discardTime and discardBytes bound what is read of a body after its request was refused, so that the client can
// send it and read the response.
const (
	discardTime  = time.Second
	discardBytes = 8 << 20
)

// connKey is the key of the context of a connection.
type connKey struct{}

// requestKey is the key of the context of a request.
type requestKey struct{}

// netConn is a connection that wraps another one.
type netConn interface{ NetConn() net.Conn }

// unwrap returns the *Conn below a connection, nil without one.
func unwrap(conn net.Conn) *Conn {
	for {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		wrapper, ok := conn.(netConn)
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
}

// ConnContext is the ConnContext of an http.Server on a listener with a gate.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c := unwrap(conn); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// ObserveState follows the states of a server's connections.
func ObserveState(conn net.Conn, state http.ConnState) {
	if c := unwrap(conn); c != nil {
		c.observeState(state)
	}
}

// Request is what a request holds of the budget. One goroutine uses it.
type Request struct {
	share      *Share
	conn       *Conn
	controller *http.ResponseController
	body       *body
	isHTTP2    bool
}

// FromContext returns the request of a context, nil if it has none.
func FromContext(ctx context.Context) *Request {
	r, _ := ctx.Value(requestKey{}).(*Request)
	return r
}

// EndBodyBy ends the wait for the body at the time, if that is before the limit in force.
func (r *Request) EndBodyBy(t time.Time) {
	if r == nil || r.body.hasEnded || !r.body.deadline.IsZero() && r.body.deadline.Before(t) {
		return
	}
	r.body.deadline = t
	_ = r.controller.SetReadDeadline(t)
	if r.share.wasEvicted() {
		r.interrupt()
	}
}

// Grow charges n more bytes to the request, for what it is decoded to. It returns an *ExhaustedError if there is no
// room.
func (r *Request) Grow(n int64) error {
	if r == nil {
		return nil
	}
	return r.share.Grow(n)
}

// Refuse prepares the header of a refusal for what was not read of the body. The connection stays open if the rest is
// short and arrives soon; net/http reads it before the response. Else the response closes the connection and is sent
// at once.
func (r *Request) Refuse(header http.Header) {
	if r == nil || r.body.hasEnded {
		return
	}
	if r.body.hasFailed || r.body.size < 0 || r.body.size > maxSkippedBytes {
		header.Set("Connection", "close")
		return
	}
	r.EndBodyBy(time.Now().Add(discardTime))
}

// interrupt ends the read of the body. It takes no lock of the connection.
func (r *Request) interrupt() {
	if r.isHTTP2 {
		_ = r.controller.SetReadDeadline(interruptTime)
		return
	}
	_ = r.conn.TCPConn.SetReadDeadline(interruptTime)
}

// NewHandler charges the requests of a server's connections to the budget. Reads of a body fail with an
// *ExhaustedError or a *BodyTimeoutError beyond it.
func NewHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(*Conn)
		if conn == nil {
			next.ServeHTTP(w, r)
			return
		}
		serve(w, r, conn, next)
	})
}

func serve(w http.ResponseWriter, r *http.Request, conn *Conn, next http.Handler) {
	isHTTP2 := r.ProtoMajor >= 2
	share, err := conn.takeShare(isHTTP2)
	defer conn.endRequest(share)
	if err == nil {
		err = share.growTo(headCost(r))
	}
	if err != nil {
		// A client that does not read keeps the handler, and the head with it.
		clear(r.Header)
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	controller := http.NewResponseController(w)
	req := &Request{share: share, conn: conn, controller: controller, isHTTP2: isHTTP2}
	req.body = &body{ReadCloser: r.Body, request: req, size: r.ContentLength, hasEnded: r.Body == nil || r.Body == http.NoBody}
	if req.body.hasEnded {
		conn.endBody()
	} else {
		r.Body = req.body
		req.begin(conn.gate.limits().BodyTimeout)
	}
	next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestKey{}, req)))
	req.discard(w)
}

// growTo grows the share to a number of bytes.
func (s *Share) growTo(n int64) error {
	s.budget.mu.Lock()
	missing := n - s.held
	s.budget.mu.Unlock()
	if missing <= 0 {
		return nil
	}
	return s.Grow(missing)
}

// headCost returns what the head of a request costs as parsed.
func headCost(r *http.Request) int64 {
	size, lines := len(r.RequestURI)+len(r.Host), 2
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
			lines++
		}
	}
	return int64(size*headByteCost + lines*headLineCost)
}

// begin lets the request yield to others while its body is being received.
func (r *Request) begin(timeout time.Duration) {
	r.share.beginReceiving(minEvictAge, r.interrupt)
	if timeout > 0 {
		r.EndBodyBy(time.Now().Add(timeout))
	}
}

// discard reads what is left of the body of a response that closes its connection.
func (r *Request) discard(w http.ResponseWriter) {
	if r.body.hasEnded || w.Header().Get("Connection") != "close" {
		return
	}
	if r.controller.Flush() != nil || r.controller.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, r.body.ReadCloser, discardBytes)
}

// body charges the bytes of a request's body before they are read.
type body struct {
	io.ReadCloser
	request *Request
	// size is the length in bytes, negative if it is not known.
	size      int64
	deadline  time.Time
	hasEnded  bool
	hasFailed bool
}

// Read implements io.Reader.
func (b *body) Read(data []byte) (int, error) {
	if len(data) == 0 || b.hasEnded {
		return b.ReadCloser.Read(data)
	}
	data = data[:min(len(data), maxReadBytes)]
	share := b.request.share
	if err := share.Grow(int64(len(data))); err != nil {
		b.hasFailed = true
		return 0, err
	}
	n, err := b.ReadCloser.Read(data)
	share.shrink(int64(len(data) - n))
	b.hasFailed = err != nil
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, os.ErrDeadlineExceeded) && share.wasEvicted():
		return n, &ExhaustedError{}
	case errors.Is(err, os.ErrDeadlineExceeded) && !b.deadline.IsZero() && !time.Now().Before(b.deadline):
		share.budget.metrics.lateBodies.Inc(1)
		return n, &BodyTimeoutError{err: err}
	case errors.Is(err, io.EOF):
		b.end()
	}
	return n, err
}

// end notes that the body is complete.
func (b *body) end() {
	b.hasEnded = true
	b.request.share.endReceiving()
	b.request.conn.endBody()
	_ = b.request.controller.SetReadDeadline(time.Time{})
}

// shrink gives back n bytes.
func (s *Share) shrink(n int64) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if !s.isEvicted && !s.isClosed {
		s.budget.charge(s, -n)
	}
}

// ReadBody reads a body whole. Size is its length in bytes, if that is known; negative otherwise. The buffer grows
// with what has arrived.
func ReadBody(r io.Reader, size int64) ([]byte, error) {
	data := make([]byte, 0, firstBufferBytes)
	for {
		if len(data) == cap(data) {
			data = append(make([]byte, 0, nextCapacity(cap(data), size)), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, err
		}
	}
}

// nextCapacity returns twice the capacity, but at most one byte more than the size, so that the end is noticed.
func nextCapacity(capacity int, size int64) int {
	next := 2 * capacity
	if size >= int64(capacity) && int64(next) > size {
		return int(size) + 1
	}
	return next
}

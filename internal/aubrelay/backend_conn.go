package aubrelay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/auburndale/auburndale/internal/aubheader"
	"github.com/auburndale/auburndale/internal/aubresponse"
)

const (
	// connBufferBytes is the size of a connection's read buffer and of its write buffer.
	connBufferBytes = 2 << 10
	// inlineBodyBytes is the length of a request body up to which a request is written before its
	// response is read. A backend server may answer a longer one before it has read it.
	inlineBodyBytes = 8 << 10
	// maxInformational limits the informational responses before a response.
	maxInformational = 5
	// unwrittenTimeout is how long a response is awaited after a failed write. It may have been sent
	// before the backend server closed the connection.
	unwrittenTimeout = 500 * time.Millisecond
	// refusalTimeout limits the time to read the body of a refusal, while the request may be served elsewhere.
	refusalTimeout = 500 * time.Millisecond
	// maxCarriedIDs limits the requests that a connection remembers.
	maxCarriedIDs = 16
	// maxSkippedBytes limits the body of a response that is skipped.
	maxSkippedBytes = 64 << 10
)

// interruptTime is a deadline that has passed.
var interruptTime = time.Unix(1, 0)

// backendConn is an HTTP/1 connection to a backend server. One request at a time uses it; while none
// does, it waits for its end and for bytes that no request has asked for.
type backendConn struct {
	address string
	log     *unsolicitedLog
	// checked checks what is received; conn writes to it and head reads from it.
	checked *aubresponse.Conn
	conn    *sentMarker
	head    *headReader
	reader  *bufio.Reader
	writer  *bufio.Writer
	// backendID is the backend server that the last request was meant for.
	backendID string
	// carried holds the ids of the last requests on the connection; empty for HEAD.
	carried []string
	// hasSkipped is set once a response to an earlier request was skipped.
	hasSkipped bool
	// isReused is set if it has carried a request before the current one.
	isReused  bool
	idleSince time.Time

	// written is closed once the request was written without an error.
	written chan struct{}
	// stopClose keeps the end of the request's context from closing the connection. It reports false if
	// that has begun.
	stopClose func() bool
	response  *responseBody

	// tasks are done by the connection's goroutine: a watch while it is idle, or the write of a long request.
	tasks chan func()
	// watched receives whether the connection is still usable after a watch.
	watched chan bool
	closed  chan struct{}
	// closeOnce guards closed.
	closeOnce sync.Once
}

// newBackendConn returns a connection that is watched while it is idle, until it is closed.
func newBackendConn(conn net.Conn, address string, log *unsolicitedLog) *backendConn {
	checked := aubresponse.NewConn(conn)
	sent := &sentMarker{Conn: checked}
	head := &headReader{reader: checked, left: aubheader.MaxResponseBytes}
	c := &backendConn{
		address: address, log: log, checked: checked, conn: sent, head: head,
		reader: bufio.NewReaderSize(head, connBufferBytes), writer: bufio.NewWriterSize(sent, connBufferBytes),
		tasks: make(chan func(), 1), watched: make(chan bool, 1), closed: make(chan struct{}),
	}
	go func() {
		for {
			select {
			case task := <-c.tasks:
				task()
			case <-c.closed:
				return
			}
		}
	}()
	return c
}

// close closes the connection.
func (c *backendConn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.conn.Close()
	})
}

func (c *backendConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// startWatch begins to watch the connection while it is idle.
func (c *backendConn) startWatch() {
	c.isReused = true
	c.tasks <- func() {
		_, err := c.reader.Peek(1)
		isQuiet := errors.Is(err, os.ErrDeadlineExceeded)
		if !isQuiet {
			c.recordLeftover()
			c.close()
		}
		c.watched <- isQuiet
	}
}

// stopWatch ends the watch. It reports whether the connection is open and has received nothing.
func (c *backendConn) stopWatch() bool {
	_ = c.conn.SetReadDeadline(interruptTime)
	select {
	case isQuiet := <-c.watched:
		if !isQuiet {
			return false
		}
	case <-c.closed:
		return false
	}
	c.conn.begin()
	if c.conn.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	// The watch may have been ended before it began to read.
	received, isOpen := readAvailable(c.checked.NetConn())
	if len(received) > 0 {
		c.recordUnsolicited(received)
	}
	return isOpen && len(received) == 0
}

// readAvailable returns what has been received on a connection, without waiting; isOpen is false if the peer has
// closed it.
func readAvailable(conn net.Conn) (received []byte, isOpen bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, false
	}
	var buffer [connBufferBytes]byte
	n := 0
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), buffer[:])
		return true
	})
	if errors.Is(readErr, syscall.EAGAIN) {
		return nil, err == nil
	}
	return buffer[:max(n, 0)], err == nil && n > 0
}

// recordLeftover records the bytes that were received although no request awaits a response.
func (c *backendConn) recordLeftover() {
	if buffered, _ := c.reader.Peek(c.reader.Buffered()); len(buffered) > 0 {
		c.recordUnsolicited(buffered)
	}
}

// recordUnsolicited records bytes that no request awaits.
func (c *backendConn) recordUnsolicited(received []byte) {
	unsolicited := unsolicitedResponse{outcome: unsolicitedClosed, start: received}
	if resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(received)), nil); err == nil {
		unsolicited.status, unsolicited.header = resp.StatusCode, resp.Header
		_ = resp.Body.Close()
	}
	c.log.record(c, unsolicited)
}

// roundTrip sends a request and returns the response to it. The end of the request's context closes
// the connection. On an error the caller must close it.
func (c *backendConn) roundTrip(req *http.Request, backendID, callID string) (*http.Response, error) {
	if err := req.Context().Err(); err != nil {
		return nil, err
	}
	c.backendID = backendID
	if req.Method == http.MethodHead {
		// A copy of its response looks as if it had a body.
		callID = ""
	}
	c.carried = append(c.carried[max(0, len(c.carried)-maxCarriedIDs+1):], callID)
	c.stopClose = context.AfterFunc(req.Context(), c.close)
	c.written = make(chan struct{})
	if req.ContentLength <= inlineBodyBytes {
		c.write(req)
	} else {
		c.tasks <- func() { c.write(req) }
	}
	return c.readResponse(req)
}

// write writes the request. After an error only a response that was sent before it is awaited.
func (c *backendConn) write(req *http.Request) {
	err := req.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	switch {
	case err == nil:
		close(c.written)
	case c.conn.endUnsent():
		c.close()
	default:
		_ = c.conn.SetReadDeadline(time.Now().Add(unwrittenTimeout))
	}
}

// isWritten reports whether the whole request was written.
func (c *backendConn) isWritten() bool {
	select {
	case <-c.written:
		return true
	default:
		return false
	}
}

// readResponse reads the next response that is not informational.
func (c *backendConn) readResponse(req *http.Request) (*http.Response, error) {
	c.head.left = aubheader.MaxResponseBytes
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.checked.ExpectResponse(buffered); err != nil {
		return nil, err
	}
	for range maxInformational + 1 {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, c.checked.HeadError(err)
		}
		if err := aubresponse.CheckSingleHead(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		c.head.left = math.MaxInt64
		c.response = &responseBody{reader: resp.Body, resp: resp, keepsConn: !resp.Close}
		c.response.isComplete.Store(resp.Body == http.NoBody)
		resp.Body = c.response
		return resp, nil
	}
	return nil, &aubresponse.BrokenError{Fault: aubresponse.FaultHead, Err: &informationalError{count: maxInformational + 1}}
}

// hasCarried reports whether an earlier request with the id was sent on the connection.
func (c *backendConn) hasCarried(callID string) bool {
	return callID != "" && slices.Contains(c.carried[:len(c.carried)-1], callID)
}

// skipBody reads the rest of the last response. It reports whether another response may follow.
func (c *backendConn) skipBody() bool {
	if !c.response.keepsConn {
		return false
	}
	_, err := io.CopyN(io.Discard, c.response, maxSkippedBytes)
	return c.response.isComplete.Load() || errors.Is(err, io.EOF)
}

// readRefusal reads the rest of a response that states that the request did not run. It returns an error unless the whole response
// was received.
func (c *backendConn) readRefusal() error {
	_ = c.conn.SetReadDeadline(time.Now().Add(refusalTimeout))
	_, err := io.CopyN(io.Discard, c.response, maxSkippedBytes)
	switch {
	case c.response.isComplete.Load():
		return c.conn.SetReadDeadline(time.Time{})
	case err == nil:
		return &refusalSizeError{bytes: maxSkippedBytes}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &aubresponse.BrokenError{Fault: aubresponse.FaultTruncated, Err: err}
	}
	return err
}

// finish ends the use of the connection by a request whose response was read. It reports whether the
// connection can carry another request; otherwise the caller must close it.
func (c *backendConn) finish() bool {
	isKept := c.stopClose() && c.isWritten() && c.response.keepsConn && c.response.isComplete.Load() && !c.hasSkipped && !c.isClosed()
	if isKept && c.reader.Buffered() > 0 {
		c.recordLeftover()
		return false
	}
	return isKept
}

// responseBody is the body of a response. Closing it neither reads the rest nor closes the connection.
type responseBody struct {
	reader io.Reader
	resp   *http.Response
	// keepsConn is set if the backend server keeps the connection open after the response.
	keepsConn bool
	// isComplete is set once the whole body was read.
	isComplete atomic.Bool
}

// Read implements io.Reader. The error is io.EOF once the whole response was received, and *aubresponse.BrokenError if that can't be.
func (b *responseBody) Read(data []byte) (int, error) {
	n, err := b.reader.Read(data)
	if !errors.Is(err, io.EOF) {
		return n, aubresponse.BodyError(err)
	}
	if err := aubresponse.CheckTrailer(b.resp.Trailer); err != nil {
		return n, err
	}
	b.isComplete.Store(true)
	return n, io.EOF
}

// Close implements io.Closer.
func (b *responseBody) Close() error { return nil }

// headReader limits the bytes of the headers before a response's body.
type headReader struct {
	reader io.Reader
	left   int64
}

// Read implements io.Reader. Beyond the limit the error is *headSizeError.
func (r *headReader) Read(data []byte) (int, error) {
	if r.left <= 0 {
		return 0, &headSizeError{bytes: aubheader.MaxResponseBytes}
	}
	n, err := r.reader.Read(data[:min(int64(len(data)), r.left)])
	r.left -= int64(n)
	return n, err
}

// sentMarker is a connection that notes whether a part of the current request may have been
// sent.
//
// Lock order: mu is a leaf lock.
type sentMarker struct {
	net.Conn

	mu sync.Mutex
	// hasSent is set once a write has begun, isEnded once nothing more may be written.
	hasSent, isEnded bool
}

// begin starts a request.
func (m *sentMarker) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hasSent = false
}

// endUnsent reports whether nothing of the request was sent, and then makes sure that nothing
// will be.
func (m *sentMarker) endUnsent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isEnded = !m.hasSent
	return m.isEnded
}

// Write implements net.Conn.
func (m *sentMarker) Write(data []byte) (int, error) {
	m.mu.Lock()
	if m.isEnded {
		m.mu.Unlock()
		return 0, net.ErrClosed
	}
	isFirst := !m.hasSent
	m.hasSent = true
	m.mu.Unlock()
	n, err := m.Conn.Write(data)
	if n == 0 && err != nil && isFirst {
		m.begin()
	}
	return n, err
}

package aubbudget

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// headByteCost is what a byte of a head costs as parsed, headLineCost what each line costs besides: its
	// name, its value and their places in the maps of the request and of its copy for the backend server.
	headByteCost = 2
	headLineCost = 192

	// http2Preface is the first line of a connection with HTTP/2.
	http2Preface = "PRI * HTTP/2.0"
	// http2Share is the part of the budget for connections with HTTP/2, http2StreamBytes what each stream holds
	// besides its request.
	http2Share       = 0.25
	http2StreamBytes = 8 << 10
	// MaxHTTP2Streams limits the streams of one connection.
	MaxHTTP2Streams = 100
	// HTTP2BufferBytes is what the client of a connection may send beyond what is read.
	HTTP2BufferBytes = 64 << 10
)

// minIdleExtension is the least time by which the deadline of an idle connection is moved.
const minIdleExtension = 10 * time.Millisecond

// interruptTime is a deadline that has passed.
var interruptTime = time.Unix(1, 0)

// phase is what a connection waits for.
type phase int

const (
	// phaseIdle means that no byte of a request has arrived.
	phaseIdle phase = iota
	// phaseHead means that a part of a head has arrived.
	phaseHead
	// phaseBody means that the body of a request is being received, and its handler runs.
	phaseBody
	// phaseRun means that a request is complete and its handler runs.
	phaseRun
)

// Conn is a caller's connection. It charges heads to the budget before they are parsed, and enforces the limits
// of heads and idle time.
//
// Lock order: mu, then the budget's.
type Conn struct {
	*net.TCPConn
	gate *Gate

	mu    sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
	// writingSince is when the running write began; zero without one.
	writingSince time.Time
	// share is that of the head that is being read, or of the connection with HTTP/2; nil without one.
	share *Share
	// running is the share of the request whose handler runs; nil without one and with HTTP/2.
	running *Share
	// lineBytes is the size of the request line, as far as it has arrived, fieldBytes that of the header fields
	// with the empty line after them, tail the end of both.
	lineBytes  int
	fieldBytes int
	hasLine    bool
	tail       [2]byte
	firstLine  []byte
	isHTTP2    bool
	isClosed   bool
	// isInterrupted is set while the deadline of reads is one of the server's that has passed.
	isInterrupted bool
}

// NetConn returns the connection without limits.
func (c *Conn) NetConn() net.Conn { return c.TCPConn }

// waitingSince returns since when the connection waits for its client, false if it does not.
func (c *Conn) waitingSince(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.writingSince.IsZero() && now.Sub(c.writingSince) > stuckAge:
		return c.writingSince, true
	case c.phase == phaseRun, c.phase == phaseBody && now.Sub(c.since) < stuckAge:
		return time.Time{}, false
	}
	return c.since, true
}

// Read implements net.Conn. It fails with a *net.OpError if the head that it reads exceeds the limits or the budget.
func (c *Conn) Read(data []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(data)
		if n > 0 {
			if limitErr := c.observe(data[:n]); limitErr != nil {
				return 0, &net.OpError{Op: "read", Net: "tcp", Err: limitErr}
			}
		}
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendIdle() {
			return n, err
		}
	}
}

// extendIdle reports whether a connection may stay idle after its deadline, because the limit has been raised
// since, and sets the new deadline.
func (c *Conn) extendIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ownsDeadline() || c.isClosed {
		return false
	}
	if c.phase == phaseHead {
		c.countLateHead()
		return false
	}
	left := c.gate.limits().IdleTimeout - c.gate.budget.common.Timer.Now().Sub(c.since)
	if left < minIdleExtension || c.isInterrupted {
		return false
	}
	c.applyDeadline(left)
	return true
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	c.writingSince = c.gate.budget.common.Timer.Now()
	if c.running != nil {
		c.running.beginWriting(c.writingSince, func() { _ = c.SetDeadline(interruptTime) })
	}
	c.mu.Unlock()
	n, err := c.TCPConn.Write(data)
	c.mu.Lock()
	c.writingSince = time.Time{}
	if c.running != nil {
		c.running.endWriting()
	}
	c.mu.Unlock()
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	isFirst := !c.isClosed
	c.isClosed = true
	share := c.share
	c.share = nil
	c.mu.Unlock()
	if isFirst {
		if share != nil {
			share.release()
		}
		c.gate.remove(c)
	}
	return c.TCPConn.Close()
}

// SetReadDeadline implements net.Conn. While the connection waits for a head, its own deadlines apply; only one
// that has passed, which interrupts a read, is set.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ownsDeadline() && (t.IsZero() || time.Until(t) > 0) {
		return nil
	}
	c.isInterrupted = !t.IsZero() && time.Until(t) <= 0
	return c.TCPConn.SetReadDeadline(t)
}

// ownsDeadline reports whether the limits determine the deadline of a read; the caller holds mu.
func (c *Conn) ownsDeadline() bool {
	return !c.isOpaque() && !c.isHTTP2 && c.phase <= phaseHead
}

// isOpaque reports whether the bytes of the connection are not those of HTTP/1.
func (c *Conn) isOpaque() bool { return c.gate.opts.IsEncrypted || c.gate.opts.IsInternal }

// applyDeadline ends reads after the time; 0 means never.
func (c *Conn) applyDeadline(after time.Duration) {
	if c.isOpaque() {
		return
	}
	deadline := time.Time{}
	if after > 0 {
		deadline = time.Now().Add(after)
	}
	_ = c.TCPConn.SetReadDeadline(deadline)
}

// countLateHead counts a head that did not arrive in time; the caller holds mu.
func (c *Conn) countLateHead() {
	if c.share == nil || c.share.wasEvicted() {
		return
	}
	c.gate.budget.count(func(e *events) { e.lateHeads++ })
	c.gate.budget.metrics.lateHeads.Inc(1)
}

// observe charges the bytes of a head and looks for its end.
func (c *Conn) observe(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gate.opts.IsInternal {
		c.phase = phaseRun
	}
	if !c.ownsDeadline() {
		return nil
	}
	if c.isClosed {
		return net.ErrClosed
	}
	limits := c.gate.limits()
	if c.phase == phaseIdle {
		c.beginHead(limits)
	}
	end, lines := c.scan(data)
	c.countHead(data[:end])
	if limits.MaxHeadBytes > 0 && max(c.lineBytes, c.fieldBytes) > limits.MaxHeadBytes {
		c.gate.budget.count(func(e *events) { e.largeHeads++ })
		c.gate.budget.metrics.largeHeads.Inc(1)
		c.refuse(refusedHead)
		return errLargeHead
	}
	if err := c.share.Grow(int64(len(data)*headByteCost + lines*headLineCost)); err != nil {
		c.refuse(refusedConnection)
		return err
	}
	if c.phase == phaseRun {
		return c.endHead()
	}
	return nil
}

var errLargeHead = errors.New("head is larger than allowed")

// beginHead begins to charge a head; the caller holds mu.
func (c *Conn) beginHead(limits Limits) {
	c.phase, c.since, c.isInterrupted = phaseHead, c.gate.budget.common.Timer.Now(), false
	c.lineBytes, c.fieldBytes, c.hasLine, c.tail, c.firstLine = 0, -len("\r\n"), false, [2]byte{}, c.firstLine[:0]
	c.share = c.gate.budget.newShare(c.since)
	c.share.beginReceiving(minEvictAge, func() { _ = c.TCPConn.SetReadDeadline(interruptTime) })
	c.applyDeadline(limits.HeadTimeout)
}

// countHead counts the bytes of the request line and those of the header fields; the caller holds mu.
func (c *Conn) countHead(data []byte) {
	if !c.hasLine {
		i := bytes.IndexByte(data, '\n') + 1
		c.hasLine = i > 0
		if !c.hasLine {
			i = len(data)
		}
		c.lineBytes += i
		data = data[i:]
	}
	c.fieldBytes += len(data)
}

// scan returns the number of bytes up to the end of the head, or of all, and the number of all lines. At the end
// of the head the phase becomes phaseRun. The caller holds mu.
func (c *Conn) scan(data []byte) (end, lines int) {
	if missing := len(http2Preface) - len(c.firstLine); missing > 0 {
		c.firstLine = append(c.firstLine, data[:min(missing, len(data))]...)
	}
	end, lines = len(data), bytes.Count(data, []byte{'\n'})
	for i := 0; i < len(data); {
		offset := bytes.IndexByte(data[i:], '\n')
		if offset < 0 {
			break
		}
		i += offset
		before := c.tail
		if i >= 1 {
			before[1] = data[i-1]
		}
		if i >= 2 {
			before[0] = data[i-2]
		} else if i == 1 {
			before[0] = c.tail[1]
		}
		if before[1] == '\n' || before == [2]byte{'\n', '\r'} {
			c.phase = phaseRun
			return i + 1, lines
		}
		i++
	}
	switch n := len(data); n {
	case 0:
	case 1:
		c.tail = [2]byte{c.tail[1], data[0]}
	default:
		c.tail = [2]byte{data[n-2], data[n-1]}
	}
	return end, lines
}

// endHead gives the read deadline back to net/http, and reserves what a connection with HTTP/2 holds. The caller
// holds mu.
func (c *Conn) endHead() error {
	c.since = c.gate.budget.common.Timer.Now()
	_ = c.TCPConn.SetReadDeadline(time.Time{})
	c.share.endReceiving()
	if string(c.firstLine) != http2Preface {
		return nil
	}
	return c.beginHTTP2()
}

// beginHTTP2 reserves what a connection with HTTP/2 holds besides its requests; the caller holds mu.
func (c *Conn) beginHTTP2() error {
	c.isHTTP2 = true
	c.dropShare()
	c.share = c.gate.budget.newShare(c.since)
	if !c.gate.budget.reserveHTTP2(c.share, MaxHTTP2Streams*http2StreamBytes+HTTP2BufferBytes) {
		return &ExhaustedError{Wanted: MaxHTTP2Streams*http2StreamBytes + HTTP2BufferBytes}
	}
	return nil
}

// refuse tells the client why its connection ends; the caller holds mu.
func (c *Conn) refuse(response string) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	_, _ = c.TCPConn.Write([]byte(response))
}

// observeState follows the state of the connection in the server.
func (c *Conn) observeState(state http.ConnState) {
	if state == http.StateHijacked {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.phase, c.since = phaseIdle, c.gate.budget.common.Timer.Now()
		if !c.isHTTP2 {
			c.isInterrupted = false
			c.dropShare()
			c.applyDeadline(c.gate.limits().IdleTimeout)
		}
	case http.StateActive:
		if c.isHTTP2 || c.gate.opts.IsEncrypted {
			c.phase, c.since = phaseRun, c.gate.budget.common.Timer.Now()
		}
	}
}

// dropShare releases the share of a head; the caller holds mu.
func (c *Conn) dropShare() {
	if c.share != nil {
		c.share.release()
		c.share = nil
	}
}

// takeShare passes the share of the head to the handler of its request. A head that had arrived with the request
// before has none yet. Whoever calls it calls endRequest.
func (c *Conn) takeShare(isHTTP2 bool) (*Share, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.gate.budget.common.Timer.Now()
	if isHTTP2 {
		var err error
		if !c.isHTTP2 {
			err = c.beginHTTP2()
		}
		return c.gate.budget.newShare(now), err
	}
	share := c.share
	if share == nil {
		share = c.gate.budget.newShare(now)
	}
	share.endReceiving()
	if c.ownsDeadline() {
		_ = c.TCPConn.SetReadDeadline(time.Time{})
	}
	c.share, c.running = nil, share
	c.phase, c.since = phaseBody, now
	return share, nil
}

// endRequest releases what a request holds.
func (c *Conn) endRequest(share *Share) {
	c.mu.Lock()
	if c.running == share {
		c.running = nil
	}
	c.mu.Unlock()
	share.release()
}

// endBody notes that the request is complete.
func (c *Conn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseBody {
		c.phase = phaseRun
	}
}

package aublog

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity bounds the lines that wait to be written.
	queueCapacity = 4096
	// flushTimeout bounds how long the end of a process waits for its last lines.
	flushTimeout = time.Second
)

// Queue writes lines in the background. It never blocks its callers: lines that
// find no room are dropped and counted in a line of their own.
type Queue struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
}

// NewQueue returns a queue that writes to w until it is closed.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{w: w, lines: make(chan []byte, queueCapacity), closing: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for {
			select {
			case line := <-q.lines:
				q.write(line)
			case <-q.closing:
				q.drain()
				return
			}
		}
	}()
	return q
}

// drain writes what waits at the end.
func (q *Queue) drain() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		default:
			return
		}
	}
}

// Write implements io.Writer for one line. It fails never.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped and not reported yet.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes the lines that wait, for a bounded time. Later ones are lost.
func (q *Queue) Close() {
	close(q.closing)
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
}

func (q *Queue) write(line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		report := `{"level":"warn","part":"log","msg":"Log lines were dropped.","dropped":` + strconv.FormatInt(n, 10) + "}\n"
		// A failed write of the log has nowhere to be reported.
		_, _ = io.WriteString(q.w, report)
	}
	_, _ = q.w.Write(line)
}

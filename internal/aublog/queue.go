package aublog

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the maximum number of lines that wait to be written.
	queueCapacity = 4096
	// flushTimeout limits how long Close waits until the last lines are written.
	flushTimeout = time.Second
)

// Queue is an io.Writer that writes log lines in the background. It never blocks
// its callers: while it is full, lines are dropped. The next line that it writes
// is preceded by a line with the number of dropped ones.
type Queue struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
	// closeOnce guards closing.
	closeOnce sync.Once
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

// drain writes the lines that are still in the queue when it is closed.
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

// Write implements io.Writer for one line. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that are not reported yet.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes the waiting lines for at most flushTimeout. Later lines are lost. It may be
// called again.
func (q *Queue) Close() {
	q.closeOnce.Do(func() { close(q.closing) })
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
}

func (q *Queue) write(line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		report := `{"level":"warn","part":"log","msg":"Log lines were dropped.","dropped":` + strconv.FormatInt(n, 10) + "}\n"
		// There is nowhere to report a failed write of the log.
		_, _ = io.WriteString(q.w, report)
	}
	_, _ = q.w.Write(line)
}

package aublog_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aublog"
)

// blockedWriter blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func TestQueueNeverBlocksAndCountsDrops(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	q := aublog.NewQueue(w)
	const lines = 10000
	for i := range lines {
		_, err := fmt.Fprintf(q, "line %d\n", i)
		qt.Assert(t, err, qt.IsNil)
	}
	dropped := q.Dropped()
	qt.Assert(t, dropped > 0, qt.IsTrue)
	close(w.release)
	q.Close()
	text := w.buf.String()
	qt.Assert(t, text, qt.Contains, fmt.Sprintf(`"dropped":%d`, dropped))
	qt.Assert(t, int64(strings.Count(text, "line ")), qt.Equals, lines-dropped)
}

func TestQueueKeepsOrder(t *testing.T) {
	var buf bytes.Buffer
	q := aublog.NewQueue(&buf)
	for i := range 5 {
		fmt.Fprintf(q, "%d\n", i)
	}
	q.Close()
	qt.Assert(t, buf.String(), qt.Equals, "0\n1\n2\n3\n4\n")
}

func TestQueueCanBeClosedTwice(t *testing.T) {
	var buf bytes.Buffer
	q := aublog.NewQueue(&buf)
	_, err := q.Write([]byte("line\n"))
	qt.Assert(t, err, qt.IsNil)
	q.Close()
	q.Close()
	qt.Assert(t, buf.String(), qt.Equals, "line\n")
}

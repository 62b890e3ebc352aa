package aubrelay

import (
	"errors"
	"io"
	"sync"
)

const (
	// maxBufferedTotal limits what all responses together hold in buffers, beyond freeBufferBytes for
	// each of them.
	maxBufferedTotal = 16 << 20
	// freeBufferBytes is what each response may hold in any case, bufferStepBytes the step in which it
	// takes more.
	freeBufferBytes = 32 << 10
	bufferStepBytes = 32 << 10
)

// bufferBudget limits the bytes of responses that a relay holds. Each response is limited as well, but
// a backend server in trouble may send many at once.
//
// Lock order: mu is taken alone.
type bufferBudget struct {
	mu   sync.Mutex
	left int64
}

func newBufferBudget(limit int64) *bufferBudget { return &bufferBudget{left: limit} }

// take takes the bytes and reports whether there were enough.
func (b *bufferBudget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < n {
		return false
	}
	b.left -= n
	return true
}

func (b *bufferBudget) put(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += n
}

// bufferShare is the part of the budget that one response has taken. One goroutine uses it.
type bufferShare struct {
	budget *bufferBudget
	taken  int64
}

// grow takes as much as a buffer of the size needs and reports whether it may become as large.
func (s *bufferShare) grow(size int) bool {
	missing := int64(size) - freeBufferBytes - s.taken
	if missing <= 0 {
		return true
	}
	steps := (missing + bufferStepBytes - 1) / bufferStepBytes * bufferStepBytes
	if !s.budget.take(steps) {
		return false
	}
	s.taken += steps
	return true
}

// release gives back what was taken.
func (s *bufferShare) release() {
	s.budget.put(s.taken)
	s.taken = 0
}

// readBuffered reads up to the limit, or as much as the budget allows. It reports whether r has ended.
func (s *bufferShare) readBuffered(r io.Reader, limit int) (data []byte, hasEnded bool, err error) {
	for len(data) < limit && s.grow(len(data)+1) {
		room := min(limit, int(s.taken)+freeBufferBytes)
		if cap(data) < room {
			data = append(make([]byte, 0, min(max(2*cap(data), 512), room)), data...)
		}
		n, err := r.Read(data[len(data):min(cap(data), room)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, true, nil
		case err != nil:
			return data, false, err
		}
	}
	return data, false, nil
}

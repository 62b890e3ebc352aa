package auborder

import "sync"

// flights joins concurrent calls with the same key. The zero value is ready for use.
//
// Lock order: mu is taken alone.
type flights[T any] struct {
	mu      sync.Mutex
	running map[string]*flight[T]
}

// flight is one call; value is set before done is closed.
type flight[T any] struct {
	done  chan struct{}
	value T
}

// join returns the running call with the key, or starts work by spawn.
func (f *flights[T]) join(key string, spawn func(work func()), work func() T) *flight[T] {
	f.mu.Lock()
	defer f.mu.Unlock()
	if running := f.running[key]; running != nil {
		return running
	}
	started := &flight[T]{done: make(chan struct{})}
	if f.running == nil {
		f.running = make(map[string]*flight[T])
	}
	f.running[key] = started
	spawn(func() {
		defer f.end(key, started)
		started.value = work()
	})
	return started
}

func (f *flights[T]) end(key string, ended *flight[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, key)
	close(ended.done)
}

package aubstandin

import (
	"cmp"
	"slices"
	"sync"

	"github.com/auburndale/auburndale/internal/aubengine"
)

// memory holds the items in the accelerator's memory. It records overcommitment
// but doesn't prevent it, because preventing it is the task of the agent.
type memory struct {
	mu       sync.Mutex
	capacity int64
	items    map[string]aubengine.Item
	recorder *statsRecorder
}

func newMemory(capacity int64, rec *statsRecorder) *memory {
	return &memory{capacity: capacity, items: make(map[string]aubengine.Item), recorder: rec}
}

// add adds an item. It returns false and changes nothing if there is an item of that name.
func (m *memory) add(item aubengine.Item) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.items[item.Name]; ok {
		return false
	}
	m.items[item.Name] = item
	m.recordUsage()
	return true
}

// transition changes the state of an item from one to another. It returns false
// if the item is absent or in another state than from.
func (m *memory) transition(name string, from, to aubengine.ItemState) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	item, ok := m.items[name]
	if !ok || item.State != from {
		return false
	}
	item.State = to
	m.items[name] = item
	return true
}

func (m *memory) remove(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.items, name)
	m.recordUsage()
}

func (m *memory) clear() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.items)
	m.recordUsage()
}

func (m *memory) get(name string) (aubengine.Item, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	item, ok := m.items[name]
	return item, ok
}

func (m *memory) list() []aubengine.Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := make([]aubengine.Item, 0, len(m.items))
	for _, item := range m.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b aubengine.Item) int { return cmp.Compare(a.Name, b.Name) })
	return items
}

// recordUsage updates the memory statistics; mu is held.
func (m *memory) recordUsage() {
	var used int64
	for _, item := range m.items {
		used += item.MemoryBytes
	}
	m.recorder.update(func(s *Stats) {
		s.MemoryUsedBytes = used
		s.MemoryPeakBytes = max(s.MemoryPeakBytes, used)
		s.Overcommitted = s.Overcommitted || used > m.capacity
	})
}

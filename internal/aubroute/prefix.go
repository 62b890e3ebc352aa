package aubroute

import (
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxPrefixes bounds the prompt blocks remembered over all members.
	maxPrefixes = 1 << 16
	// maxPrefixHolders bounds the members remembered for one block.
	maxPrefixHolders = 4
)

// CacheEvent is what an engine tells of its prompt cache. Events come late and
// with gaps.
type CacheEvent struct {
	// Sequence numbers the events of one member incarnation from 1.
	Sequence uint64
	Stored   []uint64
	Evicted  []uint64
	// Cleared is set when the whole cache was dropped.
	Cleared bool
}

// prefixTable remembers which members are believed to hold which prompt blocks.
// A wrong belief costs time, never correctness. One goroutine at a time uses it.
type prefixTable struct {
	blocks *lru.LRU[uint64, prefixHolders]
}

// prefixHolders are the members of one block, newest first.
type prefixHolders []prefixHolder

// prefixHolder names a member and the epoch of its cache. A new epoch voids all
// that was believed of the member.
type prefixHolder struct {
	name  string
	epoch uint64
}

func newPrefixTable() *prefixTable {
	// The only error of NewLRU is a size that is not positive.
	blocks, _ := lru.NewLRU[uint64, prefixHolders](maxPrefixes, nil)
	return &prefixTable{blocks: blocks}
}

// store notes that the member holds the blocks.
func (t *prefixTable) store(h prefixHolder, blocks []uint64) {
	for _, block := range blocks {
		held, _ := t.blocks.Get(block)
		next := prefixHolders{h}
		for _, other := range held {
			if other.name != h.name && len(next) < maxPrefixHolders {
				next = append(next, other)
			}
		}
		t.blocks.Add(block, next)
	}
}

// evict notes that the member no longer holds the blocks.
func (t *prefixTable) evict(name string, blocks []uint64) {
	for _, block := range blocks {
		held, ok := t.blocks.Peek(block)
		if !ok {
			continue
		}
		var next prefixHolders
		for _, other := range held {
			if other.name != name {
				next = append(next, other)
			}
		}
		if len(next) == 0 {
			t.blocks.Remove(block)
			continue
		}
		t.blocks.Add(block, next)
	}
}

// cached returns how many of the leading blocks the member is believed to hold.
func (t *prefixTable) cached(h prefixHolder, blocks []uint64) int {
	for n := len(blocks); n > 0; n-- {
		held, _ := t.blocks.Peek(blocks[n-1])
		for _, other := range held {
			if other == h {
				return n
			}
		}
	}
	return 0
}

// holders returns the members that hold the longest prefix.
func (t *prefixTable) holders(blocks []uint64) prefixHolders {
	for n := len(blocks); n > 0; n-- {
		if held, ok := t.blocks.Get(blocks[n-1]); ok {
			return held
		}
	}
	return nil
}

// homeOf returns the holder that all instances prefer for a shared prompt part, by
// rendezvous hashing: copies then keep different prompts, and a copy that comes or
// goes moves only its own.
func homeOf(h *holders, request Request) string {
	home, highest := "", uint64(0)
	if request.SharedTokens == 0 {
		return home
	}
	for i := range h.len() {
		name := h.at(i)
		if score := rendezvous(request.Shared, name); home == "" || score > highest {
			home, highest = name, score
		}
	}
	return home
}

func rendezvous(shared uint64, name string) uint64 {
	d := xxhash.NewWithSeed(shared)
	// Writing to a hash never fails.
	_, _ = d.WriteString(name)
	return d.Sum64()
}

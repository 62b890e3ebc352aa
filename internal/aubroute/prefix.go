package aubroute

import (
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxPrefixes is the maximum number of prompt blocks recorded over all members.
	maxPrefixes = 1 << 16
	// maxPrefixHolders is the maximum number of members recorded for one block.
	maxPrefixHolders = 4
)

// CacheEvent is a change of an engine's prompt cache. Events can be delayed, duplicated
// or lost.
type CacheEvent struct {
	// Sequence numbers the events of one member incarnation from 1.
	Sequence uint64
	// Stored and Evicted are hashes of blocks, see Request.PrefixHashes.
	Stored  []uint64
	Evicted []uint64
	// Cleared is set when the complete cache was dropped.
	Cleared bool
}

// prefixTable records which members are expected to have which prompt blocks in their
// cache. A wrong record costs time, never correctness. It is not safe for concurrent
// use.
type prefixTable struct {
	blocks *lru.LRU[uint64, prefixHolders]
}

// prefixHolders are the members recorded for one block, newest first.
type prefixHolders []prefixHolder

// prefixHolder identifies a member and the epoch of its cache. A new epoch invalidates
// all earlier records of the member.
type prefixHolder struct {
	name  string
	epoch uint64
}

func newPrefixTable() *prefixTable {
	// NewLRU fails only for a size that is not positive.
	blocks, _ := lru.NewLRU[uint64, prefixHolders](maxPrefixes, nil)
	return &prefixTable{blocks: blocks}
}

// store records that the member has the blocks.
func (t *prefixTable) store(newest prefixHolder, blocks []uint64) {
	for _, block := range blocks {
		recorded, _ := t.blocks.Get(block)
		updated := prefixHolders{newest}
		for _, holder := range recorded {
			if holder.name != newest.name && len(updated) < maxPrefixHolders {
				updated = append(updated, holder)
			}
		}
		t.blocks.Add(block, updated)
	}
}

// evict records that the member no longer has the blocks.
func (t *prefixTable) evict(name string, blocks []uint64) {
	for _, block := range blocks {
		recorded, ok := t.blocks.Peek(block)
		if !ok {
			continue
		}
		var remaining prefixHolders
		for _, holder := range recorded {
			if holder.name != name {
				remaining = append(remaining, holder)
			}
		}
		if len(remaining) == 0 {
			t.blocks.Remove(block)
			continue
		}
		t.blocks.Add(block, remaining)
	}
}

// cached returns the number of leading blocks that the member is expected to have.
func (t *prefixTable) cached(holder prefixHolder, blocks []uint64) int {
	for n := len(blocks); n > 0; n-- {
		recorded, _ := t.blocks.Peek(blocks[n-1])
		for _, candidate := range recorded {
			if candidate == holder {
				return n
			}
		}
	}
	return 0
}

// holders returns the members recorded for the longest prefix.
func (t *prefixTable) holders(blocks []uint64) prefixHolders {
	for n := len(blocks); n > 0; n-- {
		if recorded, ok := t.blocks.Get(blocks[n-1]); ok {
			return recorded
		}
	}
	return nil
}

// ownerOf returns the owner of the request's shared prefix, empty if it has none: the
// holder that all instances prefer, chosen by rendezvous hashing. The copies of a model
// thus cache different prompts, and a copy that is added or removed changes the owner
// of its own prompts only.
func ownerOf(targetHolders *holders, request Request) string {
	owner, maxScore := "", uint64(0)
	if request.SharedTokens == 0 {
		return owner
	}
	for i := range targetHolders.len() {
		name := targetHolders.at(i)
		if score := rendezvousScore(request.SharedHash, name); owner == "" || score > maxScore {
			owner, maxScore = name, score
		}
	}
	return owner
}

// rendezvousScore returns the score of the member for the shared prefix.
func rendezvousScore(shared uint64, name string) uint64 {
	digest := xxhash.NewWithSeed(shared)
	// Writing to a hash never fails.
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

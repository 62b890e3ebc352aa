package aubstandin

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/auburndale/auburndale/internal/aubengine"
)

const (
	// cacheBlockTokens is the granularity of the prefix cache in tokens.
	cacheBlockTokens = 16
	cacheBlockBytes  = cacheBlockTokens * bytesPerToken
	// maxCacheEvents bounds the buffered cache events; the oldest are dropped.
	maxCacheEvents = 4096
)

// timedEvent is a cache event with its time, for delayed publication.
type timedEvent struct {
	createdAt time.Time
	event     aubengine.CacheEvent
}

// prefixCache is an LRU cache of the prompt prefixes that were computed, in
// blocks of cacheBlockTokens. A nil cache holds nothing.
type prefixCache struct {
	mu sync.Mutex
	// blocks maps the hash of a prefix to its model.
	blocks   *simplelru.LRU[uint64, string]
	sequence uint64
	events   []timedEvent
	// now and eventGap are those of the current lookupAndInsert, for evictions.
	now      time.Time
	eventGap uint64
}

// newPrefixCache returns a cache for the given number of tokens, or nil if that
// is less than a block.
func newPrefixCache(tokens int64) *prefixCache {
	maxBlocks := int(tokens / cacheBlockTokens)
	if maxBlocks <= 0 {
		return nil
	}
	cache := &prefixCache{}
	lru, err := simplelru.NewLRU(maxBlocks, func(prefix uint64, model string) { cache.publish(prefix, model, true) })
	if err != nil {
		return nil
	}
	cache.blocks = lru
	return cache
}

// lookupAndInsert returns how many leading tokens of the prompt were cached and
// caches the rest. Every eventGap-th cache event is dropped; 0 drops none.
func (c *prefixCache) lookupAndInsert(model, prompt string, now time.Time, eventGap uint64) int64 {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now, c.eventGap = now, eventGap
	var cached int64
	hit := true
	for end := cacheBlockBytes; end <= len(prompt); end += cacheBlockBytes {
		prefix := xxhash.Sum64String(model + "\x00" + prompt[:end])
		_, present := c.blocks.Get(prefix)
		hit = hit && present
		if hit {
			cached += cacheBlockTokens
		}
		if !present {
			c.blocks.Add(prefix, model)
			c.publish(prefix, model, false)
		}
	}
	return cached
}

// publish appends a cache event unless eventGap drops it; mu is held.
func (c *prefixCache) publish(prefix uint64, model string, evicted bool) {
	c.sequence++
	if c.eventGap > 0 && c.sequence%c.eventGap == 0 {
		return
	}
	event := aubengine.CacheEvent{
		Sequence: c.sequence,
		Model:    model,
		Prefix:   strconv.FormatUint(prefix, 16),
		Evicted:  evicted,
	}
	c.events = append(c.events, timedEvent{createdAt: c.now, event: event})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events with a sequence number above after that are at least lag old.
func (c *prefixCache) eventsAfter(after uint64, now time.Time, lag time.Duration) []aubengine.CacheEvent {
	events := []aubengine.CacheEvent{}
	if c == nil {
		return events
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.events {
		if e.event.Sequence > after && now.Sub(e.createdAt) >= lag {
			events = append(events, e.event)
		}
	}
	return events
}

func (c *prefixCache) clear() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks.Purge()
}

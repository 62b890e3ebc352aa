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
	// cacheBlockTokens is the granularity of the prefix cache.
	cacheBlockTokens = 16
	cacheBlockBytes  = cacheBlockTokens * bytesPerToken
	maxCacheEvents   = 4096
)

type timedEvent struct {
	createdAt time.Time
	event     aubengine.CacheEvent
}

// prefixCache remembers which prompt prefixes were computed, in blocks.
type prefixCache struct {
	mu       sync.Mutex
	blocks   *simplelru.LRU[uint64, string]
	sequence uint64
	events   []timedEvent
	now      time.Time
	eventGap uint64
}

// newPrefixCache returns a cache for the given number of tokens; nil for none.
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

// lookupAndInsert returns the tokens of the prompt that were cached and caches the rest.
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

// eventsAfter returns the events after a sequence that are at least lag old.
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

package standin

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
)

// prefixCache models the prefix cache of an engine. It holds pieces of prompts, each
// identified by the digest of the cache salt and the prompt up to the end of the
// piece, and evicts the least recently used one first. The engine's mutex guards it.
type prefixCache struct {
	pieceBytes int
	capacity   int // pieces
	lru        *list.List
	pieces     map[uint64]*list.Element
	events     []publishedEvent
	sequence   uint64
}

type publishedEvent struct {
	engine.CacheEvent
	publishedAt time.Time
}

// maxCacheEvents bounds the events kept for readers. Older ones are dropped.
const maxCacheEvents = 8192

func newPrefixCache(pieceBytes, capacity int) *prefixCache {
	return &prefixCache{
		pieceBytes: pieceBytes, capacity: capacity,
		lru: list.New(), pieces: make(map[uint64]*list.Element),
	}
}

// lookupAndInsert inserts the missing pieces of a prompt. It returns the length in
// bytes of the prefix that was cached before.
func (c *prefixCache) lookupAndInsert(salt string, prompt []byte) int {
	digest := xxhash.New()
	_, _ = digest.WriteString(salt)
	cachedBytes, matching := 0, true
	for start := 0; start+c.pieceBytes <= len(prompt); start += c.pieceBytes {
		_, _ = digest.Write(prompt[start : start+c.pieceBytes])
		if !c.touch(digest.Sum64()) {
			matching = false
		}
		if matching {
			cachedBytes += c.pieceBytes
		}
	}
	return cachedBytes
}

// touch marks a piece as used and reports whether it was cached. A missing piece is
// inserted.
func (c *prefixCache) touch(digest uint64) bool {
	if element, ok := c.pieces[digest]; ok {
		c.lru.MoveToFront(element)
		return true
	}
	c.pieces[digest] = c.lru.PushFront(digest)
	c.publish(digest, false)
	for c.lru.Len() > c.capacity {
		oldest := c.lru.Back()
		evicted := c.lru.Remove(oldest).(uint64)
		delete(c.pieces, evicted)
		c.publish(evicted, true)
	}
	return false
}

func (c *prefixCache) publish(digest uint64, evicted bool) {
	c.sequence++
	c.events = append(c.events, publishedEvent{
		CacheEvent: engine.CacheEvent{Sequence: c.sequence, Digest: digest, Evicted: evicted}, publishedAt: time.Now(),
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsSince returns the events after a sequence number that were published no
// later than limit.
func (c *prefixCache) eventsSince(after uint64, limit time.Time) []engine.CacheEvent {
	events := []engine.CacheEvent{}
	for _, event := range c.events {
		if event.Sequence > after && !event.publishedAt.After(limit) {
			events = append(events, event.CacheEvent)
		}
	}
	return events
}

package standin

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
)

// prefixCache models the prefix cache of an engine: pieces of prompts, each
// identified by a digest of everything up to its end, evicted least recently
// used first.
type prefixCache struct {
	pieceBytes int
	capacity   int // pieces
	order      *list.List
	pieces     map[uint64]*list.Element
	events     []publishedEvent
	sequence   uint64
}

type publishedEvent struct {
	engine.CacheEvent
	at time.Time
}

// maxCacheEvents bounds the events kept for readers. Older ones are lost.
const maxCacheEvents = 8192

func newPrefixCache(pieceBytes, capacity int) *prefixCache {
	return &prefixCache{
		pieceBytes: pieceBytes, capacity: capacity,
		order: list.New(), pieces: make(map[uint64]*list.Element),
	}
}

// use looks a prompt up and inserts what is missing. It returns the number of
// bytes that were found.
func (c *prefixCache) use(salt string, prompt []byte) int {
	digest := xxhash.New()
	_, _ = digest.WriteString(salt)
	hit, matching := 0, true
	for start := 0; start+c.pieceBytes <= len(prompt); start += c.pieceBytes {
		_, _ = digest.Write(prompt[start : start+c.pieceBytes])
		if !c.touch(digest.Sum64()) {
			matching = false
		}
		if matching {
			hit += c.pieceBytes
		}
	}
	return hit
}

// touch marks a piece as used and reports whether it was cached.
func (c *prefixCache) touch(digest uint64) bool {
	if element, ok := c.pieces[digest]; ok {
		c.order.MoveToFront(element)
		return true
	}
	c.pieces[digest] = c.order.PushFront(digest)
	c.publish(digest, false)
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		evicted := c.order.Remove(oldest).(uint64)
		delete(c.pieces, evicted)
		c.publish(evicted, true)
	}
	return false
}

func (c *prefixCache) publish(digest uint64, evicted bool) {
	c.sequence++
	c.events = append(c.events, publishedEvent{
		CacheEvent: engine.CacheEvent{Sequence: c.sequence, Digest: digest, Evicted: evicted}, at: time.Now(),
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// since returns the events after a sequence number that are at least as old as
// limit.
func (c *prefixCache) since(after uint64, limit time.Time) []engine.CacheEvent {
	events := []engine.CacheEvent{}
	for _, event := range c.events {
		if event.Sequence > after && !event.at.After(limit) {
			events = append(events, event.CacheEvent)
		}
	}
	return events
}

package replay

import (
	"container/list"
	"time"

	protocol "lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// The engine model. Times are in microseconds.
const (
	prefillTimePerToken = 50 // for a prompt token that is not cached
	decodeTimePerToken  = 20_000
	maxBatchSize        = 32        // further requests wait in the engine
	maxCachedPieces     = 160       // small enough to be replaced within seconds under load
	connectFailureDelay = 1_000     // until a router detects a refused connection
	crashDetectionDelay = 50_000    // until a router detects a broken stream
	reportInterval      = 1_000_000 // between reads of the engines' loads
	microsPerSecond     = int64(time.Second / 1e3)
)

// lruCache is the prefix cache of an engine. It evicts the least recently used piece.
type lruCache struct {
	recency *list.List
	pieces  map[uint64]*list.Element
	// holders is the number of engines that have a piece cached. All caches share it.
	holders map[uint64]int
	// events holds the cache events since the last report.
	events   []protocol.CacheEvent
	sequence uint64
}

func newLRUCache(holders map[uint64]int) *lruCache {
	return &lruCache{recency: list.New(), pieces: make(map[uint64]*list.Element), holders: holders}
}

// cachedPrefixLength returns the number of leading pieces that are cached.
func (c *lruCache) cachedPrefixLength(digests []uint64) int {
	for k, digest := range digests {
		if c.pieces[digest] == nil {
			return k
		}
	}
	return len(digests)
}

// touch adds the pieces to the cache or marks them as most recently used. The first
// piece is touched last, because engines evict a prefix after its continuations.
func (c *lruCache) touch(digests []uint64) {
	for k := len(digests) - 1; k >= 0; k-- {
		if element := c.pieces[digests[k]]; element != nil {
			c.recency.MoveToFront(element)
			continue
		}
		c.pieces[digests[k]] = c.recency.PushFront(digests[k])
		c.holders[digests[k]]++
		c.recordEvent(digests[k], false)
	}
	for c.recency.Len() > maxCachedPieces {
		c.evict(c.recency.Back())
	}
}

func (c *lruCache) evict(element *list.Element) {
	digest := c.recency.Remove(element).(uint64)
	delete(c.pieces, digest)
	c.recordEvent(digest, true)
	if c.holders[digest]--; c.holders[digest] == 0 {
		delete(c.holders, digest)
	}
}

// recordEvent adds a cache event to the next report.
func (c *lruCache) recordEvent(digest uint64, evicted bool) {
	c.sequence++
	c.events = append(c.events, protocol.CacheEvent{Sequence: c.sequence, Digest: digest, Evicted: evicted})
}

// clear empties the cache and its event sequence, as a restart does.
func (c *lruCache) clear() {
	for c.recency.Len() > 0 {
		c.evict(c.recency.Back())
	}
	c.events, c.sequence = nil, 0
}

// engine models an engine that computes prompts one at a time and generates the
// output of up to maxBatchSize requests concurrently.
type engine struct {
	up               bool
	incarnation      int
	cache            *lruCache
	prefillBusyUntil int64 // Unix time in microseconds at which all running prompts are computed
	running          []*job
	waiting          []*job
	waitingTokens    int
}

// prefillBacklog returns the time until the prefill of a new prompt can start, if no
// waiting prompt is cached.
func (e *engine) prefillBacklog(now int64) int64 {
	return max(0, e.prefillBusyUntil-now) + int64(e.waitingTokens)*prefillTimePerToken
}

func (e *engine) load(now int64) target.Load {
	return target.Load{
		Running: len(e.running), Waiting: len(e.waiting), QueuedTokens: int(e.prefillBacklog(now) / prefillTimePerToken),
	}
}

// submit starts a job, or queues it in the engine if the batch is full.
func (s *simulation) submit(e *engine, j *job) {
	if len(e.running) >= maxBatchSize {
		e.waiting = append(e.waiting, j)
		e.waitingTokens += j.promptTokens
		return
	}
	s.startJob(e, j)
}

// startJob adds a job to the batch and schedules its first token and its completion.
// Both are ignored if the engine has crashed or the job was sent elsewhere since.
func (s *simulation) startJob(e *engine, j *job) {
	e.running = append(e.running, j)
	cachedPieces := e.cache.cachedPrefixLength(j.digests)
	cachedAnywhere := 0
	for cachedAnywhere < len(j.digests) && s.holders[j.digests[cachedAnywhere]] > 0 {
		cachedAnywhere++
	}
	s.result.promptTokens += int64(j.promptTokens)
	s.result.hitTokens += int64(cachedPieces * pieceTokens)
	s.result.RecomputedTokens += int64(max(0, cachedAnywhere-cachedPieces) * pieceTokens)
	e.cache.touch(j.digests)
	e.prefillBusyUntil = max(e.prefillBusyUntil, s.now) + int64(j.promptTokens-cachedPieces*pieceTokens)*prefillTimePerToken
	incarnation, attempt := e.incarnation, j.attempts
	stillCurrent := func() bool { return e.incarnation == incarnation && j.attempts == attempt }
	s.schedule(e.prefillBusyUntil, func() {
		if stillCurrent() {
			s.handleFirstToken(j)
		}
	})
	s.schedule(e.prefillBusyUntil+int64(j.record.OutputTokens)*decodeTimePerToken, func() {
		if stillCurrent() {
			s.completeJob(e, j)
		}
	})
}

// completeJob removes a job from the batch and starts the next waiting one.
func (s *simulation) completeJob(e *engine, j *job) {
	for i := range e.running {
		if e.running[i] == j {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	s.finishJob(j, true)
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.waitingTokens -= next.promptTokens
		s.startJob(e, next)
	}
}

// crashEngine stops an engine for a downtime in microseconds. Requests without a first
// token are retried on another target. The others count as complete, because their
// streams resume on another target.
func (s *simulation) crashEngine(e *engine, downtime int64) {
	if !e.up {
		return
	}
	jobs := append(e.running, e.waiting...)
	e.up, e.running, e.waiting, e.waitingTokens, e.prefillBusyUntil = false, nil, nil, 0, 0
	e.incarnation++
	e.cache.clear()
	for _, j := range jobs {
		if j.hasFirstToken {
			s.finishJob(j, false)
			continue
		}
		s.schedule(s.now+crashDetectionDelay, func() { s.retryElsewhere(j) })
	}
	s.schedule(s.now+downtime, func() { e.up = true })
}

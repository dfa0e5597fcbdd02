package replay

import (
	"container/list"
	"time"

	protocol "lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// The model of an engine. Times are in microseconds.
const (
	prefillPerToken = 50                       // one prompt token that is not cached
	decodePerToken  = 20_000                   // one output token
	batchLimit      = 32                       // requests at once; more wait in the engine
	cachePieces     = 160                      // turned over within seconds under load
	connectFailure  = 1_000                    // until a refused connection is noticed
	crashNoticed    = 50_000                   // until a broken stream is noticed
	reportInterval  = 1_000_000                // loads are read this often
	second          = int64(time.Second / 1e3) // microseconds
)

// lru is a cache of pieces, evicted least recently used first.
type lru struct {
	order  *list.List
	pieces map[uint64]*list.Element
	// holders counts over all engines how many hold a piece.
	holders map[uint64]int
	// events are those since the last report.
	events   []protocol.CacheEvent
	sequence uint64
}

func newLRU(holders map[uint64]int) *lru {
	return &lru{order: list.New(), pieces: make(map[uint64]*list.Element), holders: holders}
}

// match returns the number of leading pieces that are cached.
func (c *lru) match(digests []uint64) int {
	for k, digest := range digests {
		if c.pieces[digest] == nil {
			return k
		}
	}
	return len(digests)
}

// use makes the pieces the most recent ones. The first piece is used last:
// engines evict a prefix after its continuations.
func (c *lru) use(digests []uint64) {
	for k := len(digests) - 1; k >= 0; k-- {
		if element := c.pieces[digests[k]]; element != nil {
			c.order.MoveToFront(element)
			continue
		}
		c.pieces[digests[k]] = c.order.PushFront(digests[k])
		c.holders[digests[k]]++
		c.publish(digests[k], false)
	}
	for c.order.Len() > cachePieces {
		c.drop(c.order.Back())
	}
}

func (c *lru) drop(element *list.Element) {
	digest := c.order.Remove(element).(uint64)
	delete(c.pieces, digest)
	c.publish(digest, true)
	if c.holders[digest]--; c.holders[digest] == 0 {
		delete(c.holders, digest)
	}
}

func (c *lru) publish(digest uint64, evicted bool) {
	c.sequence++
	c.events = append(c.events, protocol.CacheEvent{Sequence: c.sequence, Digest: digest, Evicted: evicted})
}

func (c *lru) clear() {
	for c.order.Len() > 0 {
		c.drop(c.order.Back())
	}
	c.events, c.sequence = nil, 0
}

// engine computes prompts one after the other and generates in a batch.
type engine struct {
	up          bool
	incarnation int
	cache       *lru
	busyUntil   int64 // prefill
	running     []*job
	waiting     []*job
	waitTokens  int
}

// work is the time until a new prompt would start, if nothing waiting is cached.
func (e *engine) work(now int64) int64 {
	return max(0, e.busyUntil-now) + int64(e.waitTokens)*prefillPerToken
}

func (e *engine) load(now int64) target.Load {
	return target.Load{
		Running: len(e.running), Waiting: len(e.waiting), QueuedTokens: int(e.work(now) / prefillPerToken),
	}
}

// submit starts a job or lets it wait for a place in the batch.
func (s *simulation) submit(e *engine, j *job) {
	if len(e.running) >= batchLimit {
		e.waiting = append(e.waiting, j)
		e.waitTokens += j.tokens
		return
	}
	s.begin(e, j)
}

func (s *simulation) begin(e *engine, j *job) {
	e.running = append(e.running, j)
	hit := e.cache.match(j.digests)
	anywhere := 0
	for anywhere < len(j.digests) && s.holders[j.digests[anywhere]] > 0 {
		anywhere++
	}
	s.result.promptTokens += int64(j.tokens)
	s.result.hitTokens += int64(hit * pieceTokens)
	s.result.RecomputedTokens += int64(max(0, anywhere-hit) * pieceTokens)
	e.cache.use(j.digests)
	e.busyUntil = max(e.busyUntil, s.now) + int64(j.tokens-hit*pieceTokens)*prefillPerToken
	incarnation, attempt := e.incarnation, j.attempts
	current := func() bool { return e.incarnation == incarnation && j.attempts == attempt }
	s.at(e.busyUntil, func() {
		if current() {
			s.firstToken(j)
		}
	})
	s.at(e.busyUntil+int64(j.record.OutputTokens)*decodePerToken, func() {
		if current() {
			s.complete(e, j)
		}
	})
}

func (s *simulation) complete(e *engine, j *job) {
	for i := range e.running {
		if e.running[i] == j {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	s.finish(j, true)
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.waitTokens -= next.tokens
		s.begin(e, next)
	}
}

// crash ends an engine. Requests without a first token go to another; the
// others count as complete, as their streams resume elsewhere.
func (s *simulation) crash(e *engine, down int64) {
	if !e.up {
		return
	}
	jobs := append(e.running, e.waiting...)
	e.up, e.running, e.waiting, e.waitTokens, e.busyUntil = false, nil, nil, 0, 0
	e.incarnation++
	e.cache.clear()
	for _, j := range jobs {
		if j.answered {
			s.finish(j, false)
			continue
		}
		s.at(s.now+crashNoticed, func() { s.retry(j) })
	}
	s.at(s.now+down, func() { e.up = true })
}

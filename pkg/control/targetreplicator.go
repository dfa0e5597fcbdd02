package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
)

const (
	// confirmInterval is the time between two comparisons of the table with a
	// neighbour. Both sides learn from each, so a confirmation reaches 410
	// instances in about 3 s.
	confirmInterval = 500 * time.Millisecond
	// settleTime is how long a table must be unchanged for a difference to count
	// as a lost update. An update passes a few hops in much less.
	settleTime = time.Second
	// fetchInterval is the least time between two fetches of a whole table.
	fetchInterval = 3 * time.Second
	// settleLimit is how long differences are put down to updates on their way
	// while tables keep changing.
	settleLimit = 5 * time.Second
	// batchDelay lets changes that come together travel together.
	batchDelay = 5 * time.Millisecond
	// neighbourLife is the time between two replacements of a neighbour. Kept
	// neighbours save the handshake, which costs more than the exchanges.
	neighbourLife = 20 * time.Second
	// joinTimeout bounds the wait of a starting instance for a table of a peer.
	joinTimeout = 2500 * time.Millisecond
	// maxConfirms bounds the comparisons at a time; one with a frozen neighbour
	// lasts as long as its timeout.
	maxConfirms = 4
)

// TargetStateReplicator divides the reads of the targets' states between instances and
// passes changes on.
type TargetStateReplicator struct {
	instances *PeerTracker
	caller    peer.Caller
	log       hclog.Logger
	table     *targetTable
	changed   chan struct{} // tells Targets to publish

	mu         sync.Mutex
	queue      map[string]bool // ids of records to pass on
	neighbours []string
	replaced   time.Time
	differs    time.Time // first of the unbroken comparisons that differed
	fetched    time.Time
	wake       chan struct{}
}

// NewTargetStateReplicator returns the exchange of target states with peers.
func NewTargetStateReplicator(instances *PeerTracker, caller peer.Caller, log hclog.Logger) *TargetStateReplicator {
	return &TargetStateReplicator{
		instances: instances, caller: caller, log: log, table: newTargetTable(),
		changed: make(chan struct{}, 1), wake: make(chan struct{}, 1), queue: make(map[string]bool),
	}
}

// Register answers updates, comparisons and fetches.
func (s *TargetStateReplicator) Register(r *peer.Registry) {
	peer.TargetsUpdate.Handle(r, func(_ context.Context, body peer.TargetsUpdateBody) (peer.TargetsUpdateAnswer, error) {
		if len(body.Records) > peer.MaxTargetRecords {
			return peer.TargetsUpdateAnswer{}, &peer.Error{Kind: peer.KindTooLarge, Message: "too many records in one update"}
		}
		return peer.TargetsUpdateAnswer{Newer: s.take(body.Records, time.Now())}, nil
	})
	peer.TargetsConfirm.Handle(r, func(_ context.Context, body peer.TargetsConfirmBody) (peer.TargetsConfirmBody, error) {
		s.table.confirmAll(body, time.Now())
		return s.table.confirmation(), nil
	})
	peer.TargetsFetch.Handle(r, func(context.Context, peer.Empty) (peer.TargetsFetchAnswer, error) {
		return peer.TargetsFetchAnswer{Records: s.table.records(nil)}, nil
	})
}

// take merges records of a peer and passes on those that were new.
func (s *TargetStateReplicator) take(records []peer.TargetRecord, base time.Time) []peer.TargetRecord {
	news, newer := s.table.merge(records, base)
	s.publish(news...)
	return newer
}

// publish queues changed records for the neighbours and tells Targets.
func (s *TargetStateReplicator) publish(ids ...string) {
	if len(ids) == 0 {
		return
	}
	s.mu.Lock()
	for _, id := range ids {
		s.queue[id] = true
	}
	s.mu.Unlock()
	signal(s.wake)
	signal(s.changed)
}

// signal sets a flag in a channel of capacity one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run passes changes on and compares tables until ctx ends.
func (s *TargetStateReplicator) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.passOn(ctx) })
	slots := make(chan struct{}, maxConfirms)
	for ctx.Err() == nil {
		if neighbours := s.keptNeighbours(); len(neighbours) > 0 {
			address := neighbours[rand.N(len(neighbours))]
			select {
			case slots <- struct{}{}:
				group.Go(func() {
					defer func() { <-slots }()
					s.compare(ctx, address)
				})
			default:
			}
		}
		clock.Sleep(ctx, clock.Jitter(confirmInterval))
	}
	group.Wait()
}

// keptNeighbours returns up to fanOut neighbours. They stay the same, but for
// those that fail and one that is replaced from time to time.
func (s *TargetStateReplicator) keptNeighbours() []string {
	known := s.instances.PeerSet().ByAddress
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []string
	for _, address := range s.neighbours {
		if p := known[address]; p != nil && p.FailedSince.IsZero() {
			kept = append(kept, address)
		}
	}
	if len(kept) == fanOut && time.Since(s.replaced) > neighbourLife {
		kept = kept[1:]
	}
	if len(kept) < fanOut {
		kept = s.fill(kept)
	}
	s.neighbours = kept
	return append([]string(nil), kept...)
}

// fill adds random peers that answer. It runs under mu.
func (s *TargetStateReplicator) fill(kept []string) []string {
	have := make(map[string]bool)
	for _, address := range append(append([]string(nil), kept...), s.neighbours...) {
		have[address] = true
	}
	sound, _ := s.instances.split()
	rand.Shuffle(len(sound), func(i, j int) { sound[i], sound[j] = sound[j], sound[i] })
	// Former neighbours come last, so that a replacement brings another one.
	for _, former := range []bool{false, true} {
		for _, address := range sound {
			if len(kept) < fanOut && have[address] == former && !slices.Contains(kept, address) {
				kept = append(kept, address)
				s.replaced = time.Now()
			}
		}
	}
	return kept
}

// passOn sends queued records to the neighbours.
func (s *TargetStateReplicator) passOn(ctx context.Context) {
	runRounds(ctx, s.wake, func(ctx context.Context) {
		clock.Sleep(ctx, batchDelay)
		s.send(ctx, s.drain())
	})
}

func (s *TargetStateReplicator) drain() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id := range s.queue {
		ids = append(ids, id)
	}
	clear(s.queue)
	return ids
}

func (s *TargetStateReplicator) send(ctx context.Context, ids []string) {
	var group sync.WaitGroup
	for _, address := range s.keptNeighbours() {
		group.Go(func() { s.sendTo(ctx, address, ids) })
	}
	group.Wait()
}

// sendTo sends records in batches and takes over what the peer knows better.
func (s *TargetStateReplicator) sendTo(ctx context.Context, address string, ids []string) {
	for len(ids) > 0 && ctx.Err() == nil {
		n := min(len(ids), peer.MaxTargetRecords)
		asked := time.Now()
		answer, err := peer.TargetsUpdate.Call(ctx, s.caller, address, peer.TargetsUpdateBody{Records: s.table.records(ids[:n])})
		if err != nil {
			s.failed(ctx, address, err)
			return
		}
		s.take(answer.Newer, asked)
		ids = ids[n:]
	}
}

// failed records that a peer is silent. An error that the peer answered with,
// such as busy, shows that it is alive.
func (s *TargetStateReplicator) failed(ctx context.Context, address string, err error) {
	kind := peer.KindOf(err)
	if ctx.Err() == nil && (kind == peer.KindUnreachable || kind == peer.KindTimeout) {
		s.instances.fail(address, err)
	}
}

// compare exchanges digests and ages with a peer, and whole tables if an update
// was lost.
func (s *TargetStateReplicator) compare(ctx context.Context, address string) {
	asked := time.Now()
	own := s.table.confirmation()
	answer, err := peer.TargetsConfirm.Call(ctx, s.caller, address, own)
	if err != nil {
		s.failed(ctx, address, err)
		return
	}
	same := s.table.confirmAll(answer, asked)
	if !s.fetchDue(same, own.Settled && answer.Settled) {
		return
	}
	records, news, err := s.fetch(ctx, address)
	if err != nil {
		return
	}
	if len(news) <= peer.MaxTargetRecords {
		// More is not news to the others, but what this instance lacked.
		s.publish(news...)
	}
	s.sendTo(ctx, address, s.lacking(records))
}

// fetchDue reports whether the difference of two tables is worth a fetch.
func (s *TargetStateReplicator) fetchDue(same, settled bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if same {
		s.differs = time.Time{}
		return false
	}
	if s.differs.IsZero() {
		s.differs = now
	}
	if now.Sub(s.fetched) < fetchInterval || !settled && now.Sub(s.differs) < settleLimit {
		return false
	}
	s.fetched = now
	return true
}

// fetch merges the whole table of a peer. It returns the table and the ids of
// the records that were new.
func (s *TargetStateReplicator) fetch(ctx context.Context, address string) ([]peer.TargetRecord, []string, error) {
	asked := time.Now()
	answer, err := peer.TargetsFetch.Call(ctx, s.caller, address, peer.Empty{})
	if err != nil {
		return nil, nil, err
	}
	news, _ := s.table.merge(answer.Records, asked)
	signal(s.changed)
	return answer.Records, news, nil
}

// lacking returns the ids of the records that a peer's table has older or not.
func (s *TargetStateReplicator) lacking(records []peer.TargetRecord) []string {
	versions := make(map[string]uint64, len(records))
	for _, r := range records {
		r.AgeMillis = 0
		versions[r.ID] = hashRecord(r)
	}
	var ids []string
	for _, r := range s.table.records(nil) {
		r.AgeMillis = 0
		if versions[r.ID] != hashRecord(r) {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

// join fetches the table of the first of a few peers that answers with one. Each
// has a head start over the next: a table is large, and one is enough.
func (s *TargetStateReplicator) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	for _, address := range s.instances.RandomPeers(fanOut) {
		ended, end := context.WithTimeout(ctx, hedgeDelay)
		group.Go(func() {
			defer end()
			if records, _, err := s.fetch(ctx, address); err == nil && len(records) > 0 {
				cancel()
			}
		})
		<-ended.Done()
		if ctx.Err() != nil {
			return
		}
	}
}

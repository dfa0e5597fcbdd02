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
	// neighbour. Both sides learn from each comparison, so that a confirmation
	// reaches 410 instances in about 3 s.
	confirmInterval = 500 * time.Millisecond
	// tableSettleTime is how long a table must be unchanged for a difference to
	// count as a lost update. An update passes a few hops in much less.
	tableSettleTime = time.Second
	// minTableFetchInterval is the least time between two fetches of a whole
	// table.
	minTableFetchInterval = 3 * time.Second
	// maxSettleWait is how long differences between tables that keep changing
	// are attributed to updates in transit.
	maxSettleWait = 5 * time.Second
	// batchDelay lets changes that occur together be sent in one message.
	batchDelay = 5 * time.Millisecond
	// neighbourReplaceInterval is the time between two replacements of a
	// neighbour. Keeping neighbours saves handshakes, which cost more than the
	// exchanges.
	neighbourReplaceInterval = 20 * time.Second
	// joinTimeout bounds how long a starting instance waits for the table of a
	// peer.
	joinTimeout = 2500 * time.Millisecond
	// maxConfirms bounds the concurrent comparisons. One with an unresponsive
	// neighbour lasts as long as its timeout.
	maxConfirms = 4
)

// TargetStateReplicator replicates the observed states of targets between
// instances, so that each instance reads only some of them. It sends changes to
// a few neighbours at once and compares the whole table with one of them
// periodically, to confirm states and to repair lost updates. It is safe for
// concurrent use.
type TargetStateReplicator struct {
	peers   *PeerTracker
	caller  peer.Caller
	log     hclog.Logger
	table   *targetTable
	changed chan struct{} // signals TargetController to publish

	mu                  sync.Mutex
	queuedIDs           map[string]bool // IDs of records to send to the neighbours
	neighbours          []string
	neighbourReplacedAt time.Time
	differsSince        time.Time     // first of the consecutive comparisons that differed
	lastFetch           time.Time     // of a whole table
	wake                chan struct{} // signals forwardUpdates
}

// NewTargetStateReplicator returns a replicator with an empty table.
func NewTargetStateReplicator(instances *PeerTracker, caller peer.Caller, log hclog.Logger) *TargetStateReplicator {
	return &TargetStateReplicator{
		peers: instances, caller: caller, log: log, table: newTargetTable(),
		changed: make(chan struct{}, 1), wake: make(chan struct{}, 1), queuedIDs: make(map[string]bool),
	}
}

// Register adds the handlers of updates, comparisons and fetches.
func (s *TargetStateReplicator) Register(r *peer.Registry) {
	peer.TargetsUpdate.Handle(r, func(_ context.Context, body peer.TargetsUpdateBody) (peer.TargetsUpdateResponse, error) {
		if len(body.Records) > peer.MaxTargetRecords {
			return peer.TargetsUpdateResponse{}, &peer.Error{Kind: peer.KindTooLarge, Message: "too many records in one update"}
		}
		return peer.TargetsUpdateResponse{NewerRecords: s.mergeAndForward(body.Records, time.Now())}, nil
	})
	peer.TargetsConfirm.Handle(r, func(_ context.Context, body peer.TargetsConfirmBody) (peer.TargetsConfirmBody, error) {
		s.table.applyConfirmation(body, time.Now())
		return s.table.confirmBody(), nil
	})
	peer.TargetsFetch.Handle(r, func(context.Context, peer.EmptyBody) (peer.TargetsFetchResponse, error) {
		return peer.TargetsFetchResponse{Records: s.table.records(nil)}, nil
	})
}

// mergeAndForward merges records of a peer, whose ages count back from base,
// and queues those that were new. It returns the records that are newer here.
func (s *TargetStateReplicator) mergeAndForward(records []peer.TargetRecord, base time.Time) []peer.TargetRecord {
	changedIDs, newer := s.table.merge(records, base)
	s.queueUpdates(changedIDs...)
	return newer
}

// queueUpdates queues changed records for the neighbours and signals
// TargetController.
func (s *TargetStateReplicator) queueUpdates(ids ...string) {
	if len(ids) == 0 {
		return
	}
	s.mu.Lock()
	for _, id := range ids {
		s.queuedIDs[id] = true
	}
	s.mu.Unlock()
	signal(s.wake)
	signal(s.changed)
}

// signal sends on a channel of capacity one, unless a signal is already
// waiting.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run forwards changes and compares tables until ctx ends.
func (s *TargetStateReplicator) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.forwardUpdates(ctx) })
	slots := make(chan struct{}, maxConfirms)
	for ctx.Err() == nil {
		if neighbours := s.currentNeighbours(); len(neighbours) > 0 {
			address := neighbours[rand.N(len(neighbours))]
			select {
			case slots <- struct{}{}:
				group.Go(func() {
					defer func() { <-slots }()
					s.compareTables(ctx, address)
				})
			default:
			}
		}
		clock.Sleep(ctx, clock.Jitter(confirmInterval))
	}
	group.Wait()
}

// currentNeighbours returns up to fanOut neighbours. They stay the same, except
// that failing ones are replaced, and one every neighbourReplaceInterval.
func (s *TargetStateReplicator) currentNeighbours() []string {
	known := s.peers.PeerSet().ByAddress
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []string
	for _, address := range s.neighbours {
		if p := known[address]; p != nil && p.FailedSince.IsZero() {
			kept = append(kept, address)
		}
	}
	if len(kept) == fanOut && time.Since(s.neighbourReplacedAt) > neighbourReplaceInterval {
		kept = kept[1:]
	}
	if len(kept) < fanOut {
		kept = s.fillNeighbours(kept)
	}
	s.neighbours = kept
	return append([]string(nil), kept...)
}

// fillNeighbours adds random peers that answer, up to fanOut. It runs under mu.
func (s *TargetStateReplicator) fillNeighbours(kept []string) []string {
	previous := make(map[string]bool)
	for _, address := range append(append([]string(nil), kept...), s.neighbours...) {
		previous[address] = true
	}
	healthy, _ := s.peers.partitionByHealth()
	rand.Shuffle(len(healthy), func(i, j int) { healthy[i], healthy[j] = healthy[j], healthy[i] })
	// Former neighbours come last, so that a replacement picks another peer.
	for _, former := range []bool{false, true} {
		for _, address := range healthy {
			if len(kept) < fanOut && previous[address] == former && !slices.Contains(kept, address) {
				kept = append(kept, address)
				s.neighbourReplacedAt = time.Now()
			}
		}
	}
	return kept
}

// forwardUpdates sends queued records to the neighbours.
func (s *TargetStateReplicator) forwardUpdates(ctx context.Context) {
	runRounds(ctx, s.wake, func(ctx context.Context) {
		clock.Sleep(ctx, batchDelay)
		s.sendToNeighbours(ctx, s.drainQueue())
	})
}

// drainQueue empties the queue and returns its IDs.
func (s *TargetStateReplicator) drainQueue() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id := range s.queuedIDs {
		ids = append(ids, id)
	}
	clear(s.queuedIDs)
	return ids
}

func (s *TargetStateReplicator) sendToNeighbours(ctx context.Context, ids []string) {
	var group sync.WaitGroup
	for _, address := range s.currentNeighbours() {
		group.Go(func() { s.sendRecords(ctx, address, ids) })
	}
	group.Wait()
}

// sendRecords sends records to a peer in batches and merges the newer records
// that it returns.
func (s *TargetStateReplicator) sendRecords(ctx context.Context, address string, ids []string) {
	for len(ids) > 0 && ctx.Err() == nil {
		n := min(len(ids), peer.MaxTargetRecords)
		requestedAt := time.Now()
		response, err := peer.TargetsUpdate.Call(ctx, s.caller, address, peer.TargetsUpdateBody{Records: s.table.records(ids[:n])})
		if err != nil {
			s.recordUnresponsive(ctx, address, err)
			return
		}
		s.mergeAndForward(response.NewerRecords, requestedAt)
		ids = ids[n:]
	}
}

// recordUnresponsive records that a peer does not answer. An error that the peer
// itself returned, such as busy, shows that it is alive.
func (s *TargetStateReplicator) recordUnresponsive(ctx context.Context, address string, err error) {
	kind := peer.KindOf(err)
	if ctx.Err() == nil && (kind == peer.KindUnreachable || kind == peer.KindTimeout) {
		s.peers.recordFailure(address, err)
	}
}

// compareTables exchanges digests and ages with a peer. If an update was lost,
// it fetches the peer's table and sends the records that the peer lacks.
func (s *TargetStateReplicator) compareTables(ctx context.Context, address string) {
	requestedAt := time.Now()
	own := s.table.confirmBody()
	response, err := peer.TargetsConfirm.Call(ctx, s.caller, address, own)
	if err != nil {
		s.recordUnresponsive(ctx, address, err)
		return
	}
	same := s.table.applyConfirmation(response, requestedAt)
	if !s.shouldFetchTable(same, own.IsSettled && response.IsSettled) {
		return
	}
	records, changedIDs, err := s.fetchTable(ctx, address)
	if err != nil {
		return
	}
	if len(changedIDs) <= peer.MaxTargetRecords {
		// A larger difference means that this instance was out of date: the others
		// have these records already.
		s.queueUpdates(changedIDs...)
	}
	s.sendRecords(ctx, address, s.idsMissingFrom(records))
}

// shouldFetchTable records the result of a comparison and reports whether to
// fetch the peer's table. settled means that both tables were unchanged for
// tableSettleTime.
func (s *TargetStateReplicator) shouldFetchTable(same, settled bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if same {
		s.differsSince = time.Time{}
		return false
	}
	if s.differsSince.IsZero() {
		s.differsSince = now
	}
	if now.Sub(s.lastFetch) < minTableFetchInterval || !settled && now.Sub(s.differsSince) < maxSettleWait {
		return false
	}
	s.lastFetch = now
	return true
}

// fetchTable merges the whole table of a peer. It returns that table and the
// IDs of the records that were new here.
func (s *TargetStateReplicator) fetchTable(ctx context.Context, address string) ([]peer.TargetRecord, []string, error) {
	requestedAt := time.Now()
	response, err := peer.TargetsFetch.Call(ctx, s.caller, address, peer.EmptyBody{})
	if err != nil {
		return nil, nil, err
	}
	changedIDs, _ := s.table.merge(response.Records, requestedAt)
	signal(s.changed)
	return response.Records, changedIDs, nil
}

// idsMissingFrom returns the IDs of own records that a peer's table does not
// contain in the same form.
func (s *TargetStateReplicator) idsMissingFrom(records []peer.TargetRecord) []string {
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

// join fetches the table of the first of a few peers that has records. Each
// peer gets a head start of hedgeDelay over the next, because a table is large
// and one is enough.
func (s *TargetStateReplicator) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	for _, address := range s.peers.RandomPeers(fanOut) {
		headStart, end := context.WithTimeout(ctx, hedgeDelay)
		group.Go(func() {
			defer end()
			if records, _, err := s.fetchTable(ctx, address); err == nil && len(records) > 0 {
				cancel()
			}
		})
		<-headStart.Done()
		if ctx.Err() != nil {
			return
		}
	}
}

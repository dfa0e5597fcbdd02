package control

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
)

const (
	// listInterval is the time between two reads of the instance list from the
	// platform.
	listInterval = time.Second
	// relaxedListInterval replaces listInterval for an instance whose peers
	// read the platform and which gets the list from them.
	relaxedListInterval = 30 * time.Second
	// staleListAge is the age from which a list is stale, so that peers are
	// asked for a newer one.
	staleListAge = 3 * time.Second
	// initialJoinWait is the first wait between the attempts of a starting
	// instance to get an instance list and a configuration from peers. It
	// doubles up to the regular interval, so that starting instances do not
	// flood each other while no peer can answer.
	initialJoinWait = 100 * time.Millisecond
	// maxListBytes bounds the decompressed list of a peer. At the design scale
	// a list has about 1,000 rows of 200 bytes.
	maxListBytes      = 4 << 20
	listPeerCount     = 2 // peers that are asked in parallel
	maxQueuedContacts = 8 // contacts that wait while another peer is asked
)

// InstanceListCache holds the newest known instance list. It polls the
// platform, and peers while the list is stale. It implements
// objectstore.InstanceList from memory. Its methods are safe for concurrent
// use, except OnChange.
type InstanceListCache struct {
	Platform objectstore.InstanceList
	// Caller calls peers, whose addresses Peers returns. Caller is nil if there
	// are no peers.
	Caller peer.Caller
	Peers  func(limit int) []string
	// PeersReadPlatform reports whether enough peers read the list from the
	// platform. Nil means never.
	PeersReadPlatform func() bool
	Log               hclog.Logger

	mu        sync.Mutex // serialises changes of current
	current   atomic.Pointer[cachedList]
	loaded    chan struct{} // closed when the first list is stored
	contacts  chan string   // addresses of peers that have just answered
	listeners []func([]objectstore.Instance)
	outage    atomic.Bool // the last read from the platform failed
}

// cachedList is an instance list and the time at which the platform returned
// it.
type cachedList struct {
	rows        []objectstore.Instance
	encoded     []byte
	digest      uint64
	confirmedAt time.Time
}

// NewInstanceListCache returns an empty cache of a platform's instance list.
func NewInstanceListCache(list objectstore.InstanceList, log hclog.Logger) *InstanceListCache {
	return &InstanceListCache{Platform: list, Log: log, loaded: make(chan struct{}), contacts: make(chan string, maxQueuedContacts)}
}

// NotifyContact queues a peer that has just answered. While the cache is empty,
// the peer is asked for the list at once, because the peers that are picked at
// random may be gone. It does not block.
func (l *InstanceListCache) NotifyContact(p Peer) {
	select {
	case <-l.loaded:
	case l.contacts <- p.Address:
	default:
	}
}

// OnChange registers a function that is called with each changed list, before a
// newer list is stored. Register before Run.
func (l *InstanceListCache) OnChange(f func([]objectstore.Instance)) {
	l.listeners = append(l.listeners, f)
}

// Instances returns the cached list. It waits for the first list and returns
// the error of ctx if ctx ends first.
func (l *InstanceListCache) Instances(ctx context.Context) ([]objectstore.Instance, error) {
	select {
	case <-l.loaded:
		return l.current.Load().rows, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Age returns the time since the platform returned the list, or false if the
// cache is empty.
func (l *InstanceListCache) Age() (time.Duration, bool) {
	current := l.current.Load()
	if current == nil {
		return 0, false
	}
	return time.Since(current.confirmedAt), true
}

// Run polls the platform, and peers while the list is stale, until ctx ends.
func (l *InstanceListCache) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { l.pollPlatform(ctx) })
	if l.Caller != nil {
		group.Go(func() { l.fetchFromPeersWhileStale(ctx) })
		group.Go(func() { l.fetchFromContacts(ctx) })
	}
	group.Wait()
}

func (l *InstanceListCache) pollPlatform(ctx context.Context) {
	for ctx.Err() == nil {
		requestedAt := time.Now()
		rows, err := l.Platform.Instances(ctx)
		if err == nil {
			l.store(rows, requestedAt)
		}
		if ctx.Err() == nil {
			l.logOutageChange(err)
		}
		clock.Sleep(ctx, clock.Jitter(l.pollInterval()))
	}
}

// pollInterval keeps the load on the platform from growing with the number of
// instances. A list from a peer is a few seconds older, and the platform's list
// itself lags by more than that.
func (l *InstanceListCache) pollInterval() time.Duration {
	if l.PeersReadPlatform != nil && l.PeersReadPlatform() {
		return relaxedListInterval
	}
	return listInterval
}

// logOutageChange logs the start and the end of an outage.
func (l *InstanceListCache) logOutageChange(err error) {
	if wasDown := l.outage.Swap(err != nil); wasDown == (err != nil) {
		return
	}
	if err != nil {
		l.Log.Warn("instance list cannot be read from the platform; last known list stays in use", "cause", err)
		return
	}
	l.Log.Info("instance list can be read from the platform again")
}

// fetchFromPeersWhileStale asks peers for the list while it is missing or
// stale.
func (l *InstanceListCache) fetchFromPeersWhileStale(ctx context.Context) {
	wait := initialJoinWait
	for ctx.Err() == nil {
		if age, known := l.Age(); !known || age > staleListAge {
			l.fetchFromPeers(ctx)
		}
		clock.Sleep(ctx, clock.Jitter(wait))
		wait = min(2*wait, listInterval)
	}
}

// fetchFromContacts asks the peers queued by NotifyContact until the first list
// is stored.
func (l *InstanceListCache) fetchFromContacts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.loaded:
			return
		case address := <-l.contacts:
			l.fetchFrom(ctx, address)
		}
	}
}

// fetchFromPeers asks listPeerCount random peers in parallel.
func (l *InstanceListCache) fetchFromPeers(ctx context.Context) {
	var group sync.WaitGroup
	for _, address := range l.Peers(listPeerCount) {
		group.Go(func() { l.fetchFrom(ctx, address) })
	}
	group.Wait()
}

// fetchFrom asks a peer for its list and stores it if it is newer.
func (l *InstanceListCache) fetchFrom(ctx context.Context, address string) {
	var body peer.InstancesFetchBody
	if current := l.current.Load(); current != nil {
		body = peer.InstancesFetchBody{HasList: true, Digest: current.digest, AgeMillis: current.ageMillis()}
	}
	// Ages count from before the request. Counted from the response, a list
	// would appear newer than it is and two instances would refresh each other.
	requestedAt := time.Now()
	response, err := peer.InstancesFetch.Call(ctx, l.Caller, address, body)
	if err != nil || !response.HasList {
		return
	}
	confirmed := requestedAt.Add(-time.Duration(response.AgeMillis) * time.Millisecond)
	if body.HasList && response.Digest == body.Digest {
		l.refreshAge(response.Digest, confirmed)
		return
	}
	if len(response.Rows) == 0 {
		return
	}
	rows, err := decompressRows(response.Rows)
	if err != nil {
		l.Log.Warn("instance list from a peer cannot be decoded; last known list stays in use", "peer", address, "cause", err)
		return
	}
	l.store(rows, confirmed)
}

func decompressRows(packed []byte) ([]objectstore.Instance, error) {
	data, err := decompress(packed, maxListBytes)
	if err != nil {
		return nil, err
	}
	var rows []objectstore.Instance
	return rows, json.Unmarshal(data, &rows)
}

// store makes a list current unless the current one is newer.
func (l *InstanceListCache) store(rows []objectstore.Instance, confirmed time.Time) {
	encoded, err := json.Marshal(rows)
	if err != nil {
		l.Log.Error("instance list cannot be encoded; last known list stays in use", "cause", err)
		return
	}
	next := &cachedList{rows: rows, encoded: encoded, digest: xxhash.Sum64(encoded), confirmedAt: confirmed}
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.current.Load()
	if previous != nil && previous.confirmedAt.After(confirmed) {
		return
	}
	l.current.Store(next)
	if previous == nil {
		// Deferred, so that Instances returns only after the listeners have run.
		defer close(l.loaded)
	}
	if previous != nil && previous.digest == next.digest {
		return
	}
	for _, f := range l.listeners {
		f(rows)
	}
}

// refreshAge sets the time of the list if its digest is unchanged and the time
// is newer.
func (l *InstanceListCache) refreshAge(digest uint64, confirmed time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.current.Load()
	if current.digest != digest || !confirmed.After(current.confirmedAt) {
		return
	}
	renewed := *current
	renewed.confirmedAt = confirmed
	l.current.Store(&renewed)
}

// ageMillis returns the age in milliseconds, rounded up.
func (k *cachedList) ageMillis() int64 { return time.Since(k.confirmedAt).Milliseconds() + 1 }

// Register adds the handler of list requests. The response has no rows if the
// sender's list is the same or not older.
func (l *InstanceListCache) Register(r *peer.Registry) {
	peer.InstancesFetch.Handle(r, func(_ context.Context, body peer.InstancesFetchBody) (peer.InstancesFetchResponse, error) {
		current := l.current.Load()
		if current == nil {
			return peer.InstancesFetchResponse{}, nil
		}
		response := peer.InstancesFetchResponse{HasList: true, Digest: current.digest, AgeMillis: current.ageMillis()}
		if body.HasList && (body.Digest == current.digest || body.AgeMillis <= response.AgeMillis) {
			return response, nil
		}
		var err error
		response.Rows, err = compress(current.encoded)
		return response, err
	})
}

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
	// listInterval is the time between two reads of the instance list.
	listInterval = time.Second
	// listSpared replaces listInterval for instances that leave the platform to
	// others and ask peers.
	listSpared = 30 * time.Second
	// listStale is the age from which peers are asked for a newer list.
	listStale = 3 * time.Second
	// joinInterval is the first wait between attempts of a starting instance to
	// get a list and a configuration from peers. It doubles up to the usual one,
	// so that instances that nobody can help do not flood each other.
	joinInterval = 100 * time.Millisecond
	// maxListBytes bounds a list from a peer. At the design scale it has about
	// 1,000 rows of 200 bytes.
	maxListBytes = 4 << 20
	listPeers    = 2 // asked at a time
	maxContacts  = 8 // contacts that wait while another is asked
)

// InstanceListCache keeps the newest known instance list: from the platform, or from a
// peer while the platform does not answer. It implements
// objectstore.InstanceList from memory.
type InstanceListCache struct {
	Platform objectstore.InstanceList
	// Caller and Peers reach other instances. Caller is nil without peers.
	Caller peer.Caller
	Peers  func(limit int) []string
	// PeersReadPlatform reports whether enough other instances ask the platform; nil means
	// never.
	PeersReadPlatform func() bool
	Log               hclog.Logger

	mu        sync.Mutex // serialises changes
	current   atomic.Pointer[knownList]
	known     chan struct{}
	contacts  chan string // addresses of peers that have just answered
	listeners []func([]objectstore.Instance)
	down      atomic.Bool
}

// knownList is an instance list and when the platform gave it.
type knownList struct {
	rows      []objectstore.Instance
	encoded   []byte
	digest    uint64
	confirmed time.Time
}

// NewInstanceListCache returns a listing that knows nothing yet.
func NewInstanceListCache(list objectstore.InstanceList, log hclog.Logger) *InstanceListCache {
	return &InstanceListCache{Platform: list, Log: log, known: make(chan struct{}), contacts: make(chan string, maxContacts)}
}

// NotifyContact tells that a peer answers. An instance without a list asks it at
// once; the periodic choice may fall on peers that are gone.
func (l *InstanceListCache) NotifyContact(p Peer) {
	select {
	case <-l.known:
	case l.contacts <- p.Address:
	default:
	}
}

// OnChange registers a function that gets each changed list. Register before Run.
func (l *InstanceListCache) OnChange(f func([]objectstore.Instance)) {
	l.listeners = append(l.listeners, f)
}

// Instances implements objectstore.InstanceList. It waits until a list is known.
func (l *InstanceListCache) Instances(ctx context.Context) ([]objectstore.Instance, error) {
	select {
	case <-l.known:
		return l.current.Load().rows, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Age returns the time since the platform gave the list, or false if no list is
// known.
func (l *InstanceListCache) Age() (time.Duration, bool) {
	current := l.current.Load()
	if current == nil {
		return 0, false
	}
	return time.Since(current.confirmed), true
}

// Run asks the platform, and peers while it does not answer, until ctx ends.
func (l *InstanceListCache) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { l.followPlatform(ctx) })
	if l.Caller != nil {
		group.Go(func() { l.followPeers(ctx) })
		group.Go(func() { l.followContacts(ctx) })
	}
	group.Wait()
}

func (l *InstanceListCache) followPlatform(ctx context.Context) {
	for ctx.Err() == nil {
		asked := time.Now()
		rows, err := l.Platform.Instances(ctx)
		if err == nil {
			l.put(rows, asked)
		}
		if ctx.Err() == nil {
			l.logOutage(err)
		}
		clock.Sleep(ctx, clock.Jitter(l.interval()))
	}
}

// interval keeps the platform's load from growing with the fleet. A list from a
// peer is a few seconds older, and the list lags by more than that anyway.
func (l *InstanceListCache) interval() time.Duration {
	if l.PeersReadPlatform != nil && l.PeersReadPlatform() {
		return listSpared
	}
	return listInterval
}

func (l *InstanceListCache) logOutage(err error) {
	if wasDown := l.down.Swap(err != nil); wasDown == (err != nil) {
		return
	}
	if err != nil {
		l.Log.Warn("instance list does not answer; the last known one is used", "cause", err)
		return
	}
	l.Log.Info("instance list answers")
}

func (l *InstanceListCache) followPeers(ctx context.Context) {
	wait := joinInterval
	for ctx.Err() == nil {
		if age, known := l.Age(); !known || age > listStale {
			l.askPeers(ctx)
		}
		clock.Sleep(ctx, clock.Jitter(wait))
		wait = min(2*wait, listInterval)
	}
}

// followContacts asks peers that answer until a list is known.
func (l *InstanceListCache) followContacts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.known:
			return
		case address := <-l.contacts:
			l.ask(ctx, address)
		}
	}
}

func (l *InstanceListCache) askPeers(ctx context.Context) {
	var group sync.WaitGroup
	for _, address := range l.Peers(listPeers) {
		group.Go(func() { l.ask(ctx, address) })
	}
	group.Wait()
}

func (l *InstanceListCache) ask(ctx context.Context, address string) {
	var body peer.InstancesFetchBody
	if current := l.current.Load(); current != nil {
		body = peer.InstancesFetchBody{Known: true, Digest: current.digest, AgeMillis: current.ageMillis()}
	}
	// The age counts from before the request, so that a list never seems newer
	// than it is and two instances do not renew each other's list.
	asked := time.Now()
	answer, err := peer.InstancesFetch.Call(ctx, l.Caller, address, body)
	if err != nil || !answer.Known {
		return
	}
	confirmed := asked.Add(-time.Duration(answer.AgeMillis) * time.Millisecond)
	if body.Known && answer.Digest == body.Digest {
		l.confirm(answer.Digest, confirmed)
		return
	}
	if len(answer.Rows) == 0 {
		return
	}
	rows, err := unpackRows(answer.Rows)
	if err != nil {
		l.Log.Warn("instance list of a peer is not readable", "peer", address, "cause", err)
		return
	}
	l.put(rows, confirmed)
}

func unpackRows(packed []byte) ([]objectstore.Instance, error) {
	data, err := decompress(packed, maxListBytes)
	if err != nil {
		return nil, err
	}
	var rows []objectstore.Instance
	return rows, json.Unmarshal(data, &rows)
}

// put makes a list current unless a newer one is known.
func (l *InstanceListCache) put(rows []objectstore.Instance, confirmed time.Time) {
	encoded, err := json.Marshal(rows)
	if err != nil {
		l.Log.Error("instance list cannot be encoded", "cause", err)
		return
	}
	next := &knownList{rows: rows, encoded: encoded, digest: xxhash.Sum64(encoded), confirmed: confirmed}
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.current.Load()
	if previous != nil && previous.confirmed.After(confirmed) {
		return
	}
	l.current.Store(next)
	if previous == nil {
		// Whoever waits for the list finds the listeners informed.
		defer close(l.known)
	}
	if previous != nil && previous.digest == next.digest {
		return
	}
	for _, f := range l.listeners {
		f(rows)
	}
}

// confirm renews the time of an unchanged list.
func (l *InstanceListCache) confirm(digest uint64, confirmed time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.current.Load()
	if current.digest != digest || !confirmed.After(current.confirmed) {
		return
	}
	renewed := *current
	renewed.confirmed = confirmed
	l.current.Store(&renewed)
}

// ageMillis returns the age in milliseconds, rounded up.
func (k *knownList) ageMillis() int64 { return time.Since(k.confirmed).Milliseconds() + 1 }

// Register answers peers that ask for the list.
func (l *InstanceListCache) Register(r *peer.Registry) {
	peer.InstancesFetch.Handle(r, func(_ context.Context, body peer.InstancesFetchBody) (peer.InstancesFetchAnswer, error) {
		current := l.current.Load()
		if current == nil {
			return peer.InstancesFetchAnswer{}, nil
		}
		answer := peer.InstancesFetchAnswer{Known: true, Digest: current.digest, AgeMillis: current.ageMillis()}
		if body.Known && (body.Digest == current.digest || body.AgeMillis <= answer.AgeMillis) {
			return answer, nil
		}
		var err error
		answer.Rows, err = compress(current.encoded)
		return answer, err
	})
}

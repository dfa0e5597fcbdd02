package control

import (
	"context"
	"math/rand/v2"
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
)

const (
	// contactLife is how long a peer that is neither listed nor a seed stays
	// known after its last contact. The instance list may lag by minutes.
	contactLife = 10 * time.Minute
	// failedLife replaces contactLife for such a peer when it does not answer.
	failedLife = time.Minute
	// recentContact is how new a contact must be for a peer to be named to
	// others. Without a limit, addresses of instances that are gone would be
	// passed on for ever.
	recentContact = time.Minute
	// maxPeers bounds the set against peers that name addresses without end. It
	// is several times the design scale.
	maxPeers = 2048
	// failedShare is how seldom a peer that does not answer is tried: one of so
	// many attempts goes to one of them.
	failedShare = 4
	// probeTimeout bounds a probe.
	probeTimeout = 1500 * time.Millisecond
)

// InstanceIdentity is what an instance tells its peers about itself.
type InstanceIdentity struct {
	ID          string
	Address     string
	Zone        string
	Incarnation string // made at start, so a restart is seen
}

// Peer is another instance as last observed. It is immutable.
type Peer struct {
	ID          string
	Address     string
	Zone        string
	Incarnation string // empty before the first contact
	Generation  uint64 // configuration in force at the last contact
	Leaving     bool
	LastContact time.Time // zero before the first contact
	FailedSince time.Time // zero unless the last attempt failed
	listed      bool      // in the instance list or a seed
	named       time.Time // when another peer first named it
}

// PeerSet is an immutable set of peers, sorted by address.
type PeerSet struct {
	Peers     []*Peer
	ByAddress map[string]*Peer
}

// PeerTracker knows the other instances: from the instance list, from seeds, and
// from contact, which is newer than the list.
type PeerTracker struct {
	Self       InstanceIdentity
	Seeds      []string
	Transport  *peer.Transport
	Generation func() uint64 // configuration in force here
	Log        hclog.Logger

	mu        sync.Mutex // serialises changes
	set       atomic.Pointer[PeerSet]
	listeners []func(Peer)
}

// PeerSet returns the known peers.
func (c *PeerTracker) PeerSet() *PeerSet {
	if s := c.set.Load(); s != nil {
		return s
	}
	return &PeerSet{}
}

// OnContact registers a function that runs after each contact. Register before
// the transport serves.
func (c *PeerTracker) OnContact(f func(Peer)) { c.listeners = append(c.listeners, f) }

// Register answers hello.
func (c *PeerTracker) Register(r *peer.Registry) {
	peer.Hello.Handle(r, func(_ context.Context, body peer.HelloBody) (peer.HelloBody, error) {
		c.observe(body)
		return c.hello(), nil
	})
}

func (c *PeerTracker) hello() peer.HelloBody {
	return peer.HelloBody{
		ID: c.Self.ID, Address: c.Self.Address, Zone: c.Self.Zone,
		Incarnation: c.Self.Incarnation, Generation: c.Generation(), Peers: c.recent(),
	}
}

// recent returns the addresses of a few random peers that answered lately.
func (c *PeerTracker) recent() []string {
	var addresses []string
	for _, p := range c.PeerSet().Peers {
		if p.Incarnation != "" && p.FailedSince.IsZero() && time.Since(p.LastContact) < recentContact {
			addresses = append(addresses, p.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(peer.MaxHelloPeers, len(addresses))]
}

// MergeInstanceList takes over the routers of the instance list. The address of a router's
// row is the one that it listens on for peers.
func (c *PeerTracker) MergeInstanceList(rows []objectstore.Instance) {
	c.change(func(peers map[string]*Peer) {
		for address, p := range peers {
			unlisted := *p
			unlisted.listed = false
			peers[address] = &unlisted
		}
		for _, row := range rows {
			if row.Role != objectstore.RoleRouter || row.Address == "" || row.ID == c.Self.ID {
				continue
			}
			next := c.known(peers, row.Address)
			if next.Incarnation == "" {
				next.ID, next.Zone = row.ID, row.Zone
			}
			next.Leaving, next.listed = row.Leaving, true
			peers[row.Address] = &next
		}
		for _, seed := range c.Seeds {
			next := c.known(peers, seed)
			next.listed = true
			peers[seed] = &next
		}
	})
}

// known returns a copy of what is known of an address.
func (c *PeerTracker) known(peers map[string]*Peer, address string) Peer {
	if p := peers[address]; p != nil {
		return *p
	}
	return Peer{Address: address}
}

// change applies an edit to a copy of the set and publishes it.
func (c *PeerTracker) change(edit func(map[string]*Peer)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	peers := make(map[string]*Peer, len(c.PeerSet().Peers)+1)
	for _, p := range c.PeerSet().Peers {
		peers[p.Address] = p
	}
	edit(peers)
	delete(peers, c.Self.Address)
	now := time.Now()
	next := &PeerSet{ByAddress: peers}
	for address, p := range peers {
		if p.expired(now) {
			delete(peers, address)
			continue
		}
		next.Peers = append(next.Peers, p)
	}
	sort.Slice(next.Peers, func(i, j int) bool { return next.Peers[i].Address < next.Peers[j].Address })
	c.set.Store(next)
}

func (p *Peer) expired(now time.Time) bool {
	if p.listed {
		return false
	}
	if p.LastContact.IsZero() {
		return now.Sub(p.named) > failedLife
	}
	life := contactLife
	if !p.FailedSince.IsZero() {
		life = failedLife
	}
	return now.Sub(p.LastContact) > life
}

// observe records a contact.
func (c *PeerTracker) observe(body peer.HelloBody) {
	if body.Incarnation == c.Self.Incarnation || body.Address == "" {
		return
	}
	var next Peer
	c.change(func(peers map[string]*Peer) {
		next = c.known(peers, body.Address)
		if next.Incarnation != "" && next.Incarnation != body.Incarnation {
			c.Log.Info("peer restarted", "peer", body.ID, "address", body.Address)
		}
		next.ID, next.Zone = body.ID, body.Zone
		next.Incarnation, next.Generation = body.Incarnation, body.Generation
		next.LastContact, next.FailedSince = time.Now(), time.Time{}
		peers[body.Address] = &next
		addNamed(peers, body.Peers)
	})
	for _, f := range c.listeners {
		f(next)
	}
}

// addNamed adds peers that another one has named.
func addNamed(peers map[string]*Peer, addresses []string) {
	for _, address := range addresses[:min(peer.MaxHelloPeers, len(addresses))] {
		if _, _, err := net.SplitHostPort(address); err != nil {
			continue
		}
		if peers[address] == nil && len(peers) < maxPeers {
			peers[address] = &Peer{Address: address, named: time.Now()}
		}
	}
}

// fail records that a peer did not answer.
func (c *PeerTracker) fail(address string, err error) {
	c.change(func(peers map[string]*Peer) {
		p := peers[address]
		if p == nil || !p.FailedSince.IsZero() {
			return
		}
		next := *p
		next.FailedSince = time.Now()
		peers[address] = &next
		c.Log.Warn("peer does not answer", "peer", p.ID, "address", address, "cause", err)
	})
}

// Hello exchanges generations with a peer.
func (c *PeerTracker) Hello(ctx context.Context, address string) error {
	body, err := peer.Hello.Call(ctx, c.Transport, address, c.hello())
	if err != nil {
		if ctx.Err() == nil {
			c.fail(address, err)
		}
		return err
	}
	c.settle(address, body)
	return nil
}

// settle records an answer. A seed may be another name of the peer, or of this
// instance; its entry then does not look like a peer that fails.
func (c *PeerTracker) settle(address string, body peer.HelloBody) {
	c.observe(body)
	if body.Address == address {
		return
	}
	c.change(func(peers map[string]*Peer) {
		if p := peers[address]; p != nil {
			next := *p
			next.ID, next.FailedSince, next.LastContact = body.ID, time.Time{}, time.Now()
			peers[address] = &next
		}
	})
}

// RandomPeer returns the address of a random peer, seldom one that fails, or "" if
// there is no peer.
func (c *PeerTracker) RandomPeer() string {
	sound, failing := c.split()
	if len(sound) == 0 || len(failing) > 0 && rand.N(failedShare) == 0 {
		sound = failing
	}
	if len(sound) == 0 {
		return ""
	}
	return sound[rand.N(len(sound))]
}

// RandomPeers returns the addresses of up to limit random peers, those that fail
// last.
func (c *PeerTracker) RandomPeers(limit int) []string {
	sound, failing := c.split()
	rand.Shuffle(len(sound), func(i, j int) { sound[i], sound[j] = sound[j], sound[i] })
	rand.Shuffle(len(failing), func(i, j int) { failing[i], failing[j] = failing[j], failing[i] })
	all := append(sound, failing...)
	return all[:min(limit, len(all))]
}

func (c *PeerTracker) split() (sound, failing []string) {
	for _, p := range c.PeerSet().Peers {
		if p.FailedSince.IsZero() {
			sound = append(sound, p.Address)
		} else {
			failing = append(failing, p.Address)
		}
	}
	return sound, failing
}

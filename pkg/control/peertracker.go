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
	// unlistedPeerTTL is how long a peer that is neither in the instance list
	// nor a seed is kept after its last contact. The instance list may lag by
	// minutes.
	unlistedPeerTTL = 10 * time.Minute
	// failedPeerTTL replaces unlistedPeerTTL if the peer does not answer.
	failedPeerTTL = time.Minute
	// maxAdvertisedContactAge is the age of the last contact up to which a peer
	// is advertised to others. Without a limit, instances would pass on the
	// addresses of stopped instances for ever.
	maxAdvertisedContactAge = time.Minute
	// maxPeers bounds the peer set in case a peer advertises addresses without
	// end. It is several times the design scale.
	maxPeers = 2048
	// RandomPeer returns a failing peer in one of failingPeerOdds calls.
	failingPeerOdds = 4
	// probeTimeout bounds a call of Probe.
	probeTimeout = 1500 * time.Millisecond
)

// InstanceIdentity describes an instance to its peers.
type InstanceIdentity struct {
	ID          string
	Address     string
	Zone        string
	Incarnation string // new at each start, so that peers detect a restart
}

// Peer is the last observed state of another instance. It is immutable.
type Peer struct {
	ID           string
	Address      string
	Zone         string
	Incarnation  string    // empty before the first contact
	Generation   uint64    // configuration in force at the last contact
	Leaving      bool      // according to the instance list
	LastContact  time.Time // zero before the first contact
	FailedSince  time.Time // zero unless the last attempt failed
	listedOrSeed bool
	advertisedAt time.Time // when another peer first advertised the address
}

// PeerSet is an immutable set of peers. Peers is sorted by address.
type PeerSet struct {
	Peers     []*Peer
	ByAddress map[string]*Peer
}

// PeerTracker maintains the set of known peers. Peers come from the instance
// list, from seeds, and from hello messages, which are newer than the list. Its
// methods are safe for concurrent use, except OnContact.
type PeerTracker struct {
	Self       InstanceIdentity
	Seeds      []string
	Transport  *peer.Transport
	Generation func() uint64 // generation that this instance has in force
	Log        hclog.Logger

	mu               sync.Mutex // serialises changes of set
	set              atomic.Pointer[PeerSet]
	contactListeners []func(Peer)
}

// PeerSet returns the known peers. It is never nil.
func (c *PeerTracker) PeerSet() *PeerSet {
	if s := c.set.Load(); s != nil {
		return s
	}
	return &PeerSet{}
}

// OnContact registers a function that is called with each peer from which a
// hello or the response to one has arrived. Register before the transport
// serves.
func (c *PeerTracker) OnContact(f func(Peer)) { c.contactListeners = append(c.contactListeners, f) }

// Register adds the handler of hello messages.
func (c *PeerTracker) Register(r *peer.Registry) {
	peer.Hello.Handle(r, func(_ context.Context, body peer.HelloBody) (peer.HelloBody, error) {
		c.recordContact(body)
		return c.helloBody(), nil
	})
}

func (c *PeerTracker) helloBody() peer.HelloBody {
	return peer.HelloBody{
		ID: c.Self.ID, Address: c.Self.Address, Zone: c.Self.Zone,
		Incarnation: c.Self.Incarnation, Generation: c.Generation(), Peers: c.recentAddresses(),
	}
}

// recentAddresses returns the addresses of up to peer.MaxHelloPeers random
// peers that answered within maxAdvertisedContactAge.
func (c *PeerTracker) recentAddresses() []string {
	var addresses []string
	for _, p := range c.PeerSet().Peers {
		if p.Incarnation != "" && p.FailedSince.IsZero() && time.Since(p.LastContact) < maxAdvertisedContactAge {
			addresses = append(addresses, p.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(peer.MaxHelloPeers, len(addresses))]
}

// MergeInstanceList adds the routers of the instance list and the seeds to the
// peer set. The address of a router's row is its listen address for peers.
func (c *PeerTracker) MergeInstanceList(rows []objectstore.Instance) {
	c.updatePeers(func(peers map[string]*Peer) {
		for address, p := range peers {
			unlisted := *p
			unlisted.listedOrSeed = false
			peers[address] = &unlisted
		}
		for _, row := range rows {
			if row.Role != objectstore.RoleRouter || row.Address == "" || row.ID == c.Self.ID {
				continue
			}
			next := c.copyOrNew(peers, row.Address)
			if next.Incarnation == "" {
				next.ID, next.Zone = row.ID, row.Zone
			}
			next.Leaving, next.listedOrSeed = row.Leaving, true
			peers[row.Address] = &next
		}
		for _, seed := range c.Seeds {
			next := c.copyOrNew(peers, seed)
			next.listedOrSeed = true
			peers[seed] = &next
		}
	})
}

// copyOrNew returns a copy of the peer at an address, or a new peer.
func (c *PeerTracker) copyOrNew(peers map[string]*Peer, address string) Peer {
	if p := peers[address]; p != nil {
		return *p
	}
	return Peer{Address: address}
}

// updatePeers applies edit to a copy of the set, drops expired peers and
// publishes the result.
func (c *PeerTracker) updatePeers(edit func(map[string]*Peer)) {
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

// expired reports whether a peer is to be dropped from the set.
func (p *Peer) expired(now time.Time) bool {
	if p.listedOrSeed {
		return false
	}
	if p.LastContact.IsZero() {
		return now.Sub(p.advertisedAt) > failedPeerTTL
	}
	ttl := unlistedPeerTTL
	if !p.FailedSince.IsZero() {
		ttl = failedPeerTTL
	}
	return now.Sub(p.LastContact) > ttl
}

// recordContact stores what a peer has sent about itself and calls the contact
// listeners. It ignores messages without an address and those that this
// instance sent itself.
func (c *PeerTracker) recordContact(body peer.HelloBody) {
	if body.Incarnation == c.Self.Incarnation || body.Address == "" {
		return
	}
	var next Peer
	c.updatePeers(func(peers map[string]*Peer) {
		next = c.copyOrNew(peers, body.Address)
		if next.Incarnation != "" && next.Incarnation != body.Incarnation {
			c.Log.Info("peer restarted", "peer", body.ID, "address", body.Address)
		}
		next.ID, next.Zone = body.ID, body.Zone
		next.Incarnation, next.Generation = body.Incarnation, body.Generation
		next.LastContact, next.FailedSince = time.Now(), time.Time{}
		peers[body.Address] = &next
		addAdvertised(peers, body.Peers)
	})
	for _, f := range c.contactListeners {
		f(next)
	}
}

// addAdvertised adds addresses that a peer advertised. It ignores invalid ones
// and those beyond the limits.
func addAdvertised(peers map[string]*Peer, addresses []string) {
	for _, address := range addresses[:min(peer.MaxHelloPeers, len(addresses))] {
		if _, _, err := net.SplitHostPort(address); err != nil {
			continue
		}
		if peers[address] == nil && len(peers) < maxPeers {
			peers[address] = &Peer{Address: address, advertisedAt: time.Now()}
		}
	}
}

// recordFailure marks a peer as failing. Only the first failure after a success
// is logged.
func (c *PeerTracker) recordFailure(address string, err error) {
	c.updatePeers(func(peers map[string]*Peer) {
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

// Hello exchanges identity and generation with the peer at an address. If the
// call fails before ctx ends, the peer counts as failing.
func (c *PeerTracker) Hello(ctx context.Context, address string) error {
	body, err := peer.Hello.Call(ctx, c.Transport, address, c.helloBody())
	if err != nil {
		if ctx.Err() == nil {
			c.recordFailure(address, err)
		}
		return err
	}
	c.recordAnswer(address, body)
	return nil
}

// recordAnswer records the response to a hello sent to address. A seed may be
// another address of the peer, or of this instance; its entry is updated too,
// so that it does not count as failing.
func (c *PeerTracker) recordAnswer(address string, body peer.HelloBody) {
	c.recordContact(body)
	if body.Address == address {
		return
	}
	c.updatePeers(func(peers map[string]*Peer) {
		if p := peers[address]; p != nil {
			next := *p
			next.ID, next.FailedSince, next.LastContact = body.ID, time.Time{}, time.Now()
			peers[address] = &next
		}
	})
}

// RandomPeer returns the address of a random peer, or "" if there is none. It
// prefers peers that answer.
func (c *PeerTracker) RandomPeer() string {
	candidates, failing := c.partitionByHealth()
	if len(candidates) == 0 || len(failing) > 0 && rand.N(failingPeerOdds) == 0 {
		candidates = failing
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.N(len(candidates))]
}

// RandomPeers returns the addresses of up to limit random peers. Failing peers
// come last.
func (c *PeerTracker) RandomPeers(limit int) []string {
	healthy, failing := c.partitionByHealth()
	rand.Shuffle(len(healthy), func(i, j int) { healthy[i], healthy[j] = healthy[j], healthy[i] })
	rand.Shuffle(len(failing), func(i, j int) { failing[i], failing[j] = failing[j], failing[i] })
	all := append(healthy, failing...)
	return all[:min(limit, len(all))]
}

// partitionByHealth returns the addresses of the peers that answer and of those
// that fail.
func (c *PeerTracker) partitionByHealth() (healthy, failing []string) {
	for _, p := range c.PeerSet().Peers {
		if p.FailedSince.IsZero() {
			healthy = append(healthy, p.Address)
		} else {
			failing = append(failing, p.Address)
		}
	}
	return healthy, failing
}

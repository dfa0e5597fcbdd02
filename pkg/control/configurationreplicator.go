package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
)

const (
	// fanOut is the number of neighbours that a change is offered to. With six
	// random ones, about one instance in 400 hears of a change only by the
	// periodic exchange.
	fanOut = 6
	// exchangeInterval is the time between exchanges of generations with a
	// random peer.
	exchangeInterval = time.Second
	// fetchers is the number of fetches at a time. One more than two frozen
	// peers can hold up.
	fetchers = 3
	// hedgeDelay is the head start of a fetch over the next one. Fetches on
	// loopback take a few milliseconds, between zones a few more.
	hedgeDelay = 300 * time.Millisecond
	// maxOffers bounds the offers that wait. The periodic exchange makes up for
	// those that are dropped.
	maxOffers = 64
	// maxAcceptedBytes bounds a configuration from a peer. The platform's limit is
	// half of it; encoding it again can escape more than its editor did.
	maxAcceptedBytes = 2 * objectstore.MaxValueBytes
)

// ConfigurationReplicator passes configurations between instances, so that a change reaches all
// of them once one has it.
type ConfigurationReplicator struct {
	configuration *ConfigurationController
	instances     *PeerTracker
	caller        peer.Caller
	log           hclog.Logger

	offers   chan offer
	changed  chan struct{}
	fetching atomic.Int32
	inForce  atomic.Pointer[chan struct{}] // closed and replaced by each change
}

// offer says that a peer has a generation.
type offer struct {
	address    string
	generation uint64
}

// NewConfigurationReplicator connects a configuration to the peers.
func NewConfigurationReplicator(configuration *ConfigurationController, instances *PeerTracker, caller peer.Caller, log hclog.Logger) *ConfigurationReplicator {
	s := &ConfigurationReplicator{
		configuration: configuration, instances: instances, caller: caller, log: log,
		offers:  make(chan offer, maxOffers),
		changed: make(chan struct{}, 1),
	}
	next := make(chan struct{})
	s.inForce.Store(&next)
	instances.OnContact(func(p Peer) { s.consider(offer{address: p.Address, generation: p.Generation}) })
	return s
}

// NotifyChanged tells that a configuration came into force. It does not block.
func (s *ConfigurationReplicator) NotifyChanged() {
	next := make(chan struct{})
	close(*s.inForce.Swap(&next))
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Register answers offers and fetches.
func (s *ConfigurationReplicator) Register(r *peer.Registry) {
	peer.ConfigOffer.Handle(r, func(_ context.Context, body peer.ConfigOfferBody) (peer.ConfigOfferAnswer, error) {
		s.consider(offer{address: body.Address, generation: body.Generation})
		return peer.ConfigOfferAnswer{Generation: s.configuration.Generation()}, nil
	})
	peer.ConfigFetch.Handle(r, func(_ context.Context, body peer.ConfigFetchBody) (peer.ConfigFetchAnswer, error) {
		return s.answerFetch(body)
	})
}

func (s *ConfigurationReplicator) answerFetch(body peer.ConfigFetchBody) (peer.ConfigFetchAnswer, error) {
	accepted := s.configuration.AcceptedConfiguration()
	if accepted == nil || accepted.Generation < body.Generation {
		return peer.ConfigFetchAnswer{}, &peer.Error{Kind: peer.KindNotFound, Message: fmt.Sprintf("generation %d is not in force here", body.Generation)}
	}
	value, err := accepted.Encode()
	if err != nil {
		return peer.ConfigFetchAnswer{}, err
	}
	packed, err := compress(value)
	return peer.ConfigFetchAnswer{Generation: accepted.Generation, Accepted: packed}, err
}

// Run spreads configurations until ctx ends.
func (s *ConfigurationReplicator) Run(ctx context.Context) {
	var group sync.WaitGroup
	for range fetchers {
		group.Go(func() { s.fetchOffered(ctx) })
	}
	group.Go(func() { s.announceChanges(ctx) })
	s.join(ctx)
	s.exchange(ctx)
	group.Wait()
}

// join asks several peers at once until one has given a configuration.
func (s *ConfigurationReplicator) join(ctx context.Context) {
	for wait := joinInterval; ctx.Err() == nil && s.configuration.Generation() == 0; wait = min(2*wait, exchangeInterval) {
		var group sync.WaitGroup
		for _, address := range s.instances.RandomPeers(fanOut) {
			group.Go(func() { _ = s.instances.Hello(ctx, address) })
		}
		group.Wait()
		clock.Sleep(ctx, clock.Jitter(wait))
	}
}

// exchange compares generations with one random peer at a time. Whichever side
// has the lower one fetches from the other.
func (s *ConfigurationReplicator) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		if address := s.instances.RandomPeer(); address != "" {
			_ = s.instances.Hello(ctx, address)
		}
		clock.Sleep(ctx, clock.Jitter(exchangeInterval))
	}
}

// announceChanges offers each new generation to neighbours.
func (s *ConfigurationReplicator) announceChanges(ctx context.Context) {
	runRounds(ctx, s.changed, s.announce)
}

func (s *ConfigurationReplicator) announce(ctx context.Context) {
	body := peer.ConfigOfferBody{Address: s.instances.Self.Address, Generation: s.configuration.Generation()}
	var group sync.WaitGroup
	for _, address := range s.instances.RandomPeers(fanOut) {
		group.Go(func() {
			answer, err := peer.ConfigOffer.Call(ctx, s.caller, address, body)
			if err != nil {
				if ctx.Err() == nil {
					s.instances.fail(address, err)
				}
				return
			}
			s.consider(offer{address: address, generation: answer.Generation})
		})
	}
	group.Wait()
}

// consider queues an offer that is worth a fetch.
func (s *ConfigurationReplicator) consider(o offer) {
	if !s.wanted(o.generation) || o.address == "" {
		return
	}
	select {
	case s.offers <- o:
	default:
	}
}

// wanted reports whether a generation would change something. One that failed
// its check here is not fetched again.
func (s *ConfigurationReplicator) wanted(generation uint64) bool {
	if rejected := s.configuration.LastRejection(); rejected != nil && rejected.Generation == generation {
		return false
	}
	return generation > s.configuration.Generation()
}

func (s *ConfigurationReplicator) fetchOffered(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-s.offers:
			s.fetch(ctx, o)
		}
	}
}

// fetch takes a configuration over from a peer. While another fetch runs, it
// waits until that one is done or late, because it usually makes this needless.
func (s *ConfigurationReplicator) fetch(ctx context.Context, o offer) {
	inForce := *s.inForce.Load()
	defer s.fetching.Add(-1)
	if s.fetching.Add(1) > 1 && s.wanted(o.generation) {
		hedge, cancel := context.WithTimeout(ctx, hedgeDelay)
		defer cancel()
		select {
		case <-inForce:
		case <-hedge.Done():
		}
	}
	if !s.wanted(o.generation) {
		return
	}
	accepted, err := s.fetchFrom(ctx, o)
	if err != nil {
		if ctx.Err() == nil {
			s.log.Warn("configuration of a peer not fetched", "peer", o.address, "generation", o.generation, "cause", err)
		}
		return
	}
	s.configuration.ApplyIfNewer(accepted, "peer "+o.address)
}

func (s *ConfigurationReplicator) fetchFrom(ctx context.Context, o offer) (*AcceptedConfiguration, error) {
	answer, err := peer.ConfigFetch.Call(ctx, s.caller, o.address, peer.ConfigFetchBody{Generation: o.generation})
	if err != nil {
		return nil, err
	}
	value, err := decompress(answer.Accepted, maxAcceptedBytes)
	if err != nil {
		return nil, err
	}
	return DecodeAcceptedConfiguration(value)
}

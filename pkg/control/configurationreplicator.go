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
	// fanOut is the number of random peers that a change is offered to. With
	// six, about one instance in 400 gets a change only by the periodic
	// exchange.
	fanOut = 6
	// exchangeInterval is the time between two exchanges of generations with a
	// random peer.
	exchangeInterval = time.Second
	// fetchWorkers is the number of concurrent fetches. Two unresponsive peers
	// leave one worker free.
	fetchWorkers = 3
	// hedgeDelay is the head start of a fetch over the next one. Fetches take a
	// few milliseconds on loopback and a few more between zones.
	hedgeDelay = 300 * time.Millisecond
	// maxQueuedOffers bounds the queued offers. Further offers are dropped; the
	// periodic exchange makes up for them.
	maxQueuedOffers = 64
	// maxAcceptedBytes bounds the decompressed configuration of a peer. The
	// platform's limit is half of it; encoding a configuration again can escape
	// more characters than its editor did.
	maxAcceptedBytes = 2 * objectstore.MaxValueBytes
)

// ConfigurationReplicator replicates configurations between instances by
// gossip, so that a change reaches all of them once one has it. An instance
// offers a new generation to random peers, which fetch it and offer it in turn.
// Periodic exchanges with random peers make up for lost offers.
type ConfigurationReplicator struct {
	configuration *ConfigurationController
	peers         *PeerTracker
	caller        peer.Caller
	log           hclog.Logger

	offers        chan offer
	changed       chan struct{} // signals announceChanges
	activeFetches atomic.Int32
	changeSignal  atomic.Pointer[chan struct{}] // closed and replaced at each change
}

// offer states that a peer has a generation in force.
type offer struct {
	address    string
	generation uint64
}

// NewConfigurationReplicator returns a replicator and registers it for contacts
// of instances. Register NotifyChanged for changes of configuration.
func NewConfigurationReplicator(configuration *ConfigurationController, instances *PeerTracker, caller peer.Caller, log hclog.Logger) *ConfigurationReplicator {
	s := &ConfigurationReplicator{
		configuration: configuration, peers: instances, caller: caller, log: log,
		offers:  make(chan offer, maxQueuedOffers),
		changed: make(chan struct{}, 1),
	}
	next := make(chan struct{})
	s.changeSignal.Store(&next)
	instances.OnContact(func(p Peer) { s.queueOffer(offer{address: p.Address, generation: p.Generation}) })
	return s
}

// NotifyChanged tells the replicator that a configuration has come into force.
// It does not block.
func (s *ConfigurationReplicator) NotifyChanged() {
	next := make(chan struct{})
	close(*s.changeSignal.Swap(&next))
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Register adds the handlers of offers and fetches.
func (s *ConfigurationReplicator) Register(r *peer.Registry) {
	peer.ConfigOffer.Handle(r, func(_ context.Context, body peer.ConfigOfferBody) (peer.ConfigOfferResponse, error) {
		s.queueOffer(offer{address: body.Address, generation: body.Generation})
		return peer.ConfigOfferResponse{Generation: s.configuration.Generation()}, nil
	})
	peer.ConfigFetch.Handle(r, func(_ context.Context, body peer.ConfigFetchBody) (peer.ConfigFetchResponse, error) {
		return s.answerFetch(body)
	})
}

func (s *ConfigurationReplicator) answerFetch(body peer.ConfigFetchBody) (peer.ConfigFetchResponse, error) {
	accepted := s.configuration.AcceptedConfiguration()
	if accepted == nil || accepted.Generation < body.Generation {
		return peer.ConfigFetchResponse{}, &peer.Error{Kind: peer.KindNotFound, Message: fmt.Sprintf("generation %d is not in force here", body.Generation)}
	}
	value, err := accepted.Encode()
	if err != nil {
		return peer.ConfigFetchResponse{}, err
	}
	packed, err := compress(value)
	return peer.ConfigFetchResponse{Generation: accepted.Generation, AcceptedConfig: packed}, err
}

// Run replicates configurations until ctx ends.
func (s *ConfigurationReplicator) Run(ctx context.Context) {
	var group sync.WaitGroup
	for range fetchWorkers {
		group.Go(func() { s.runFetchWorker(ctx) })
	}
	group.Go(func() { s.announceChanges(ctx) })
	s.join(ctx)
	s.exchangeGenerations(ctx)
	group.Wait()
}

// join exchanges generations with several peers in parallel until a first
// configuration is in force.
func (s *ConfigurationReplicator) join(ctx context.Context) {
	for wait := initialJoinWait; ctx.Err() == nil && s.configuration.Generation() == 0; wait = min(2*wait, exchangeInterval) {
		var group sync.WaitGroup
		for _, address := range s.peers.RandomPeers(fanOut) {
			group.Go(func() { _ = s.peers.Hello(ctx, address) })
		}
		group.Wait()
		clock.Sleep(ctx, clock.Jitter(wait))
	}
}

// exchangeGenerations exchanges generations with one random peer every
// exchangeInterval. Whichever side has the lower one fetches from the other.
func (s *ConfigurationReplicator) exchangeGenerations(ctx context.Context) {
	for ctx.Err() == nil {
		if address := s.peers.RandomPeer(); address != "" {
			_ = s.peers.Hello(ctx, address)
		}
		clock.Sleep(ctx, clock.Jitter(exchangeInterval))
	}
}

// announceChanges offers each new generation to random peers.
func (s *ConfigurationReplicator) announceChanges(ctx context.Context) {
	runRounds(ctx, s.changed, s.announce)
}

func (s *ConfigurationReplicator) announce(ctx context.Context) {
	body := peer.ConfigOfferBody{Address: s.peers.Self.Address, Generation: s.configuration.Generation()}
	var group sync.WaitGroup
	for _, address := range s.peers.RandomPeers(fanOut) {
		group.Go(func() {
			response, err := peer.ConfigOffer.Call(ctx, s.caller, address, body)
			if err != nil {
				if ctx.Err() == nil {
					s.peers.recordFailure(address, err)
				}
				return
			}
			s.queueOffer(offer{address: address, generation: response.Generation})
		})
	}
	group.Wait()
}

// queueOffer queues an offer of a wanted generation, or drops it if the queue
// is full.
func (s *ConfigurationReplicator) queueOffer(o offer) {
	if !s.isWanted(o.generation) || o.address == "" {
		return
	}
	select {
	case s.offers <- o:
	default:
	}
}

// isWanted reports whether a generation is newer than the one in force. A
// generation that was rejected here is not fetched again.
func (s *ConfigurationReplicator) isWanted(generation uint64) bool {
	if rejected := s.configuration.LastRejection(); rejected != nil && rejected.Generation == generation {
		return false
	}
	return generation > s.configuration.Generation()
}

func (s *ConfigurationReplicator) runFetchWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-s.offers:
			s.fetch(ctx, o)
		}
	}
}

// fetch fetches an offered configuration and applies it. While another fetch
// runs, it first waits until a change comes into force or hedgeDelay is over,
// because the other fetch usually makes this one unnecessary.
func (s *ConfigurationReplicator) fetch(ctx context.Context, o offer) {
	nextChange := *s.changeSignal.Load()
	defer s.activeFetches.Add(-1)
	if s.activeFetches.Add(1) > 1 && s.isWanted(o.generation) {
		hedge, cancel := context.WithTimeout(ctx, hedgeDelay)
		defer cancel()
		select {
		case <-nextChange:
		case <-hedge.Done():
		}
	}
	if !s.isWanted(o.generation) {
		return
	}
	accepted, err := s.fetchFrom(ctx, o)
	if err != nil {
		if ctx.Err() == nil {
			s.log.Warn("configuration not fetched from peer; next offer or exchange tries again", "peer", o.address, "generation", o.generation, "cause", err)
		}
		return
	}
	s.configuration.ApplyIfNewer(accepted, "peer "+o.address)
}

func (s *ConfigurationReplicator) fetchFrom(ctx context.Context, o offer) (*AcceptedConfiguration, error) {
	response, err := peer.ConfigFetch.Call(ctx, s.caller, o.address, peer.ConfigFetchBody{Generation: o.generation})
	if err != nil {
		return nil, err
	}
	value, err := decompress(response.AcceptedConfig, maxAcceptedBytes)
	if err != nil {
		return nil, err
	}
	return DecodeAcceptedConfiguration(value)
}

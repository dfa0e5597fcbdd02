package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/certs"
	"lacewingwheel.example/lacewingwheel/pkg/feed"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
	"lacewingwheel.example/lacewingwheel/pkg/quota"
	"lacewingwheel.example/lacewingwheel/pkg/share"
	"lacewingwheel.example/lacewingwheel/pkg/state"
)

const (
	// Organisations are divided into groups, and each group has its own ranking of
	// brokers. There are minBrokerGroups groups and one more for each
	// instancesPerGroup instances. Each instance keeps a connection to each broker,
	// and a broker answers at most some hundred requests a second at the design
	// scale.
	minBrokerGroups   = 4
	instancesPerGroup = 25
	// followersPerReader is the number of instances that poll one reader of the
	// store or one relay. Each long poll occupies a slot while it waits.
	followersPerReader = 30
	// instancesPerFleetReader is the number of instances for which one reader reads
	// the store in a fleet with relays.
	instancesPerFleetReader = 200
	// readerDuty is the duty of the readers for the whole fleet. Followed by a zone it
	// is the duty of the zone's relays.
	readerDuty = "reader of "
)

// peerEndpoint sends requests to other instances and serves theirs. It does
// neither before run has loaded the certificate authority.
type peerEndpoint struct {
	members  *state.Members
	registry *peer.Registry
	log      hclog.Logger
	// listenPacket opens the socket, like net.ListenPacket.
	listenPacket func(network, address string) (net.PacketConn, error)

	transport atomic.Pointer[peer.Transport]
	authority atomic.Pointer[certs.InstanceCA]
}

// errNoAuthority means that requests to other instances are not possible yet,
// because this instance has no certificate.
var errNoAuthority = errors.New("no exchanges with other instances yet: certificate authority not loaded")

// run loads the certificate authority, publishes the exchange address and serves
// requests of other instances until ctx ends.
func (x *peerEndpoint) run(ctx context.Context, store objectstore.Store, s *Settings) {
	if s.ExchangeListen == "" {
		x.members.SetExchangeAddress("")
		return
	}
	issuer, err := state.LoadOrCreateInstanceCA(ctx, store, s.FirstStart, x.log)
	if err != nil {
		return // ctx has ended
	}
	x.authority.Store(issuer)
	pair, err := issuer.Issue(s.Instance)
	var socket net.PacketConn
	if err == nil {
		socket, err = x.listenPacket("udp", s.ExchangeListen)
	}
	if err == nil {
		var transport *peer.Transport
		identity := &peer.Identity{KeyPair: pair, CABundle: issuer.CABundle()}
		if transport, err = peer.New(socket, identity, x.registry, x.log); err == nil {
			x.serve(ctx, transport, s.ExchangeListen)
			return
		}
	}
	x.log.Error("no exchanges with other instances; limits are divided equally", "address", s.ExchangeListen, "cause", err)
}

func (x *peerEndpoint) serve(ctx context.Context, transport *peer.Transport, address string) {
	x.transport.Store(transport)
	x.members.SetExchangeAddress(address)
	x.log.Info("listening for exchanges with other instances", "address", address)
	stop := context.AfterFunc(ctx, func() {
		if err := transport.Close(); err != nil {
			x.log.Warn("socket for exchanges not closed", "cause", err)
		}
	})
	defer stop()
	transport.Serve()
	<-ctx.Done()
}

// restoreAuthority writes the authority to the store again if a restore has undone it.
func (x *peerEndpoint) restoreAuthority(ctx context.Context, store objectstore.Store) {
	issuer := x.authority.Load()
	if issuer == nil {
		return
	}
	isRestored, err := state.RestoreInstanceCA(ctx, store, issuer)
	if isRestored || err != nil {
		x.log.Info("certificate authority written again after a restore of the store", "written", isRestored, "cause", err)
	}
}

// canExchange reports whether requests to other instances are possible.
func (x *peerEndpoint) canExchange() bool { return x.transport.Load() != nil }

// Request implements share.Transferer.
func (x *peerEndpoint) Request(ctx context.Context, address string, request quota.Request) (quota.Grant, error) {
	transport := x.transport.Load()
	if transport == nil {
		return quota.Grant{}, errNoAuthority
	}
	return peer.QuotaRequest.Call(ctx, transport, address, request)
}

// Assign implements share.Transferer.
func (x *peerEndpoint) Assign(ctx context.Context, address string, assignments map[string]share.Assignment, duration time.Duration) error {
	transport := x.transport.Load()
	if transport == nil {
		return fmt.Errorf("%w: %w", share.ErrNotSent, errNoAuthority)
	}
	body := peer.QuotaAssignBody{
		Instance: x.members.Self.Name, Tokens: make(map[string]float64), Rates: make(map[string]float64), DurationMillis: duration.Milliseconds(),
	}
	for organisation, a := range assignments {
		body.Tokens[organisation], body.Rates[organisation] = a.Tokens, a.Rate
	}
	_, err := peer.QuotaAssign.Call(ctx, transport, address, body)
	switch {
	case err == nil:
		return nil
	case peer.NotSent(err):
		return fmt.Errorf("%w: %w", share.ErrNotSent, err)
	case !peer.MayHaveRun(err):
		return fmt.Errorf("%w: %w", share.ErrNotAccepted, err)
	}
	return err
}

// handleQuota registers the handlers for requests that borrow or assign tokens.
func (x *peerEndpoint) handleQuota(b *share.Borrower) {
	peer.QuotaRequest.Handle(x.registry, func(_ context.Context, request quota.Request) (quota.Grant, error) {
		return b.HandleRequest(request), nil
	})
	peer.QuotaAssign.Handle(x.registry, func(_ context.Context, body peer.QuotaAssignBody) (peer.EmptyBody, error) {
		assignments := make(map[string]share.Assignment, len(body.Rates))
		for organisation, rate := range body.Rates {
			assignments[organisation] = share.Assignment{Tokens: body.Tokens[organisation], Rate: rate}
		}
		b.HandleAssignments(body.Instance, assignments, time.Duration(body.DurationMillis)*time.Millisecond)
		return peer.EmptyBody{}, nil
	})
}

// FetchChanges implements feed.PeerClient.
func (x *peerEndpoint) FetchChanges(ctx context.Context, address string, body peer.StoreChangesBody) (peer.StoreChangesResponse, error) {
	transport := x.transport.Load()
	if transport == nil {
		return peer.StoreChangesResponse{}, errNoAuthority
	}
	return peer.StoreChanges.Call(ctx, transport, address, body)
}

// FetchConfiguration implements feed.ConfigurationClient.
func (x *peerEndpoint) FetchConfiguration(ctx context.Context, address string, body peer.ConfigurationBody) (peer.ConfigurationResponse, error) {
	transport := x.transport.Load()
	if transport == nil {
		return peer.ConfigurationResponse{}, errNoAuthority
	}
	return peer.NewerConfiguration.Call(ctx, transport, address, body)
}

// handleChanges registers the handlers for requests for changes in the store.
func (x *peerEndpoint) handleChanges(f *feed.Feed) {
	peer.StoreChanges.Handle(x.registry, f.ServeChanges)
	peer.NewerConfiguration.Handle(x.registry, f.Configurations.Serve)
}

// dutyRanking ranks the instances for each duty and caches the rankings until the
// list of members changes.
type dutyRanking struct {
	members *state.Members
	cache   atomic.Pointer[rankCache]
}

type rankCache struct {
	generation uint64              // of the list of members
	byDuty     map[string][]string // ranked addresses; that of this instance is empty
}

// brokers returns the addresses of an organisation's brokers, ranked. The address
// of this instance is empty.
func (r *dutyRanking) brokers(organisation string) []string {
	groups := uint64(minBrokerGroups + r.members.LiveCount()/instancesPerGroup)
	return r.rankedAddresses(fmt.Sprintf("limits-%d", xxhash.Sum64String(organisation)%groups))
}

// isFirst reports whether this instance is ranked first for a duty.
func (r *dutyRanking) isFirst(duty string) bool {
	addresses := r.rankedAddresses(duty)
	return len(addresses) > 0 && addresses[0] == ""
}

// rank returns the place of this instance in the order for a duty, from zero. It is zero
// if the order is not known.
func (r *dutyRanking) rank(duty string) int {
	return max(0, slices.Index(r.rankedAddresses(duty), ""))
}

// changeSources returns the instances from which this one gets changes of the store.
// In a large fleet the relays of each zone get them from a few readers for the whole
// fleet, and the others from the relays of their zone: the calls to the store do not
// grow with the zones, and changes cross into a zone once. While this instance has no
// exchange address, it returns none.
func (r *dutyRanking) changeSources() feed.Sources {
	readers := r.rankedAddresses(readerDuty)
	if !slices.Contains(readers, "") {
		return feed.Sources{}
	}
	if len(readers) <= followersPerReader {
		return feed.Sources{Addresses: readers, Count: 1}
	}
	readerCount := 1 + len(readers)/instancesPerFleetReader
	relays := r.rankedAddresses(readerDuty + r.members.Self.Zone)
	relayCount := 1 + len(relays)/followersPerReader
	isReader := slices.Contains(readers[:readerCount], "")
	isRelay := !isReader && slices.Contains(relays[:min(relayCount, len(relays))], "")
	if isReader || isRelay {
		return feed.Sources{Addresses: readers, Count: readerCount, IsRelay: isRelay}
	}
	return feed.Sources{Addresses: relays, Count: relayCount}
}

// rankedAddresses returns the exchange addresses of the instances that are eligible
// for a duty, ranked. The address of this instance is empty.
func (r *dutyRanking) rankedAddresses(duty string) []string {
	members, generation := r.members.ListWithGeneration()
	cache := r.cache.Load()
	if cache != nil && cache.generation == generation {
		if addresses, ok := cache.byDuty[duty]; ok {
			return addresses
		}
	}
	next := &rankCache{generation: generation, byDuty: make(map[string][]string)}
	if cache != nil && cache.generation == generation {
		for knownDuty, addresses := range cache.byDuty {
			next.byDuty[knownDuty] = addresses
		}
	}
	var addresses []string
	zone, isReaderDuty := strings.CutPrefix(duty, readerDuty)
	for _, m := range state.RendezvousRank(duty, members) {
		if isReaderDuty && zone != "" && m.Zone != zone {
			continue
		}
		address := m.ExchangeAddress
		if m.Name == r.members.Self.Name {
			address = ""
		}
		addresses = append(addresses, address)
	}
	next.byDuty[duty] = addresses
	r.cache.Store(next)
	return addresses
}

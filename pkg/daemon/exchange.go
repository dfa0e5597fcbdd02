package daemon

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/feed"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
	"lacewingwheel.example/lacewingwheel/pkg/quota"
	"lacewingwheel.example/lacewingwheel/pkg/share"
	"lacewingwheel.example/lacewingwheel/pkg/state"
)

const (
	// brokerGroups is the least number of instances that organisations' limits
	// are lent by, and instancesPerGroup adds one for so many instances: each of
	// them keeps a connection to each broker. Source: a broker then answers at
	// most some hundred requests a second at the design scale.
	brokerGroups      = 4
	instancesPerGroup = 25
	// followersPerReader is the number of instances that ask one reader of the
	// store. Source: each question occupies a slot of the reader for its wait.
	followersPerReader = 30
	// readerDuty starts the name of the duty of a zone's readers; alone, it is
	// that of the fleet's.
	readerDuty = "reader of "
)

// exchange sends requests to other instances and answers theirs. Until it has a
// certificate, it does neither.
type exchange struct {
	members  *state.Members
	registry *peer.Registry
	log      hclog.Logger

	transport atomic.Pointer[peer.Transport]
}

// errNoExchange means that this instance has no certificate yet.
var errNoExchange = errors.New("no certificate for exchanges with other instances yet; it is read from the store")

// run gets a certificate, answers requests until ctx ends, and says where.
func (x *exchange) run(ctx context.Context, store objectstore.Store, s *Settings) {
	if s.ExchangeListen == "" {
		x.members.SetExchangeAddress("")
		return
	}
	fleet, err := state.LoadOrCreateAuthority(ctx, store, s.FirstStart, x.log)
	if err != nil {
		return // ctx has ended
	}
	pair, err := fleet.Issue(s.Instance)
	if err == nil {
		var transport *peer.Transport
		identity := &peer.Identity{KeyPair: pair, CABundle: fleet.CABundle()}
		if transport, err = peer.Listen(s.ExchangeListen, identity, x.registry, x.log); err == nil {
			x.serve(ctx, transport, s.ExchangeListen)
			return
		}
	}
	x.log.Error("nothing is exchanged with other instances; limits are divided equally", "address", s.ExchangeListen, "cause", err)
}

func (x *exchange) serve(ctx context.Context, transport *peer.Transport, address string) {
	x.transport.Store(transport)
	x.members.SetExchangeAddress(address)
	x.log.Info("exchanges with other instances", "address", address)
	stop := context.AfterFunc(ctx, func() {
		if err := transport.Close(); err != nil {
			x.log.Warn("socket for exchanges not closed", "cause", err)
		}
	})
	defer stop()
	transport.Serve()
	<-ctx.Done()
}

// works reports whether this instance can exchange anything.
func (x *exchange) works() bool { return x.transport.Load() != nil }

// Request implements share.Transferer.
func (x *exchange) Request(ctx context.Context, address string, request quota.Request) (quota.Grant, error) {
	transport := x.transport.Load()
	if transport == nil {
		return quota.Grant{}, errNoExchange
	}
	return peer.QuotaRequest.Call(ctx, transport, address, request)
}

// Deposit implements share.Transferer.
func (x *exchange) Deposit(ctx context.Context, address string, tokens map[string]float64) error {
	transport := x.transport.Load()
	if transport == nil {
		return errNoExchange
	}
	_, err := peer.QuotaDeposit.Call(ctx, transport, address, peer.QuotaDepositBody{Tokens: tokens})
	return err
}

// answerLoans lets other instances borrow tokens and hand them in.
func (x *exchange) answerLoans(b *share.Borrower) {
	peer.QuotaRequest.Handle(x.registry, func(_ context.Context, request quota.Request) (quota.Grant, error) {
		return b.HandleRequest(request), nil
	})
	peer.QuotaDeposit.Handle(x.registry, func(_ context.Context, body peer.QuotaDepositBody) (peer.EmptyBody, error) {
		b.HandleDeposit(body.Tokens)
		return peer.EmptyBody{}, nil
	})
}

// FetchChanges implements feed.Caller.
func (x *exchange) FetchChanges(ctx context.Context, address string, body peer.StoreChangesBody) (peer.StoreChangesAnswer, error) {
	transport := x.transport.Load()
	if transport == nil {
		return peer.StoreChangesAnswer{}, errNoExchange
	}
	return peer.StoreChanges.Call(ctx, transport, address, body)
}

// answerChanges lets other instances ask what changed in the store.
func (x *exchange) answerChanges(f *feed.Feed) {
	peer.StoreChanges.Handle(x.registry, f.ServeChanges)
}

// ranks remembers the order of instances for each duty while the same ones live.
type ranks struct {
	members *state.Members
	cached  atomic.Pointer[rankCache]
}

type rankCache struct {
	generation uint64
	byDuty     map[string][]string
}

// brokers returns the addresses of an organisation's brokers, in order. That of
// this instance is empty.
func (r *ranks) brokers(organisation string) []string {
	groups := uint64(brokerGroups + r.members.LiveCount()/instancesPerGroup)
	return r.addresses(fmt.Sprintf("limits-%d", xxhash.Sum64String(organisation)%groups))
}

// first reports whether this instance is the first for a duty.
func (r *ranks) first(duty string) bool {
	addresses := r.addresses(duty)
	return len(addresses) > 0 && addresses[0] == ""
}

// readers returns the instances that read changes from the store for the others,
// those that take their place after them, and the number of the former. In a
// large fleet each zone has its own, so that changes cross to it once. While
// there is no exchange, this instance reads for itself.
func (r *ranks) readers() ([]string, int) {
	duty := readerDuty
	if r.members.LiveCount() > followersPerReader {
		duty += r.members.Self.Zone
	}
	addresses := r.addresses(duty)
	if !slices.Contains(addresses, "") {
		return nil, 0
	}
	return addresses, 1 + len(addresses)/followersPerReader
}

func (r *ranks) addresses(duty string) []string {
	members, generation := r.members.ListWithGeneration()
	cache := r.cached.Load()
	if cache != nil && cache.generation == generation {
		if addresses, ok := cache.byDuty[duty]; ok {
			return addresses
		}
	}
	next := &rankCache{generation: generation, byDuty: make(map[string][]string)}
	if cache != nil && cache.generation == generation {
		for known, addresses := range cache.byDuty {
			next.byDuty[known] = addresses
		}
	}
	var addresses []string
	zone, inZone := strings.CutPrefix(duty, readerDuty)
	for _, m := range state.RendezvousRank(duty, members) {
		if inZone && zone != "" && m.Zone != zone {
			continue
		}
		address := m.ExchangeAddress
		if m.Name == r.members.Self.Name {
			address = ""
		}
		addresses = append(addresses, address)
	}
	next.byDuty[duty] = addresses
	r.cached.Store(next)
	return addresses
}

package server

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/gateway"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
	"lacewingwheel.example/lacewingwheel/pkg/quota"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

const (
	// handBackTimeout bounds writing the quota shares back on a stop. Shares that
	// are not written back have no tokens when another instance takes them over.
	handBackTimeout = 5 * time.Second
	// operatorScheme is the prefix of the probe address of an instance without
	// peers. That address is the one of its operator listener.
	operatorScheme = "http://"
	// maxLoanPeers is the number of random peers that tokens are requested from
	// while the holders of quota shares are not known.
	maxLoanPeers = 8
)

// quotaComponents enforce the limits of organisations over all instances.
type quotaComponents struct {
	ledger          *quota.Ledger
	leaseController *control.QuotaLeaseController
	rebalancer      *control.QuotaRebalancer
	rateLimit       *gateway.RateLimit
}

// newQuota connects the quota ledger to the platform and to peers. The operator
// listener and the socket for peers must be open, because the stored records of
// shares contain the probe address.
func (s *Server) newQuota() *quotaComponents {
	ledger := quota.NewLedger()
	lease := &control.QuotaLeaseController{
		Store: s.store, List: s.instanceList, Prober: s, Ledger: ledger, Clock: clock.System{}, Log: s.log.Named("quota"),
		Self:            control.InstanceIdentity{ID: s.settings.Instance.ID, Incarnation: s.incarnation, Address: s.probeAddress()},
		FallbackHolders: s.loanCandidates,
	}
	transfer := s.newTransferer(ledger)
	s.configuration.OnChange(func(snapshot *tables.Snapshot, _ *control.AcceptedConfiguration) {
		ledger.Configure(snapshot.Generation, snapshot.Tables.Quota.Shares, quotaLimits(snapshot), clock.System{}.Elapsed())
	})
	return &quotaComponents{
		ledger: ledger, leaseController: lease,
		rebalancer: &control.QuotaRebalancer{Ledger: ledger, Clock: clock.System{}, HolderSource: lease, Transfer: transfer},
		rateLimit:  gateway.NewRateLimit(ledger, clock.System{}, lease, transfer),
	}
}

// quotaLimits returns the limits of all organisations of a configuration.
func quotaLimits(snapshot *tables.Snapshot) []quota.Limit {
	limits := make([]quota.Limit, 0, len(snapshot.Tables.Organisations))
	for _, org := range snapshot.Tables.Organisations {
		limits = append(limits, quota.Limit{Organisation: org.Name, Rate: org.Rate, Burst: org.Burst})
	}
	return limits
}

// probeAddress returns the address at which other instances check whether this
// process still runs.
func (s *Server) probeAddress() string {
	if s.peers != nil {
		return s.PeerAddress()
	}
	return operatorScheme + s.OperatorAddress()
}

// loanCandidates returns the addresses of random peers, at most maxLoanPeers.
func (s *Server) loanCandidates() []string {
	if s.peers == nil {
		return nil
	}
	return s.peers.tracker.RandomPeers(maxLoanPeers)
}

// newTransferer registers the handlers for token transfers of peers and returns
// the client that sends transfers to them.
func (s *Server) newTransferer(ledger *quota.Ledger) quota.Transferer {
	if s.peers == nil {
		return disabledTransferer{}
	}
	peer.QuotaRequest.Handle(s.peers.registry, func(_ context.Context, request quota.Request) (quota.Grant, error) {
		grant := ledger.HandleRequest(request, clock.System{}.Elapsed())
		if grant.Amount < request.Amount && !request.IsMove {
			grant.Holders = s.randomHolders()
		}
		return grant, nil
	})
	peer.QuotaReturn.Handle(s.peers.registry, func(_ context.Context, returned quota.Return) (peer.EmptyBody, error) {
		ledger.HandleReturn(returned, clock.System{}.Elapsed())
		return peer.EmptyBody{}, nil
	})
	return &peer.QuotaClient{Caller: s.peers.transport}
}

// randomHolders returns the addresses of random holders of quota shares, at most
// quota.MaxGrantHolders.
func (s *Server) randomHolders() []string {
	holders := slices.Clone(s.quota.leaseController.HolderAddresses())
	rand.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	return holders[:min(quota.MaxGrantHolders, len(holders))]
}

// errNoPeers means that tokens cannot be borrowed, because the settings give no
// peer certificates.
var errNoPeers = errors.New("this instance has no peers; give the peer files in [tls] to share tokens")

// disabledTransferer is the transferer of an instance without peers. All its calls
// return errNoPeers.
type disabledTransferer struct{}

func (disabledTransferer) Request(context.Context, string, quota.Request) (quota.Grant, error) {
	return quota.Grant{}, errNoPeers
}

func (disabledTransferer) Return(context.Context, string, quota.Return) error { return errNoPeers }

// Probe implements control.Prober. refused means that nothing listens at the
// address.
func (s *Server) Probe(ctx context.Context, address string) (incarnation string, refused bool) {
	if strings.HasPrefix(address, operatorScheme) {
		return probeOperator(ctx, address)
	}
	if s.peers == nil || address == "" {
		return "", false
	}
	result := s.peers.tracker.Probe(ctx, address)
	return result.Incarnation, result.State == control.ProbeRefused
}

// probeOperator requests the status document of an instance without peers from its
// operator listener.
func probeOperator(ctx context.Context, address string) (incarnation string, refused bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/status.json", nil)
	if err != nil {
		return "", false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", errors.Is(err, syscall.ECONNREFUSED)
	}
	defer resp.Body.Close()
	var status Status
	if json.NewDecoder(resp.Body).Decode(&status) != nil {
		return "", false
	}
	return status.Incarnation, false
}

// handBack writes the quota shares back on a planned stop, so that other instances
// take them over with their tokens.
func (q *quotaComponents) handBack(log hclog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), handBackTimeout)
	defer cancel()
	if err := q.leaseController.HandBack(ctx); err != nil {
		log.Warn("quota shares not handed back; others take them over empty", "cause", err)
	}
}

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
	// handBackTimeout bounds the writing of shares on a stop. Shares that are not
	// written back are taken over empty.
	handBackTimeout = 5 * time.Second
	// operatorScheme starts the address of an instance without peers, which is
	// that of its operator listener.
	operatorScheme = "http://"
	// loanPeers is the number of peers asked for loans while the holders of
	// shares are not known.
	loanPeers = 8
)

// quotaParts limits organisations over all instances.
type quotaParts struct {
	ledger *quota.Ledger
	lease  *control.QuotaLeaseController
	level  *control.QuotaRebalancer
	limit  *gateway.RateLimit
}

// newQuota connects the ledger to the platform and to peers. It runs after the
// listeners are open, because the shares' records carry an address.
func (s *Server) newQuota() *quotaParts {
	ledger := quota.NewLedger()
	lease := &control.QuotaLeaseController{
		Store: s.store, List: s.listing, Prober: s, Ledger: ledger, Clock: clock.System{}, Log: s.log.Named("quota"),
		Self:            control.InstanceIdentity{ID: s.settings.Instance.ID, Incarnation: s.incarnation, Address: s.shareAddress()},
		FallbackHolders: s.loanAddresses,
	}
	transfer := s.transferer(ledger)
	s.configuration.OnChange(func(snapshot *tables.Snapshot, _ *control.AcceptedConfiguration) {
		ledger.Configure(snapshot.Generation, snapshot.Tables.Quota.Shares, limitsOf(snapshot), clock.System{}.Elapsed())
	})
	return &quotaParts{
		ledger: ledger, lease: lease,
		level: &control.QuotaRebalancer{Ledger: ledger, Clock: clock.System{}, HolderSource: lease, Transfer: transfer},
		limit: gateway.NewRateLimit(ledger, clock.System{}, lease, transfer),
	}
}

func limitsOf(snapshot *tables.Snapshot) []quota.Limit {
	limits := make([]quota.Limit, 0, len(snapshot.Tables.Organisations))
	for _, org := range snapshot.Tables.Organisations {
		limits = append(limits, quota.Limit{Organisation: org.Name, Rate: org.Rate, Burst: org.Burst})
	}
	return limits
}

// shareAddress is where others find out whether this process still runs.
func (s *Server) shareAddress() string {
	if s.peers != nil {
		return s.PeerAddress()
	}
	return operatorScheme + s.OperatorAddress()
}

func (s *Server) loanAddresses() []string {
	if s.peers == nil {
		return nil
	}
	return s.peers.instances.RandomPeers(loanPeers)
}

// transferer answers transfers of peers and sends own ones.
func (s *Server) transferer(ledger *quota.Ledger) quota.Transferer {
	if s.peers == nil {
		return noTransfers{}
	}
	peer.QuotaRequest.Handle(s.peers.registry, func(_ context.Context, request quota.Request) (quota.Grant, error) {
		grant := ledger.HandleRequest(request, clock.System{}.Elapsed())
		if grant.Amount < request.Amount && !request.IsMove {
			grant.Holders = s.knownHolders()
		}
		return grant, nil
	})
	peer.QuotaReturn.Handle(s.peers.registry, func(_ context.Context, ret quota.Return) (peer.EmptyBody, error) {
		ledger.HandleReturn(ret, clock.System{}.Elapsed())
		return peer.EmptyBody{}, nil
	})
	return &peer.QuotaClient{Caller: s.peers.transport}
}

// knownHolders returns a few random holders of shares.
func (s *Server) knownHolders() []string {
	holders := slices.Clone(s.quota.lease.Holders())
	rand.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	return holders[:min(quota.MaxGrantHolders, len(holders))]
}

// errNoPeers means that tokens cannot be borrowed, because the settings give no
// peer certificates.
var errNoPeers = errors.New("this instance has no peers; give the peer files in [tls] to share tokens")

// noTransfers is the transferer of an instance without peers.
type noTransfers struct{}

func (noTransfers) Request(context.Context, string, quota.Request) (quota.Grant, error) {
	return quota.Grant{}, errNoPeers
}

func (noTransfers) Return(context.Context, string, quota.Return) error { return errNoPeers }

// Probe implements control.Prober.
func (s *Server) Probe(ctx context.Context, address string) (incarnation string, refused bool) {
	if strings.HasPrefix(address, operatorScheme) {
		return probeOperator(ctx, address)
	}
	if s.peers == nil || address == "" {
		return "", false
	}
	result := s.peers.instances.Probe(ctx, address)
	return result.Incarnation, result.State == control.ProbeRefused
}

// probeOperator asks the operator listener of an instance without peers.
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

// handBack gives the shares back with their tokens on a planned stop.
func (q *quotaParts) handBack(log hclog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), handBackTimeout)
	defer cancel()
	if err := q.lease.HandBack(ctx); err != nil {
		log.Warn("quota shares not handed back; others take them over empty", "cause", err)
	}
}

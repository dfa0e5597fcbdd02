package gateway

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/quota"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

const (
	limitRate  = 10.0
	limitBurst = 1000.0
)

var limitOrg = &tables.Organisation{Name: "org", Rate: limitRate, Burst: limitBurst}

// fakePeers stands in for other instances: it answers from one ledger per address.
// An address without a ledger does not answer.
type fakePeers struct {
	clock   *clock.Fake
	ledgers map[string]*quota.Ledger
	names   []string // addresses that HolderAddresses returns
	asked   int      // requests for loans
}

func (p *fakePeers) HolderAddresses() []string { return p.names }

func (p *fakePeers) Request(_ context.Context, address string, request quota.Request) (quota.Grant, error) {
	p.asked++
	if p.ledgers[address] == nil {
		return quota.Grant{}, errors.New("no answer")
	}
	return p.ledgers[address].HandleRequest(request, p.clock.Elapsed()), nil
}

func (p *fakePeers) Return(_ context.Context, address string, ret quota.Return) error {
	if p.ledgers[address] != nil {
		p.ledgers[address].HandleReturn(ret, p.clock.Elapsed())
	}
	return nil
}

// newShareLedger returns a ledger that holds one of two shares with the given
// tokens.
func newShareLedger(share int, tokens float64) *quota.Ledger {
	l := quota.NewLedger()
	l.Configure(1, 2, []quota.Limit{{Organisation: "org", Rate: limitRate, Burst: limitBurst}}, 0)
	l.ApplyLease(quota.Lease{Share: share, Fence: 1, ExpiresAt: time.Hour}, map[string]float64{"org": tokens}, 0)
	return l
}

// newTestRateLimit returns a filter with own tokens, and a peer with peer tokens
// after a holder that does not answer.
func newTestRateLimit(own, peer float64) (*RateLimit, *fakePeers) {
	c := clock.NewFake(time.Unix(0, 0))
	peers := &fakePeers{clock: c, ledgers: map[string]*quota.Ledger{"peer": newShareLedger(1, peer)}, names: []string{"dead", "peer"}}
	f := NewRateLimit(newShareLedger(0, own), c, peers, peers)
	f.runAsync = func(run func()) { run() }
	return f, peers
}

func (f *RateLimit) left() float64 { return f.ledger.Balance("org", f.clock.Elapsed()) }

func rateLimitExchange(maxTokens int) *Exchange {
	return &Exchange{
		Writer:       &responseWriter{ResponseWriter: httptest.NewRecorder()},
		Request:      httptest.NewRequest(http.MethodPost, "/", nil),
		Organisation: limitOrg,
		Route:        &tables.Route{Access: tables.AccessKeys},
		Pool:         &tables.Pool{Kind: tables.PoolEngine, BytesPerToken: 4, DefaultTokens: 50},
		Generation:   GenerationRequest{MaxTokens: maxTokens, Prompt: make([]byte, 401)},
	}
}

// An organisation pays too much if unused tokens are not returned. It pays too
// little if more are returned, or any after a failure in which the target may have
// generated more than it reported.
func TestRateLimitReservesAndReturns(t *testing.T) {
	notRun := &apierr.Error{Outcome: apierr.OutcomeNotRun}
	tests := []struct {
		name      string
		maxTokens int
		usage     Usage
		err       error
		change    func(*Exchange)
		want      float64 // tokens spent
	}{
		{name: "usage known", maxTokens: 100, usage: Usage{PromptTokens: 90, OutputTokens: 10}, want: 100},
		{name: "prompt not reported", maxTokens: 100, usage: Usage{OutputTokens: 10}, want: 111},
		{name: "no usage", maxTokens: 100, want: 201},
		{name: "refused by the target", maxTokens: 100, change: func(ex *Exchange) { ex.Writer.Status = http.StatusBadRequest }, want: 0},
		{name: "default maximum", want: 151},
		{name: "more than reserved", maxTokens: 100, usage: Usage{PromptTokens: 900, OutputTokens: 10}, want: 500},
		{name: "not run", maxTokens: 100, err: notRun, want: 0},
		{name: "unknown outcome", maxTokens: 100, err: errors.New("broken"), usage: Usage{PromptTokens: 90, OutputTokens: 1}, want: 201},
		{name: "service", maxTokens: 100, change: func(ex *Exchange) { ex.Pool.Kind = tables.PoolService }},
		{name: "open route", maxTokens: 100, change: func(ex *Exchange) { ex.Route.Access = tables.AccessOpen }},
		{name: "no organisation", maxTokens: 100, change: func(ex *Exchange) { ex.Organisation = nil }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, _ := newTestRateLimit(500, 0)
			ex := rateLimitExchange(test.maxTokens)
			if test.change != nil {
				test.change(ex)
			}
			err := f.Handle(ex, func(ex *Exchange) error {
				ex.Usage = test.usage
				return test.err
			})
			assert.Equal(t, err, test.err)
			assert.Equal(t, 500-f.left(), test.want)
		})
	}
}

// A request must be admitted with tokens of other instances if this one has too
// few. Unused tokens must be returned to their lenders.
func TestRateLimitBorrowsFromPeers(t *testing.T) {
	f, peers := newTestRateLimit(100, 400)
	err := f.Handle(rateLimitExchange(200), func(ex *Exchange) error {
		assert.Equal(t, ex.ReservedTokens, int64(301))
		assert.Equal(t, f.left(), 0.0)
		ex.Usage = Usage{PromptTokens: 101, OutputTokens: 50}
		return nil
	})
	assert.NilError(t, err)
	total := f.left() + peers.ledgers["peer"].Balance("org", 0)
	assert.Equal(t, total, 500.0-151)
}

// A refused request must return all tokens, and its Retry-After must be the refill
// time. Once the lenders' balances are known, further requests above the rate must
// not cost messages.
func TestRateLimitRefusesAndReturnsAll(t *testing.T) {
	f, peers := newTestRateLimit(100, 100)
	for range 10 {
		err := f.Handle(rateLimitExchange(200), nil)
		failure := apierr.From(err)
		assert.Equal(t, failure.Code, apierr.CodeRateLimited)
		assert.Equal(t, failure.Status, http.StatusTooManyRequests)
		assert.Equal(t, failure.Outcome, apierr.OutcomeNotRun)
		wait := time.Duration(101 / limitRate * float64(time.Second)) // 301 - 200
		assert.Assert(t, failure.RetryAfter >= wait-time.Millisecond && failure.RetryAfter <= wait+time.Millisecond, "%v", failure.RetryAfter)
	}
	assert.Equal(t, f.left(), 100.0)
	assert.Equal(t, peers.ledgers["peer"].Balance("org", 0), 100.0)
	assert.Assert(t, peers.asked <= 2, "%d loan requests, want at most 2", peers.asked)
}

// A request that costs more than the burst can never be admitted. It must fail
// without Retry-After, or clients retry it for ever.
func TestRateLimitRefusesCostAboveBurst(t *testing.T) {
	f, peers := newTestRateLimit(500, 500)
	failure := apierr.From(f.Handle(rateLimitExchange(1000), nil))
	assert.Equal(t, failure.Code, apierr.CodeCostExceedsBurst)
	assert.Equal(t, failure.Outcome, apierr.OutcomeNotRun)
	assert.Equal(t, failure.RetryAfter, time.Duration(0))
	assert.Assert(t, failure.Remedy != "")
	assert.Equal(t, peers.asked, 0)
}

// A request that costs exactly the burst must be admitted, although only all
// instances together hold that many tokens.
func TestRateLimitServesCostOfWholeBurst(t *testing.T) {
	f, _ := newTestRateLimit(500, 500)
	r, _ := f.Reserve(context.Background(), limitOrg, limitBurst)
	assert.Assert(t, r != nil)
}

// An instance that holds no shares must serve with borrowed tokens.
func TestRateLimitServesWithoutShare(t *testing.T) {
	f, _ := newTestRateLimit(0, 500)
	f.ledger = quota.NewLedger()
	f.ledger.Configure(1, 2, []quota.Limit{{Organisation: "org", Rate: limitRate, Burst: limitBurst}}, 0)
	r, _ := f.Reserve(context.Background(), limitOrg, 400)
	assert.Assert(t, r != nil)
}

// Concurrent reservations must not spend a token twice.
func TestConcurrentReservationsSpendOnce(t *testing.T) {
	f, peers := newTestRateLimit(500, 500)
	peers.names = nil
	var group sync.WaitGroup
	var mu sync.Mutex
	admitted := 0
	for range 20 {
		group.Go(func() {
			for range 10 {
				if r, _ := f.Reserve(context.Background(), limitOrg, 7); r != nil {
					mu.Lock()
					admitted++
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	assert.Equal(t, admitted, int(math.Floor(500.0/7)))
}

// Allocations per request must not grow with the number of instances.
func TestRateLimitAllocationsDoNotGrowWithFleet(t *testing.T) {
	allocations := func(holders int) float64 {
		f, peers := newTestRateLimit(500, 500)
		peers.names = nil
		for i := range holders {
			peers.names = append(peers.names, fmt.Sprint(i))
		}
		return testing.AllocsPerRun(100, func() {
			r, _ := f.Reserve(context.Background(), limitOrg, 10)
			f.Settle(r, 10)
		})
	}
	assert.Equal(t, allocations(8), allocations(410))
	assert.Assert(t, allocations(8) <= 1)
}

func BenchmarkRateLimitFastPath(b *testing.B) {
	f, _ := newTestRateLimit(500, 500)
	b.ReportAllocs()
	for b.Loop() {
		r, _ := f.Reserve(context.Background(), limitOrg, 10)
		f.Settle(r, 10)
	}
}

// An organisation gets more than its rate if its prompts are always estimated too
// low. Tokens used beyond the estimate must be paid by later refills, and the
// estimate must follow the reported usage within maxRatioFactor.
func TestUnderestimatedPrompts(t *testing.T) {
	f, peers := newTestRateLimit(500, 0)
	ex := rateLimitExchange(100)
	assert.NilError(t, f.Handle(ex, func(ex *Exchange) error {
		ex.Usage = Usage{PromptTokens: 900, OutputTokens: 10}
		return nil
	}))
	assert.Equal(t, f.left(), 0.0)
	// 910 tokens were used and 500 were available. A share refills from
	// quota.LoanHold on.
	const owed = 410.0
	repaid := time.Duration(owed/(limitRate/2)*float64(time.Second)) + quota.LoanHold
	peers.clock.Advance(repaid)
	assert.Equal(t, f.left(), 0.0)
	peers.clock.Advance(10 * time.Second)
	assert.Equal(t, f.left(), 10*limitRate/2)

	pool := &tables.Pool{Name: "p", BytesPerToken: 4}
	var ratios tokenRatios
	assert.Equal(t, ratios.estimate(pool, 4000), int64(1000))
	for range 200 {
		ratios.observe(pool, 4000, 2000)
	}
	estimate := ratios.estimate(pool, 4000)
	assert.Assert(t, estimate > 1990 && estimate <= 2001, "%d", estimate)
	for range 200 {
		ratios.observe(pool, 4000, 1_000_000)
	}
	assert.Equal(t, ratios.estimate(pool, 4000), int64(maxRatioFactor*1000))
}

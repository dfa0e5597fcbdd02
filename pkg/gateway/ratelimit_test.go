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

// limitPeers answers from ledgers, by address. A nil ledger does not answer.
type limitPeers struct {
	clock   *clock.Fake
	ledgers map[string]*quota.Ledger
	names   []string
	asked   int
}

func (p *limitPeers) Holders() []string { return p.names }

func (p *limitPeers) Request(_ context.Context, address string, request quota.Request) (quota.Grant, error) {
	p.asked++
	if p.ledgers[address] == nil {
		return quota.Grant{}, errors.New("no answer")
	}
	return p.ledgers[address].HandleRequest(request, p.clock.Elapsed()), nil
}

func (p *limitPeers) Return(_ context.Context, address string, ret quota.Return) error {
	if p.ledgers[address] != nil {
		p.ledgers[address].HandleReturn(ret, p.clock.Elapsed())
	}
	return nil
}

// limitLedger holds one of two shares with some tokens.
func limitLedger(share int, tokens float64) *quota.Ledger {
	l := quota.NewLedger()
	l.Configure(1, 2, []quota.Limit{{Organisation: "org", Rate: limitRate, Burst: limitBurst}}, 0)
	l.ApplyLease(quota.Lease{Share: share, Fence: 1, ExpiresAt: time.Hour}, map[string]float64{"org": tokens}, 0)
	return l
}

func newTestLimit(own, peer float64) (*RateLimit, *limitPeers) {
	c := clock.NewFake(time.Unix(0, 0))
	peers := &limitPeers{clock: c, ledgers: map[string]*quota.Ledger{"peer": limitLedger(1, peer)}, names: []string{"dead", "peer"}}
	f := NewRateLimit(limitLedger(0, own), c, peers, peers)
	f.start = func(run func()) { run() }
	return f, peers
}

func (f *RateLimit) left() float64 { return f.ledger.Balance("org", f.clock.Elapsed()) }

func limitExchange(maxTokens int) *Exchange {
	return &Exchange{
		Writer:       &responseWriter{ResponseWriter: httptest.NewRecorder()},
		Request:      httptest.NewRequest(http.MethodPost, "/", nil),
		Organisation: limitOrg,
		Route:        &tables.Route{Access: tables.AccessKeys},
		Pool:         &tables.Pool{Kind: tables.PoolEngine, BytesPerToken: 4, DefaultTokens: 50},
		Generation:   GenerationRequest{MaxTokens: maxTokens, Prompt: make([]byte, 401)},
	}
}

// Guards against wrong costs, and against returns that are missing, too large,
// or made although the target may have generated more than it reported.
func TestLimitReservesAndReturns(t *testing.T) {
	notRun := &apierr.Error{Outcome: apierr.NotRun}
	tests := []struct {
		name      string
		maxTokens int
		usage     Usage
		err       error
		change    func(*Exchange)
		want      float64 // spent
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
			f, _ := newTestLimit(500, 0)
			ex := limitExchange(test.maxTokens)
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

// Guards against a request that is refused although other instances have the
// tokens, and against loans that are not returned.
func TestLimitBorrowsFromPeers(t *testing.T) {
	f, peers := newTestLimit(100, 400)
	err := f.Handle(limitExchange(200), func(ex *Exchange) error {
		assert.Equal(t, ex.Cost, int64(301))
		assert.Equal(t, f.left(), 0.0)
		ex.Usage = Usage{PromptTokens: 101, OutputTokens: 50}
		return nil
	})
	assert.NilError(t, err)
	total := f.left() + peers.ledgers["peer"].Balance("org", 0)
	assert.Equal(t, total, 500.0-151)
}

// Guards against refusals that keep tokens, have a wrong Retry-After, or cost
// messages for each request of an organisation that is far above its rate.
func TestLimitRefusesAndReturnsAll(t *testing.T) {
	f, peers := newTestLimit(100, 100)
	for range 10 {
		err := f.Handle(limitExchange(200), nil)
		failure := apierr.From(err)
		assert.Equal(t, failure.Code, apierr.CodeRateLimited)
		assert.Equal(t, failure.Status, http.StatusTooManyRequests)
		assert.Equal(t, failure.Outcome, apierr.NotRun)
		wait := time.Duration(101 / limitRate * float64(time.Second)) // 301 - 200
		assert.Assert(t, failure.RetryAfter >= wait-time.Millisecond && failure.RetryAfter <= wait+time.Millisecond, "%v", failure.RetryAfter)
	}
	assert.Equal(t, f.left(), 100.0)
	assert.Equal(t, peers.ledgers["peer"].Balance("org", 0), 100.0)
	assert.Assert(t, peers.asked <= 2, "%d messages", peers.asked)
}

// Guards against a request that is told to wait although it can never fit.
func TestLimitRefusesCostAboveBurst(t *testing.T) {
	f, peers := newTestLimit(500, 500)
	failure := apierr.From(f.Handle(limitExchange(1000), nil))
	assert.Equal(t, failure.Code, apierr.CodeCostTooLarge)
	assert.Equal(t, failure.Outcome, apierr.NotRun)
	assert.Equal(t, failure.RetryAfter, time.Duration(0))
	assert.Assert(t, failure.Remedy != "")
	assert.Equal(t, peers.asked, 0)
}

// Guards against a cost of the whole burst that only all instances together hold.
func TestLimitServesCostOfWholeBurst(t *testing.T) {
	f, _ := newTestLimit(500, 500)
	r, _ := f.Reserve(context.Background(), limitOrg, limitBurst)
	assert.Assert(t, r != nil)
}

// Guards against an instance without shares that cannot serve.
func TestLimitServesWithoutShare(t *testing.T) {
	f, _ := newTestLimit(0, 500)
	f.ledger = quota.NewLedger()
	f.ledger.Configure(1, 2, []quota.Limit{{Organisation: "org", Rate: limitRate, Burst: limitBurst}}, 0)
	r, _ := f.Reserve(context.Background(), limitOrg, 400)
	assert.Assert(t, r != nil)
}

// Guards against reservations on several threads that spend a token twice.
func TestConcurrentReservationsSpendOnce(t *testing.T) {
	f, peers := newTestLimit(500, 500)
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

// Guards against a request path whose allocations grow with the fleet.
func TestLimitAllocatesTheSameInALargeFleet(t *testing.T) {
	allocations := func(holders int) float64 {
		f, peers := newTestLimit(500, 500)
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

func BenchmarkLimitFastPath(b *testing.B) {
	f, _ := newTestLimit(500, 500)
	b.ReportAllocs()
	for b.Loop() {
		r, _ := f.Reserve(context.Background(), limitOrg, 10)
		f.Settle(r, 10)
	}
}

// Guards against prompts whose tokens are underestimated all the time: what was
// used beyond the estimate must be paid by the refills, and the estimate must
// follow what targets report, within bounds.
func TestUnderestimatedPrompts(t *testing.T) {
	f, peers := newTestLimit(500, 0)
	ex := limitExchange(100)
	assert.NilError(t, f.Handle(ex, func(ex *Exchange) error {
		ex.Usage = Usage{PromptTokens: 900, OutputTokens: 10}
		return nil
	}))
	assert.Equal(t, f.left(), 0.0)
	// 910 were used and 500 were there. A share refills from LoanHold on.
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

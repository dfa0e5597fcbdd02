package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/quota"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

const (
	// askTimeout bounds the wait for one instance, collectTimeout that for all.
	// Zones are a millisecond apart, and a loan must be spent in half a second.
	askTimeout     = 100 * time.Millisecond
	collectTimeout = 250 * time.Millisecond
	// returnTimeout bounds the sending of a return, whose loss only wastes tokens.
	returnTimeout = time.Second
	// maxReturns bounds the returns that are being sent; further ones are lost.
	maxReturns = 64
)

// Transferer carries transfers of tokens to other instances.
type Transferer = quota.Transferer

// HolderSource lists the addresses of other instances that hold quota shares.
type HolderSource interface{ Holders() []string }

// RateLimit reserves the cost of each request from its organisation's rate and
// burst, and returns what was not used. Routes open to all have no organisation
// to charge, and services do not generate tokens, so neither costs anything.
type RateLimit struct {
	ledger   *quota.Ledger
	clock    clock.Clock
	holders  HolderSource
	transfer Transferer
	hints    hints
	ratios   tokenRatios
	sending  chan struct{}
	start    func(func()) // runs a function in the background; tests run it at once
}

// NewRateLimit returns the filter. Hints about other balances start unknown.
func NewRateLimit(ledger *quota.Ledger, c clock.Clock, holders HolderSource, transfer Transferer) *RateLimit {
	return &RateLimit{
		ledger: ledger, clock: c, holders: holders, transfer: transfer,
		sending: make(chan struct{}, maxReturns),
		start:   func(run func()) { go run() },
	}
}

// Name implements Filter.
func (f *RateLimit) Name() string { return "limit" }

// Handle implements Filter.
func (f *RateLimit) Handle(ex *Exchange, next Handler) error {
	if ex.Organisation == nil || ex.Route.Access == tables.AccessOpen || ex.Pool.Kind != tables.PoolEngine {
		return next(ex)
	}
	cost := f.requestCost(ex)
	if float64(cost) > ex.Organisation.Burst {
		return errCostExceedsBurst(ex, cost)
	}
	reservation, retryAfter := f.Reserve(ex.Context(), ex.Organisation, cost)
	if reservation == nil {
		return errRateLimited(ex, cost, retryAfter)
	}
	ex.Cost = cost
	err := next(ex)
	f.settleUsage(ex, reservation, err)
	return err
}

// settleUsage gives back what was not used, or charges what was used beyond the
// estimate to the tokens to come.
func (f *RateLimit) settleUsage(ex *Exchange, r *quota.Reservation, err error) {
	if err == nil {
		f.ratios.observe(ex.Pool, len(ex.Generation.Prompt), ex.Usage.PromptTokens)
	}
	unused := unusedTokens(ex, err)
	f.Settle(r, max(0, unused))
	if unused < 0 {
		f.ledger.Charge(ex.Organisation.Name, float64(-unused), f.clock.Elapsed())
	}
}

func (f *RateLimit) requestCost(ex *Exchange) int64 {
	output := ex.Generation.MaxTokens
	if output == 0 {
		output = ex.Pool.DefaultTokens
	}
	ex.promptEstimate = f.ratios.estimate(ex.Pool, len(ex.Generation.Prompt))
	return ex.promptEstimate + int64(output)
}

// unusedTokens returns what may be given back, or a negative number if more was
// used than reserved. After a failure whose outcome is
// unknown, the target may have generated more than it reported, so nothing is.
func unusedTokens(ex *Exchange, err error) int64 {
	if err != nil {
		if apierr.From(err).Outcome == apierr.NotRun {
			return ex.Cost
		}
		return 0
	}
	if status := ex.Writer.Status; status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return ex.Cost // the target refused the request as it is
	}
	if ex.Usage.PromptTokens == 0 && ex.Usage.OutputTokens == 0 {
		return 0 // nothing was reported
	}
	prompt := int64(ex.Usage.PromptTokens)
	if prompt == 0 {
		prompt = ex.promptEstimate
	}
	return ex.Cost - prompt - int64(ex.Usage.OutputTokens)
}

// Reserve takes the cost from the own balance and, if that is too small, from
// other instances. It returns nil and the time until enough tokens are there if
// the cost is not to be had.
func (f *RateLimit) Reserve(ctx context.Context, org *tables.Organisation, cost int64) (*quota.Reservation, time.Duration) {
	r := f.ledger.Reserve(org.Name, float64(cost), f.clock.Elapsed())
	elsewhere := 0.0
	if r.MissingTokens() > 0 {
		elsewhere = f.collect(ctx, &r)
	}
	if r.Commit(f.clock.Elapsed()) {
		return &r, 0
	}
	retryAfter := refillTime(r.MissingTokens()-elsewhere, org.Rate)
	f.send(r.Abort(f.clock.Elapsed()))
	return nil, retryAfter
}

// Settle gives the unused part of a reservation back.
func (f *RateLimit) Settle(r *quota.Reservation, unused int64) {
	f.send(r.Settle(float64(unused), f.clock.Elapsed()))
}

func refillTime(missing, rate float64) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	return max(time.Second, time.Duration(missing/rate*float64(time.Second)))
}

// collect asks other instances for what the reservation lacks, those that are
// likely to have most first. If they are known to have too little together, it
// sends nothing and returns how much that is, so that an organisation far above
// its rate causes few messages.
func (f *RateLimit) collect(ctx context.Context, r *quota.Reservation) float64 {
	now := f.clock.Elapsed()
	lenders := f.hints.rank(r.Organisation, f.holders.Holders(), now)
	if lenders.expected < r.MissingTokens() {
		return lenders.expected
	}
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	asked := make([]string, 0, maxLenders)
	var named []string
	for _, lender := range lenders.list[:lenders.n] {
		if r.MissingTokens() == 0 || ctx.Err() != nil {
			return 0
		}
		asked = append(asked, lender.address)
		named = append(named, f.ask(ctx, r, lender.address)...)
	}
	for _, address := range named {
		if r.MissingTokens() == 0 || ctx.Err() != nil || len(asked) == maxLenders {
			return 0
		}
		if !slices.Contains(asked, address) {
			asked = append(asked, address)
			f.ask(ctx, r, address)
		}
	}
	return 0
}

// ask takes a loan from a lender. It returns the other holders that the lender
// named.
func (f *RateLimit) ask(ctx context.Context, r *quota.Reservation, lender string) []string {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request := r.NewLoanRequest(lender, quota.TransferID(uuid.New()), f.clock.Elapsed())
	grant, err := f.transfer.Request(ctx, lender, request)
	now := f.clock.Elapsed()
	if err != nil {
		f.hints.note(r.Organisation, lender, hint{at: now})
		return nil
	}
	f.hints.note(r.Organisation, lender, hint{left: grant.Remaining, rate: grant.Rate, at: now})
	r.ApplyGrant(grant, now)
	return grant.Holders[:min(quota.MaxGrantHolders, len(grant.Holders))]
}

// send gives tokens back to their lenders without keeping the caller waiting.
func (f *RateLimit) send(returns []quota.PeerReturn) {
	if len(returns) == 0 {
		return
	}
	for _, r := range returns {
		if r.GrantReceived {
			f.hints.add(r.Return.Organisation, r.Address, r.Return.Amount)
		}
	}
	select {
	case f.sending <- struct{}{}:
	default:
		return
	}
	f.start(func() {
		defer func() { <-f.sending }()
		ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
		defer cancel()
		for _, r := range returns {
			_ = f.transfer.Return(ctx, r.Address, r.Return)
		}
	})
}

func errRateLimited(ex *Exchange, cost int64, retryAfter time.Duration) error {
	return &apierr.Error{
		Code: apierr.CodeRateLimited, Status: http.StatusTooManyRequests, Outcome: apierr.NotRun,
		Message:    fmt.Sprintf("organisation %s has too few tokens left for a request of %d", ex.Organisation.Name, cost),
		Remedy:     "send the request again after the time in Retry-After, or set a smaller max_tokens",
		RetryAfter: retryAfter,
	}
}

// errCostExceedsBurst has a status that clients do not retry by themselves,
// because waiting does not help.
func errCostExceedsBurst(ex *Exchange, cost int64) error {
	return &apierr.Error{
		Code: apierr.CodeCostTooLarge, Status: http.StatusBadRequest, Outcome: apierr.NotRun,
		Message: fmt.Sprintf("the request may use %d tokens, more than the burst of %.0f of organisation %s", cost, ex.Organisation.Burst, ex.Organisation.Name),
		Remedy:  "set a smaller max_tokens, send a shorter prompt, or ask the operators for a larger burst",
	}
}

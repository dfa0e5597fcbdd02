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
	// loanTimeout bounds the wait for one lender, borrowTimeout that for all
	// lenders of a request. The round trip between zones takes about 1 ms, and a
	// loan expires after 500 ms.
	loanTimeout   = 100 * time.Millisecond
	borrowTimeout = 250 * time.Millisecond
	// returnTimeout bounds the sending of the returns of one request. A lost return
	// only wastes tokens.
	returnTimeout = time.Second
	// maxConcurrentReturns bounds the requests whose returns are being sent;
	// further returns are dropped.
	maxConcurrentReturns = 64
)

// Transferer sends token transfers to other instances.
type Transferer = quota.Transferer

// HolderSource lists the addresses of other instances that hold quota shares.
type HolderSource interface{ HolderAddresses() []string }

// RateLimit reserves the cost of each request, in tokens, from the balance of
// its organisation and returns the unused part. Requests without an organisation,
// on open routes and to services are not limited.
type RateLimit struct {
	ledger      *quota.Ledger
	clock       clock.Clock
	holders     HolderSource
	transfer    Transferer
	hints       balanceHints
	ratios      tokenRatios
	returnSlots chan struct{}
	runAsync    func(func()) // starts a goroutine; tests call the function directly
}

// NewRateLimit returns the filter. ledger holds the balances of this instance;
// holders and transfer give access to those of other instances.
func NewRateLimit(ledger *quota.Ledger, c clock.Clock, holders HolderSource, transfer Transferer) *RateLimit {
	return &RateLimit{
		ledger: ledger, clock: c, holders: holders, transfer: transfer,
		returnSlots: make(chan struct{}, maxConcurrentReturns),
		runAsync:    func(run func()) { go run() },
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
	ex.ReservedTokens = cost
	err := next(ex)
	f.settleUsage(ex, reservation, err)
	return err
}

// settleUsage returns the unused tokens of a reservation. Tokens used beyond it
// are charged to the balance and paid by later refills.
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

// requestCost returns the tokens to reserve: the estimated prompt plus the
// maximum output. It sets ex.estimatedPromptTokens.
func (f *RateLimit) requestCost(ex *Exchange) int64 {
	output := ex.Generation.MaxTokens
	if output == 0 {
		output = ex.Pool.DefaultTokens
	}
	ex.estimatedPromptTokens = f.ratios.estimate(ex.Pool, len(ex.Generation.Prompt))
	return ex.estimatedPromptTokens + int64(output)
}

// unusedTokens returns the tokens to return, or a negative number if the request
// used more than it reserved. It returns 0 after a failure with unknown outcome,
// because the target may have generated more than it reported.
func unusedTokens(ex *Exchange, err error) int64 {
	if err != nil {
		if apierr.From(err).Outcome == apierr.OutcomeNotRun {
			return ex.ReservedTokens
		}
		return 0
	}
	if status := ex.Writer.Status; status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return ex.ReservedTokens // the target rejected the request
	}
	if ex.Usage.PromptTokens == 0 && ex.Usage.OutputTokens == 0 {
		return 0 // the target reported no usage
	}
	prompt := int64(ex.Usage.PromptTokens)
	if prompt == 0 {
		prompt = ex.estimatedPromptTokens
	}
	return ex.ReservedTokens - prompt - int64(ex.Usage.OutputTokens)
}

// Reserve reserves cost tokens of an organisation. Tokens that this instance
// lacks are borrowed from other instances, for at most borrowTimeout. If there are
// too few, it returns nil and the time until refills cover the rest. It may be
// called concurrently.
func (f *RateLimit) Reserve(ctx context.Context, org *tables.Organisation, cost int64) (*quota.Reservation, time.Duration) {
	r := f.ledger.Reserve(org.Name, float64(cost), f.clock.Elapsed())
	peerBalance := 0.0
	if r.MissingTokens() > 0 {
		peerBalance = f.borrow(ctx, &r)
	}
	if r.Commit(f.clock.Elapsed()) {
		return &r, 0
	}
	retryAfter := refillTime(r.MissingTokens()-peerBalance, org.Rate)
	f.returnTokens(r.Abort(f.clock.Elapsed()))
	return nil, retryAfter
}

// Settle ends a reservation and returns its unused tokens, those that were
// borrowed to their lenders.
func (f *RateLimit) Settle(r *quota.Reservation, unused int64) {
	f.returnTokens(r.Settle(float64(unused), f.clock.Elapsed()))
}

// refillTime returns the time in which rate, in tokens per second, refills the
// missing tokens; at least a second, and an hour without a rate.
func refillTime(missing, rate float64) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	return max(time.Second, time.Duration(missing/rate*float64(time.Second)))
}

// borrow requests loans for the missing tokens from other instances, in order of
// their expected balances. If these are too small together, it sends nothing and
// returns their sum, so that an organisation far above its rate causes few
// messages. Otherwise it returns 0.
func (f *RateLimit) borrow(ctx context.Context, r *quota.Reservation) float64 {
	now := f.clock.Elapsed()
	lenders := f.hints.rank(r.Organisation, f.holders.HolderAddresses(), now)
	if lenders.expected < r.MissingTokens() {
		return lenders.expected
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	asked := make([]string, 0, maxLenders)
	var referrals []string
	for _, lender := range lenders.list[:lenders.n] {
		if r.MissingTokens() == 0 || ctx.Err() != nil {
			return 0
		}
		asked = append(asked, lender.address)
		referrals = append(referrals, f.requestLoan(ctx, r, lender.address)...)
	}
	for _, address := range referrals {
		if r.MissingTokens() == 0 || ctx.Err() != nil || len(asked) == maxLenders {
			return 0
		}
		if !slices.Contains(asked, address) {
			asked = append(asked, address)
			f.requestLoan(ctx, r, address)
		}
	}
	return 0
}

// requestLoan requests the missing tokens from a lender and adds its loan to the
// reservation. It returns the addresses of other holders from the answer.
func (f *RateLimit) requestLoan(ctx context.Context, r *quota.Reservation, lender string) []string {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	request := r.NewLoanRequest(lender, quota.TransferID(uuid.New()), f.clock.Elapsed())
	grant, err := f.transfer.Request(ctx, lender, request)
	now := f.clock.Elapsed()
	if err != nil {
		f.hints.record(r.Organisation, lender, balanceHint{receivedAt: now})
		return nil
	}
	f.hints.record(r.Organisation, lender, balanceHint{tokens: grant.Remaining, rate: grant.Rate, receivedAt: now})
	r.ApplyGrant(grant, now)
	return grant.Holders[:min(quota.MaxGrantHolders, len(grant.Holders))]
}

// returnTokens sends tokens back to their lenders in the background. It drops
// them if maxConcurrentReturns sends are running.
func (f *RateLimit) returnTokens(returns []quota.PeerReturn) {
	if len(returns) == 0 {
		return
	}
	for _, r := range returns {
		if r.GrantReceived {
			f.hints.addReturned(r.Return.Organisation, r.Address, r.Return.Amount)
		}
	}
	select {
	case f.returnSlots <- struct{}{}:
	default:
		return
	}
	f.runAsync(func() {
		defer func() { <-f.returnSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
		defer cancel()
		for _, r := range returns {
			_ = f.transfer.Return(ctx, r.Address, r.Return)
		}
	})
}

func errRateLimited(ex *Exchange, cost int64, retryAfter time.Duration) error {
	return &apierr.Error{
		Code: apierr.CodeRateLimited, Status: http.StatusTooManyRequests, Outcome: apierr.OutcomeNotRun,
		Message:    fmt.Sprintf("organisation %s has too few tokens left for a request of %d", ex.Organisation.Name, cost),
		Remedy:     "send the request again after the time in Retry-After, or set a smaller max_tokens",
		RetryAfter: retryAfter,
	}
}

// errCostExceedsBurst returns an error with status 400, which clients do not
// retry automatically: waiting does not help.
func errCostExceedsBurst(ex *Exchange, cost int64) error {
	return &apierr.Error{
		Code: apierr.CodeCostExceedsBurst, Status: http.StatusBadRequest, Outcome: apierr.OutcomeNotRun,
		Message: fmt.Sprintf("the request may use %d tokens, more than the burst of %.0f of organisation %s", cost, ex.Organisation.Burst, ex.Organisation.Name),
		Remedy:  "set a smaller max_tokens, send a shorter prompt, or ask the operators for a larger burst",
	}
}

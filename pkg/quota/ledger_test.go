package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const hour = time.Hour

// newTestLedger returns a ledger with the given tokens that holds both shares
// of an organisation, each with a burst of 50 and a rate of 5 tokens per
// second.
func newTestLedger(tokens float64) *Ledger {
	l := NewLedger()
	l.Configure(1, 2, []Limit{{testOrg, 10, 100}}, 0)
	for share := range 2 {
		l.ApplyLease(Lease{share, 1, hour}, map[string]float64{testOrg: tokens / 2}, 0)
	}
	return l
}

// After a pause that outlasts its lease, an instance must not spend tokens that
// the new holder of the share spends as well, even if they were reserved
// before.
func TestNoSpendAfterLeaseExpired(t *testing.T) {
	l := newTestLedger(100)
	r := l.Reserve(testOrg, 10, 0)
	assert.Assert(t, !r.Commit(hour))
	late := l.Reserve(testOrg, 10, hour)
	assert.Equal(t, late.MissingTokens(), 10.0)
	assert.Assert(t, !late.Commit(hour))
	assert.Equal(t, l.Balance(testOrg, 2*hour), 0.0)
}

// After an outage of the platform that outlasts the lease, a renewal with the
// same fence proves that there was no other holder. If its tokens were dropped,
// callers would be refused after each such outage.
func TestRenewalWithSameFenceKeepsTokens(t *testing.T) {
	l := newTestLedger(100)
	assert.Equal(t, l.Balance(testOrg, hour+time.Second), 0.0)
	l.ApplyLease(Lease{0, 1, 3 * hour}, nil, 2*hour)
	l.ApplyLease(Lease{1, 2, 3 * hour}, nil, 2*hour)
	assert.Equal(t, l.Balance(testOrg, 2*hour), 50.0)
}

// Loans of the previous holder may still be spent just after a takeover. If the
// new holder refilled the share within LoanHold, the fleet would exceed the
// burst.
func TestTakenOverShareIsNotRefilledDuringLoanHold(t *testing.T) {
	l := newTestLedger(0)
	assert.Equal(t, l.Balance(testOrg, LoanHold), 0.0)
	assert.Equal(t, l.Balance(testOrg, LoanHold+time.Second), 10.0)
}

// A lender refills the capacity of a loan after LoanHold. A grant that arrives
// late or twice must not add tokens, or the fleet would exceed the burst.
func TestLateOrRepeatedGrantHasNoEffect(t *testing.T) {
	l := newTestLedger(0)
	r := l.Reserve(testOrg, 10, 0)
	first, second := TransferID{1}, TransferID{2}
	r.NewLoanRequest("a", first, 0)
	r.NewLoanRequest("b", second, 0)
	r.ApplyGrant(Grant{ID: first, Amount: 4}, 1)
	r.ApplyGrant(Grant{ID: first, Amount: 4}, 1)
	assert.Equal(t, r.MissingTokens(), 6.0)
	r.ApplyGrant(Grant{ID: second, Amount: 6}, LoanLifetime)
	assert.Equal(t, r.MissingTokens(), 6.0)
	assert.Equal(t, len(r.Abort(LoanLifetime)), 2)
}

// A reservation must not be committed after one of its loans expired, because
// the lender may have refilled the capacity of the loan.
func TestCommitAfterLoanExpiredIsRefused(t *testing.T) {
	l := newTestLedger(0)
	r := l.Reserve(testOrg, 10, 0)
	r.NewLoanRequest("a", TransferID{1}, 0)
	r.ApplyGrant(Grant{ID: TransferID{1}, Amount: 10}, 1)
	assert.Equal(t, r.MissingTokens(), 0.0)
	assert.Assert(t, !r.Commit(LoanLifetime))
}

// Moves must not create tokens: a move adds at most the capacity reserved for
// it, and a repeated grant, or one for an abandoned move, adds nothing.
func TestMoveAddsAtMostReservedCapacity(t *testing.T) {
	l := newTestLedger(0)
	id := TransferID{1}
	request, ok := l.PrepareMove(testOrg, id, 1, 0)
	assert.Assert(t, ok)
	assert.Equal(t, request.Amount, 50.0)
	l.CompleteMove(testOrg, id, 80, 1)
	l.CompleteMove(testOrg, id, 80, 1)
	assert.Equal(t, l.Balance(testOrg, 1), 50.0)
	assert.Equal(t, l.Balance(testOrg, time.Minute), 100.0)
	l.Reserve(testOrg, 100, time.Minute)
	_, ok = l.PrepareMove(testOrg, TransferID{2}, 1, time.Minute)
	assert.Assert(t, ok)
	l.CompleteMove(testOrg, TransferID{2}, 0, time.Minute) // abandoned
	l.CompleteMove(testOrg, TransferID{2}, 50, time.Minute)
	assert.Equal(t, l.Balance(testOrg, time.Minute), 0.0)
}

// Reserved tokens that wait for a loan, and tokens of a move, expire with the
// lease that covers them. If they could be credited afterwards, the next holder
// of the share and this instance would spend the same tokens.
func TestWaitingTokensAndMovesExpire(t *testing.T) {
	l := newTestLedger(50)
	r := l.Reserve(testOrg, 80, 0)
	_, ok := l.PrepareMove(testOrg, TransferID{1}, 1, 0)
	assert.Assert(t, ok)
	later := LoanHold - 1 // before the first refill
	l.CompleteMove(testOrg, TransferID{1}, 25, later)
	r.Abort(later)
	assert.Equal(t, l.Balance(testOrg, later), 0.0)
}

// A refill must not use the capacity reserved for a pending move, or the move
// would exceed the capacity.
func TestRefillLeavesReservedCapacityFree(t *testing.T) {
	l := newTestLedger(0)
	_, ok := l.PrepareMove(testOrg, TransferID{1}, 1, 0)
	assert.Assert(t, ok)
	assert.Equal(t, l.Balance(testOrg, time.Minute), 50.0)
}

// Messages may be repeated or reordered. A lender must debit a request once,
// credit a return once, and lend nothing after the borrower has returned the
// loan.
func TestLenderHandlesRepeatedMessagesOnce(t *testing.T) {
	l := newTestLedger(100)
	request := Request{ID: TransferID{1}, Organisation: testOrg, Amount: 30}
	assert.Equal(t, l.HandleRequest(request, 0).Amount, 30.0)
	assert.Equal(t, l.HandleRequest(request, 0).Amount, 30.0)
	assert.Equal(t, l.Balance(testOrg, 0), 70.0)
	l.HandleReturn(Return{request.ID, testOrg, 20}, 0)
	l.HandleReturn(Return{request.ID, testOrg, 20}, 0)
	assert.Equal(t, l.Balance(testOrg, 0), 90.0)
	l.HandleReturn(Return{TransferID{2}, testOrg, 20}, 0)
	assert.Equal(t, l.HandleRequest(Request{ID: TransferID{2}, Organisation: testOrg, Amount: 20}, 0).Amount, 0.0)
}

// An instance that hands back its shares must hand back all tokens, and be
// unable to spend them itself.
func TestReleaseShareRemovesAllTokens(t *testing.T) {
	l := newTestLedger(90)
	first := l.ReleaseShare(0, 0)
	second := l.ReleaseShare(1, 0)
	assert.Equal(t, first[testOrg]+second[testOrg], 90.0)
	assert.Equal(t, l.Balance(testOrg, time.Minute), 0.0)
}

// A history that is full merges minima. It must not credit more than the
// headroom since the reservation allowed, or an organisation could exceed its
// burst.
func TestHistoryNeverCreditsMoreThanHeadroom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h history
		var seen []float64 // headroom before each rise
		headroom := 100.0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "op") > 0 {
				headroom -= float64(rapid.IntRange(0, int(headroom)).Draw(t, "refill"))
				h.record(headroom)
				seen = append(seen, headroom)
				headroom += float64(rapid.IntRange(0, 50).Draw(t, "spent"))
				continue
			}
			since := rapid.IntRange(0, len(seen)).Draw(t, "since")
			want := min(20, headroom)
			for _, past := range seen[since:] {
				want = min(want, past)
			}
			got := h.credit(uint64(since), 20, headroom)
			if got > want || (len(seen) <= historySize && got < want) {
				t.Fatalf("credited %g, the headroom allowed %g", got, want)
			}
			headroom -= got
			for i := since; i < len(seen); i++ {
				seen[i] -= got
			}
		}
	})
}

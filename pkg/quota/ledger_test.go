package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const hour = time.Hour

// full returns a ledger that holds all of two shares of 50 tokens, gaining 5
// tokens a second each.
func full(tokens float64) *Ledger {
	l := NewLedger()
	l.Configure(1, 2, []Limit{{testOrg, 10, 100}}, 0)
	for share := range 2 {
		l.ApplyLease(Lease{share, 1, hour}, map[string]float64{testOrg: tokens / 2}, 0)
	}
	return l
}

// Guards against a holder that was paused past its lease and then spends, also
// when the pause falls between the reservation and its commit.
func TestPausedHolderSpendsNothing(t *testing.T) {
	l := full(100)
	r := l.Reserve(testOrg, 10, 0)
	assert.Assert(t, !r.Commit(hour))
	late := l.Reserve(testOrg, 10, hour)
	assert.Equal(t, late.MissingTokens(), 10.0)
	assert.Assert(t, !late.Commit(hour))
	assert.Equal(t, l.Balance(testOrg, 2*hour), 0.0)
}

// Guards against burst lost in an outage that outlasts the lease: a renewal
// under the same fence proves that nobody else had the share.
func TestRenewalUnderTheSameFenceKeepsTokens(t *testing.T) {
	l := full(100)
	assert.Equal(t, l.Balance(testOrg, hour+time.Second), 0.0)
	l.ApplyLease(Lease{0, 1, 3 * hour}, nil, 2*hour)
	l.ApplyLease(Lease{1, 2, 3 * hour}, nil, 2*hour)
	assert.Equal(t, l.Balance(testOrg, 2*hour), 50.0)
}

// Guards against a new holder that refills while loans of the last holder can
// still be spent.
func TestTakenOverShareWaitsForLoans(t *testing.T) {
	l := full(0)
	assert.Equal(t, l.Balance(testOrg, LoanHold), 0.0)
	assert.Equal(t, l.Balance(testOrg, LoanHold+time.Second), 10.0)
}

// Guards against loans spent after their lender has refilled their place.
func TestLateOrRepeatedGrantCountsOnce(t *testing.T) {
	l := full(0)
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

// Guards against a complete reservation that is committed after a loan in it
// has ended.
func TestCommitAfterLoanEndsIsRefused(t *testing.T) {
	l := full(0)
	r := l.Reserve(testOrg, 10, 0)
	r.NewLoanRequest("a", TransferID{1}, 0)
	r.ApplyGrant(Grant{ID: TransferID{1}, Amount: 10}, 1)
	assert.Equal(t, r.MissingTokens(), 0.0)
	assert.Assert(t, !r.Commit(LoanLifetime))
}

// Guards against moves that create capacity: the room of a move stays free
// until the move arrives or is given up, and a grant counts once.
func TestMoveFitsReservedRoom(t *testing.T) {
	l := full(0)
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
	l.CompleteMove(testOrg, TransferID{2}, 0, time.Minute) // given up
	l.CompleteMove(testOrg, TransferID{2}, 50, time.Minute)
	assert.Equal(t, l.Balance(testOrg, time.Minute), 0.0)
}

// Guards against tokens in waiting or on their way that come back to life after
// the lease that covered them, when another instance may hold the share.
func TestWaitingTokensAndMovesEndInTime(t *testing.T) {
	l := full(50)
	r := l.Reserve(testOrg, 80, 0)
	_, ok := l.PrepareMove(testOrg, TransferID{1}, 1, 0)
	assert.Assert(t, ok)
	later := LoanHold - 1 // before the refill starts
	l.CompleteMove(testOrg, TransferID{1}, 25, later)
	r.Abort(later)
	assert.Equal(t, l.Balance(testOrg, later), 0.0)
}

// Guards against a full account that keeps no room for a move on its way.
func TestRefillLeavesRoomForMove(t *testing.T) {
	l := full(0)
	_, ok := l.PrepareMove(testOrg, TransferID{1}, 1, 0)
	assert.Assert(t, ok)
	assert.Equal(t, l.Balance(testOrg, time.Minute), 50.0)
}

// Guards against a lender that pays twice for a repeated request, credits a
// repeated return twice, or lends after the borrower has given up.
func TestLenderHandlesEachTransferOnce(t *testing.T) {
	l := full(100)
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

// Guards against a hand-back that loses tokens or leaves them spendable.
func TestReleaseTakesAllTokensOut(t *testing.T) {
	l := full(90)
	first := l.ReleaseShare(0, 0)
	second := l.ReleaseShare(1, 0)
	assert.Equal(t, first[testOrg]+second[testOrg], 90.0)
	assert.Equal(t, l.Balance(testOrg, time.Minute), 0.0)
}

// Guards against a history that, once merged, credits more than fitted.
func TestHistoryNeverCreditsMoreThanFitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h history
		var seen []float64 // headroom before each rise
		headroom := 100.0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "op") > 0 {
				headroom -= float64(rapid.IntRange(0, int(headroom)).Draw(t, "refill"))
				h.note(headroom)
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
				t.Fatalf("credited %g, fitted %g", got, want)
			}
			headroom -= got
			for i := since; i < len(seen); i++ {
				seen[i] -= got
			}
		}
	})
}

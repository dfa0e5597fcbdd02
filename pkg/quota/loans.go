package quota

import "time"

// maxLoans is the number of transfers kept by an account. A transfer that is
// evicted can no longer be returned, so its unspent tokens are lost.
const maxLoans = 1024

// loan is a transfer to another instance (a loan or a move), or a return that
// came before its request.
type loan struct {
	id        TransferID
	amount    float64
	heldUntil time.Duration // end of LoanHold
	held      bool          // counted in account.lent
	returned  bool
	position  uint64 // of the account's history when held ended or a move was debited
}

// loans holds recent transfers.
type loans struct {
	byID      map[TransferID]*loan
	order     []*loan // oldest first
	firstHeld int     // index into order; no loan before it is held
}

// add adds a transfer, evicting the oldest if there are maxLoans. It returns
// false if the oldest is still held.
func (t *loans) add(l *loan) bool {
	if len(t.order) >= maxLoans {
		if t.order[0].held {
			return false
		}
		t.evictOldest()
	}
	if t.byID == nil {
		t.byID = make(map[TransferID]*loan)
	}
	t.byID[l.id] = l
	t.order = append(t.order, l)
	return true
}

func (t *loans) evictOldest() {
	delete(t.byID, t.order[0].id)
	t.order[0] = nil
	t.order = t.order[1:]
	t.firstHeld = max(0, t.firstHeld-1)
}

// nextExpired returns the next held loan whose LoanHold is over, or nil. Loans
// expire in order, since all are held for the same time.
func (t *loans) nextExpired(now time.Duration) *loan {
	for t.firstHeld < len(t.order) {
		l := t.order[t.firstHeld]
		if l.held && now < l.heldUntil {
			return nil
		}
		t.firstHeld++
		if l.held {
			return l
		}
	}
	return nil
}

package quota

import "time"

// maxLoans bounds the transfers that an account remembers. Forgetting one only
// loses what its borrower could still return.
const maxLoans = 1024

// loan is a transfer that this instance has debited.
type loan struct {
	id       TransferID
	amount   float64
	until    time.Duration
	held     bool // counted in account.lent
	returned bool
	position uint64 // in the account's history, once it is not held
}

// loans holds recent transfers by id, oldest first.
type loans struct {
	byID  map[TransferID]*loan
	order []*loan
	open  int // index into order of the first loan that may be held
}

// add remembers a transfer. It reports false if the table is full of loans that
// are still held.
func (t *loans) add(l *loan) bool {
	if len(t.order) >= maxLoans {
		if t.order[0].held {
			return false
		}
		t.forgetOldest()
	}
	if t.byID == nil {
		t.byID = make(map[TransferID]*loan)
	}
	t.byID[l.id] = l
	t.order = append(t.order, l)
	return true
}

func (t *loans) forgetOldest() {
	delete(t.byID, t.order[0].id)
	t.order[0] = nil
	t.order = t.order[1:]
	t.open = max(0, t.open-1)
}

// due returns the next loan whose hold is over, or nil. All holds have the same
// length, so they end in order.
func (t *loans) due(now time.Duration) *loan {
	for t.open < len(t.order) {
		l := t.order[t.open]
		if l.held && now < l.until {
			return nil
		}
		t.open++
		if l.held {
			return l
		}
	}
	return nil
}

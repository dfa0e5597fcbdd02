package soak

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// A restore of the store goes back by copyAgeLimit at most and the operators write again
// within rewriteLimit. With the time for which the store is away, a lost revocation is in
// the store again before its limit, whatever the routers do.
const (
	copyInterval = 250 * time.Millisecond
	copyAgeLimit = 3 * time.Second
	awayLimit    = 500 * time.Millisecond
	rewriteLimit = 500 * time.Millisecond
)

// startCopies copies the store every copyInterval until the test ends.
func (f *fleet) startCopies() {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(copyInterval):
			}
			f.mu.Lock()
			f.copies = append(f.copies, f.store.Copy())
			f.copies = f.copies[max(0, len(f.copies)-int(copyAgeLimit/copyInterval)):]
			f.mu.Unlock()
		}
	})
	f.t.Cleanup(func() { close(done); group.Wait() })
}

// restoreStore takes the store away and restores it from a copy, after which operators and
// targets write again what was lost. The result waits for them.
func (f *fleet) restoreStore(r *rand.Rand) (end func()) {
	away, rewrite := time.Duration(r.Int64N(int64(awayLimit))), time.Duration(r.Int64N(int64(rewriteLimit)))
	pick := r.Float64()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.store.SetFailure(func(*http.Request) int { return http.StatusServiceUnavailable })
		time.Sleep(away)
		f.mu.Lock()
		if len(f.copies) == 0 {
			f.copies = append(f.copies, f.store.Copy())
		}
		writeAgain := f.store.Restore(f.copies[int(pick*float64(len(f.copies)))])
		f.copies = nil // copies of the lost time cannot come back
		f.mu.Unlock()
		f.store.SetFailure(nil)
		time.Sleep(rewrite)
		writeAgain()
	}()
	return func() { <-done }
}

// checkOrderTokens checks that no two routers ordered under one fencing token: after a
// restore the lease's record does not have those of the lost time.
func (c *checker) checkOrderTokens() {
	holders := make(map[uint64]string)
	for _, e := range c.fleet.targets {
		for _, body := range e.Orders() {
			var order struct {
				Holder string `json:"holder"`
				Token  uint64 `json:"fence_token"`
			}
			if err := json.Unmarshal(body, &order); err != nil {
				c.t.Errorf("target %s received an order that cannot be decoded: %v", e.ID, err)
				continue
			}
			if holder, ok := holders[order.Token]; ok && holder != order.Holder {
				c.t.Errorf("routers %s and %s ordered under token %d", holder, order.Holder, order.Token)
			}
			holders[order.Token] = order.Holder
		}
	}
}

package soak

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"
)

// A restore undoes what happened since a copy that was made up to copyAgeLimit before the store
// goes away, and operators and targets write again within rewriteLimit. A lost revocation is in
// the store again before its limit, whatever the routers do.
const (
	copyAgeLimit = 1500 * time.Millisecond
	awayLimit    = 500 * time.Millisecond
	rewriteLimit = 1500 * time.Millisecond
)

// restoreStore copies the store, lets operators revoke a key and name weights, takes the store
// away and restores it from the copy. Operators and targets then write again what was lost. The
// result waits for them.
func (f *fleet) restoreStore(r *rand.Rand) (end func()) {
	upTo := func(limit time.Duration) time.Duration { return time.Duration(r.Int64N(int64(limit))) }
	age, away, rewrite := upTo(copyAgeLimit), upTo(awayLimit), upTo(rewriteLimit)
	done := make(chan struct{})
	f.restoring.Lock() // one restore at a time
	go func() {
		defer close(done)
		defer f.restoring.Unlock()
		saved := f.store.Copy()
		f.revokeKey()
		f.nameWeights()
		time.Sleep(age)
		f.store.SetFailure(func(*http.Request) int { return http.StatusServiceUnavailable })
		time.Sleep(away)
		writeAgain := f.store.Restore(saved)
		f.store.SetFailure(nil)
		time.Sleep(rewrite)
		writeAgain()
	}()
	return func() { <-done }
}

// checkNoKeyReturns checks that a router process which has refused a revoked key does not let a
// later request with it run.
func (c *checker) checkNoKeyReturns(executed map[string]int) {
	type process struct {
		router string
		start  int64
		key    string
	}
	refusedAt := make(map[process]time.Time)
	for _, s := range c.requests {
		p := process{s.routerName, s.routerStart, s.key}
		revokedAt, revoked := c.fleet.revokedAt(s.key)
		if s.status != http.StatusUnauthorized || !revoked || s.sentAt.Before(revokedAt) {
			continue // a key is refused too before it is known
		}
		if at, ok := refusedAt[p]; !ok || s.answeredAt.Before(at) {
			refusedAt[p] = s.answeredAt
		}
	}
	for id, s := range c.requests {
		at, ok := refusedAt[process{s.routerName, s.routerStart, s.key}]
		if ok && executed[id] > 0 && s.sentAt.After(at) {
			c.t.Errorf("request %s: ran with a revoked key, %v after router %s refused the key", id, s.sentAt.Sub(at), s.routerName)
		}
	}
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

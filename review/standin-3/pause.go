//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"lacewingwheel.example/lacewingwheel/platform"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// runPause lets a busy runner ask each machine for a pause, and cuts it from the store meanwhile,
// so that its entry is removed and comes back.
func runPause(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	const (
		pauseLength = 20 * time.Second
		cutLength   = 5 * time.Second
		pauseFrom   = 500 * time.Millisecond // after a 503, the time in which requests may be on their way
		refusalTime = 100 * time.Millisecond // a busy runner queues a request before it turns it away
	)
	f.configure(platformtest.Route{Name: "lookup", PathPrefix: "/lookup/", Kind: "idempotent", MaxAttempts: 2, TimeoutMS: 2000})
	var mu sync.Mutex
	busy := false
	pausedUntil := make(map[string]time.Time) // by machine, from the first refusal
	inPause := make(map[string]int)           // requests that reached the runner in the pause
	var all *runners
	all, err = f.startRunners(5, func(t *platformtest.Target) func(int, string) platformtest.Fault {
		return func(_ int, id string) platformtest.Fault {
			fault := platformtest.Fault{Delay: 60 * time.Millisecond}
			mu.Lock()
			defer mu.Unlock()
			if t.ID != "i-1" || !busy {
				return fault
			}
			machine, _, _ := strings.Cut(id, "/")
			now := time.Now()
			until, asked := pausedUntil[machine]
			switch {
			case !asked:
				until = now.Add(refusalTime + pauseLength)
				pausedUntil[machine] = until
				r.printf("runner i-1 turns %s away with 503 and Retry-After: %.1f", id, pauseLength.Seconds())
			case now.After(until):
				return fault // it takes work of this machine again
			case now.After(until.Add(pauseFrom - pauseLength)):
				inPause[machine]++
				r.printf("%s reaches runner i-1 in the pause, %.1f s before its end, and is turned away with 503 and Retry-After", id, until.Sub(now).Seconds())
			}
			return platformtest.Fault{Refuse: true, QueueDelay: refusalTime, RetryAfter: fmt.Sprintf("%.1f", max(0.1, (until.Sub(now)-refusalTime).Seconds()))}
		}
	})
	if err != nil {
		return false, err
	}
	defer func() { all.stop() }()
	if err := f.startEdges(2, nil); err != nil {
		return false, err
	}
	r.printf("2 edges are ready; 5 runners")
	time.Sleep(2 * contact) // in touch
	stop := make(chan struct{})
	var group sync.WaitGroup
	counts := make(map[string]int)
	for n := range 24 {
		group.Go(func() {
			e := f.edges[n%2]
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				a := f.send(e, request{id: fmt.Sprintf("%s/%d-%d", e.name, n, i), method: "GET", path: fmt.Sprintf("/lookup/%d", i), key: apiKey, deadline: 2 * time.Second})
				mu.Lock()
				counts[fmt.Sprint(a.status)]++
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	busy = true
	mu.Unlock()
	r.printf("runner i-1 is busy and turns requests away")
	time.Sleep(time.Second)
	if trouble {
		r.printf("runner i-1 is cut from the store for %v", cutLength)
		time.Sleep(3 * heartbeat)
		f.store.Delete(platform.KindTargets, "i-1")
		r.printf("the entry of runner i-1 is removed after three heartbeats of silence")
		time.Sleep(cutLength - 3*heartbeat)
		all.mu.Lock()
		t := all.all[0]
		all.mu.Unlock()
		all.register(t)
		r.printf("the cut ends; runner i-1 writes its entry again: the same id, born and address")
	}
	time.Sleep(pauseLength - cutLength + 2*time.Second)
	close(stop)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.printf("answers by status: %v", counts)
	broken := false
	for _, e := range f.edges {
		r.printf("%s: %d requests reached runner i-1 between half a second after its 503 and the end of Retry-After; allowed: 2", e.name, inPause[e.name])
		broken = broken || inPause[e.name] > 2
	}
	if len(pausedUntil) < 2 {
		return false, fmt.Errorf("%w: the runner was not asked by both machines", errCannotRun)
	}
	return broken, nil
}

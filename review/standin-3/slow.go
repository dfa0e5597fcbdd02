//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// runSlow repeats a request that crashes each runner some seconds after it began to run it. Its
// caller repeats it often, so that several are under way at each crash.
func runSlow(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	const (
		runnerCount = 14
		downtime    = 2 * time.Second
		crashAfter  = 3500 * time.Millisecond
		repeatEvery = 500 * time.Millisecond
		repeats     = 40
		deadline    = 5 * time.Second
	)
	f.configure(platformtest.Route{Name: "audit", PathPrefix: "/audit/", Kind: "non_idempotent", MaxAttempts: 1, TimeoutMS: int(deadline.Milliseconds())})
	var mu sync.Mutex
	var reached, crashed []time.Time
	var all *runners
	all, err = f.startRunners(runnerCount, func(t *platformtest.Target) func(int, string) platformtest.Fault {
		isDown := false
		return func(_ int, id string) platformtest.Fault {
			if !strings.HasPrefix(id, "bad") {
				return platformtest.Fault{}
			}
			mu.Lock()
			reached = append(reached, time.Now())
			mu.Unlock()
			if !trouble {
				return platformtest.Fault{Delay: crashAfter}
			}
			time.AfterFunc(crashAfter, func() {
				mu.Lock()
				defer mu.Unlock()
				if isDown {
					return // another one has crashed it
				}
				isDown = true
				crashed = append(crashed, time.Now())
				r.printf("runner %s crashes, %v after it began to run %s; crash %d", t.ID, crashAfter, id, len(crashed))
				all.crash(t, downtime)
			})
			return platformtest.Fault{Delay: 2 * crashAfter}
		}
	})
	if err != nil {
		return false, err
	}
	defer func() { all.stop() }()
	if err := f.startEdges(3, nil); err != nil {
		return false, err
	}
	r.printf("3 edges are ready; %d runners", runnerCount)
	time.Sleep(2 * contact) // in touch
	var group sync.WaitGroup
	for n := range repeats {
		group.Go(func() {
			f.send(f.edges[n%3], request{id: fmt.Sprintf("bad-%d", n+1), method: "POST", path: "/audit/bad", key: apiKey, body: "the same contract", deadline: deadline})
		})
		time.Sleep(repeatEvery)
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.printf("the request reached runners %d times and crashed %d", len(reached), len(crashed))
	if len(crashed) < 3 {
		return false, nil
	}
	late := 0
	for _, at := range reached {
		if at.After(crashed[2].Add(contact)) {
			late++
		}
	}
	r.printf("later than contact_ms after the third crash it reached runners %d times; allowed: 3", late)
	return late > 3, nil
}

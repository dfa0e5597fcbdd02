//go:build review

package main

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// runOutages lets all runners of a plain service crash several times, whatever they run, and then
// lets them work well. Some callers read one list again and again, as a page does that refreshes
// itself, and others read single entries.
func runOutages(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	const (
		runnerCount = 4
		readTime    = 600 * time.Millisecond
		down, up    = time.Second, 500 * time.Millisecond
		outages     = 5
		calm        = 20 * time.Second
		deadline    = 3 * time.Second
	)
	f.configure(platformtest.Route{Name: "lookup", PathPrefix: "/lookup/", Kind: "idempotent", MaxAttempts: 2, TimeoutMS: int(deadline.Milliseconds())})
	all, err := f.startRunners(runnerCount, func(*platformtest.Target) func(int, string) platformtest.Fault {
		return func(int, string) platformtest.Fault { return platformtest.Fault{Delay: readTime} }
	})
	if err != nil {
		return false, err
	}
	defer all.stop()
	if err := f.startEdges(3, nil); err != nil {
		return false, err
	}
	r.printf("3 edges are ready; %d runners, which take %v for a read", runnerCount, readTime)
	time.Sleep(2 * contact) // in touch
	type attempt struct {
		sentAt time.Time
		path   string
		status int
	}
	var mu sync.Mutex
	var attempts []attempt
	stop := make(chan struct{})
	var group sync.WaitGroup
	for n := range 12 {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				path := "/lookup/open-slots"
				if n%2 == 1 {
					path = fmt.Sprintf("/lookup/slot/%d-%d", n, i)
				}
				e, sentAt := f.edges[(n+i)%3], time.Now()
				a := f.send(e, request{id: fmt.Sprintf("q-%d-%d", n, i), method: "GET", path: path, key: apiKey, deadline: deadline})
				mu.Lock()
				attempts = append(attempts, attempt{sentAt, path, a.status})
				mu.Unlock()
				time.Sleep(200*time.Millisecond + retryAfter(a, deadline))
			}
		})
	}
	time.Sleep(4 * time.Second)
	for n := range outages {
		if !trouble {
			break
		}
		all.mu.Lock()
		running := slices.Clone(all.all[len(all.all)-runnerCount:])
		all.mu.Unlock()
		r.printf("outage %d: all runners crash, for %v", n+1, down)
		for _, t := range running {
			all.crash(t, down)
		}
		time.Sleep(down + up)
	}
	recovered := time.Now()
	r.printf("the runners work well from now on")
	time.Sleep(contact + calm)
	close(stop)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	denied, late, served := 0, 0, 0
	for _, a := range attempts {
		if a.sentAt.Before(recovered.Add(contact)) {
			continue
		}
		late++
		if a.status == 200 {
			served++
		}
		if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
			denied++
		}
	}
	allowed := 5 + float64(len(attempts))/500
	r.printf("%d requests in all; of %d that were sent later than contact_ms after the last outage, %d were served and %d denied with a 4xx of the system; allowed: %.1f", len(attempts), late, served, denied, allowed)
	return float64(denied) > allowed, nil
}

// retryAfter returns how long a client waits after a refusal, up to a third of its time.
func retryAfter(a answer, deadline time.Duration) time.Duration {
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil || a.status != 503 && a.status != 429 {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), deadline/3)
}

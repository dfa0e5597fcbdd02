//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	drainBound = 2 * time.Second
	// cutFor is how long one router is cut off from the store. The first runner leaves
	// goneAfter after the beginning, and another one goneInterval later.
	cutFor       = 7600 * time.Millisecond
	goneAfter    = 3500 * time.Millisecond
	goneInterval = time.Second
	goneRunners  = 2
)

// runGone cuts the router that reads the list of runners off from the store, and replaces
// two runners, which leave without a word while the cut lasts. Without trouble there is no cut. Rule:
// DRAIN.
func runGone(f *fleet, trouble bool) ([]string, error) {
	f.putConfiguration()
	for i := range 5 {
		if _, err := f.startRunner(fmt.Sprintf("i-44c0a1d%d", i), plainService); err != nil {
			return nil, err
		}
	}
	for i := range 12 { // their heartbeats change the list all the time, as on the sheets
		if _, err := f.startRunner(fmt.Sprintf("i-7f3a91%02d", i), engineService); err != nil {
			return nil, err
		}
		time.Sleep(heartbeat / 12)
	}
	if err := f.startRouters("edge-th-north-a-1", "edge-th-north-a-2", "edge-th-north-a-3"); err != nil {
		return nil, err
	}
	time.Sleep(leadTime - time.Since(f.startedAt))
	reader := f.busiestReader()
	f.note("%s reads the list of runners", reader.name)
	var others []*router
	for _, x := range f.routers {
		if x != reader {
			others = append(others, x)
		}
	}
	clients, stop, turn := newCaller(f), make(chan struct{}), 0
	go clients.run(15*time.Millisecond, "/fiti832/2f", 600*time.Millisecond, func() *router {
		turn++
		return others[turn%len(others)]
	}, stop)
	time.Sleep(4 * time.Second)
	if trouble {
		reader.cutFromStore(true)
		time.AfterFunc(cutFor, func() { reader.cutFromStore(false) })
	}
	time.Sleep(goneAfter)
	leftAt := make([]time.Time, goneRunners)
	for i := range leftAt {
		if _, err := f.startRunner(fmt.Sprintf("i-44c0a1e%d", i), plainService); err != nil { // replaces it
			return nil, err
		}
		f.runners[i].leave()
		leftAt[i] = time.Now()
		time.Sleep(goneInterval)
	}
	time.Sleep(cutFor - goneAfter - goneRunners*goneInterval + 3*time.Second)
	close(stop)
	var violations []string
	for i, at := range leftAt {
		late, latest := f.runners[i].arrivalsAfter(at, drainBound)
		f.note("%d requests reached %s later than %v after its entry was removed", late, f.runners[i].id, drainBound)
		if late > 0 {
			violations = append(violations, fmt.Sprintf("DRAIN: %d requests reached %s later than %d ms after its entry was removed, the last after %d ms",
				late, f.runners[i].id, drainBound.Milliseconds(), latest.Milliseconds()))
		}
	}
	return violations, nil
}

// arrivalsAfter returns the number of requests that reached the runner later than bound
// after a time, and how much after that time the last one came.
func (r *runner) arrivalsAfter(at time.Time, bound time.Duration) (count int, latest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		if d := a.at.Sub(at); d > bound {
			count, latest = count+1, max(latest, d)
		}
	}
	return count, latest
}

// busiestReader returns the router that watched the list of runners most often within two
// seconds.
func (f *fleet) busiestReader() *router {
	for _, x := range f.routers {
		x.targetWatches.Store(0)
	}
	time.Sleep(2 * time.Second)
	reader := f.routers[0]
	for _, x := range f.routers {
		if x.targetWatches.Load() > reader.targetWatches.Load() {
			reader = x
		}
	}
	return reader
}

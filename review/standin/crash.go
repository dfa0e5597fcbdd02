//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	crashRunners  = 5
	crashDowntime = time.Second
	// crashSpread is the time between two of the runners that crash together.
	crashSpread = 30 * time.Millisecond
	calmTime    = 15 * time.Second // after the last crash
	// deniedAllowed and deniedShare are the refusals that the rule allows.
	deniedAllowed = 5
	deniedShare   = 1.0 / 500
)

// runCrash sends streams that share one of four first parts, and lets all runners crash
// once, at about the same time. No request causes a crash. Without trouble there is none.
// Rule: DENIED.
func runCrash(f *fleet, trouble bool) ([]string, error) {
	f.putConfiguration()
	for i := range crashRunners {
		r, err := f.startRunner(fmt.Sprintf("i-7f3a91c%d", i), engineService)
		if err != nil {
			return nil, err
		}
		r.firstEvent = 100 * time.Millisecond
	}
	if err := f.startRouters("edge-th-north-a-1", "edge-th-north-a-2"); err != nil {
		return nil, err
	}
	time.Sleep(leadTime - time.Since(f.startedAt))
	clients, stop := newCaller(f), make(chan struct{})
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				part := fmt.Sprintf("5c1e07a%d:100", n%4)
				go clients.sendPrompt(f.routers[n/4%len(f.routers)], "/lepu270/2f", 4*time.Second, part)
			}
		}
	}()
	time.Sleep(4 * time.Second)
	if trouble {
		for _, r := range f.runners {
			r.crash(crashDowntime)
			time.Sleep(crashSpread)
		}
	}
	time.Sleep(calmTime)
	close(stop)
	time.Sleep(4 * time.Second) // the last requests end
	return f.judgeDenied(clients.results()), nil
}

// judgeDenied counts proper requests that ended with a 3xx or 4xx of the routers.
func (f *fleet) judgeDenied(all []outcome) []string {
	denied := 0
	var first outcome
	for _, o := range all {
		switch {
		case o.status < 300 || o.status >= 500 || o.stamped:
		case o.status == http.StatusRequestTimeout || o.status == http.StatusMisdirectedRequest || o.status == http.StatusTooManyRequests:
		default:
			if denied++; denied == 1 {
				first = o
			}
		}
	}
	f.note("%d of %d proper requests ended with a 3xx or 4xx of the routers", denied, len(all))
	if float64(denied) <= deniedAllowed+deniedShare*float64(len(all)) {
		return nil
	}
	return []string{fmt.Sprintf("DENIED: %d of %d proper requests were ended with a 4xx of the routers; the first is %s with %d", denied, len(all), first.id, first.status)}
}

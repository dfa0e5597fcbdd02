//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	deadlyRunners  = 6
	deadlyDowntime = 3 * time.Second
	deadlyBody     = "deadly request " // and a number
	// A deadly request comes at each deadlyInterval, and again after deadlyRetry.
	deadlyRequests = 5
	deadlyInterval = 5300 * time.Millisecond
	deadlyRetry    = 300 * time.Millisecond
	soundInterval  = 2 * time.Second
	// sharedPart is the only part of the prompts that requests share.
	sharedPart = "5c1e07a2:100"
)

// runDeadly lets one organisation send requests that crash each runner that begins to run
// them, each one twice. Sound requests of another organisation share the first part of the
// prompt. Without trouble they do not come. Rule: DENIED.
func runDeadly(f *fleet, trouble bool) ([]string, error) {
	f.putConfiguration()
	for i := range deadlyRunners {
		if _, err := f.startRunner(fmt.Sprintf("i-7f3a91c%d", i), engineService); err != nil {
			return nil, err
		}
	}
	if err := f.startRouters("edge-th-north-a-1", "edge-th-north-a-2"); err != nil {
		return nil, err
	}
	time.Sleep(leadTime - time.Since(f.startedAt))
	sound, deadly, stop := newCaller(f), newCaller(f), make(chan struct{})
	deadly.key = otherKey
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(soundInterval):
				go sound.sendPrompt(f.routers[n%len(f.routers)], "/lepu270/2f", 4*time.Second, sharedPart)
			}
		}
	}()
	time.Sleep(5 * time.Second)
	for n := range deadlyRequests {
		if trouble {
			body := fmt.Sprint(deadlyBody, n)
			deadly.sendBody(f.routers[0], "/lepu270/2f", 4*time.Second, sharedPart, body)
			time.Sleep(deadlyRetry)
			deadly.sendBody(f.routers[1], "/lepu270/2f", 4*time.Second, sharedPart, body)
		}
		time.Sleep(deadlyInterval)
	}
	time.Sleep(calmTime)
	close(stop)
	time.Sleep(4 * time.Second) // the last requests end
	return f.judgeDenied(sound.results()), nil
}

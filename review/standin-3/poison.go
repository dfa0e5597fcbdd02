//go:build review

package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// runPoison sends a request of a stream that crashes each runner which begins to run it: with its
// first token, as PROTOCOL.md says of the start of a run. Other callers send streams meanwhile.
func runPoison(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	const downtime, firstToken = 2 * time.Second, 30 * time.Millisecond
	f.store.PutConfiguration(1, []string{apiKey}, 15000,
		platformtest.Route{Name: "draft", PathPrefix: "/stream/draft/", Kind: "streaming", MaxAttempts: 1, TimeoutMS: int(callerDeadline.Milliseconds())})
	const badPath = "/stream/draft/bad"
	var mu sync.Mutex
	var reached []time.Time // poison requests that reached a runner
	var crashed []time.Time // runners that it crashed
	var all *runners
	all, err = f.startRunners(6, func(t *platformtest.Target) func(int, string) platformtest.Fault {
		return func(_ int, id string) platformtest.Fault {
			if !strings.HasPrefix(id, "bad") {
				return platformtest.Fault{}
			}
			mu.Lock()
			reached = append(reached, time.Now())
			mu.Unlock()
			if !trouble {
				return platformtest.Fault{}
			}
			return platformtest.Fault{Respond: func(conn *net.TCPConn, head string) {
				event := fmt.Sprintf("id: 1\ndata: %s event 1\n\n", id)
				fmt.Fprintf(conn, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(event), event)
				time.Sleep(firstToken)
				mu.Lock()
				crashed = append(crashed, time.Now())
				mu.Unlock()
				r.printf("runner %s crashes, %v after the first token of %s", t.ID, firstToken, id)
				all.crash(t, downtime)
			}}
		}
	})
	if err != nil {
		return false, err
	}
	defer func() { all.stop() }()
	if err := f.startEdges(3, nil); err != nil {
		return false, err
	}
	r.printf("3 edges are ready; 6 runners")
	time.Sleep(2 * contact) // in touch
	stop := make(chan struct{})
	var group sync.WaitGroup
	var whole, cut atomic.Int64
	for n := range 6 {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				a := f.send(f.edges[(n+i)%3], request{
					id: fmt.Sprintf("good-%d-%d", n, i), method: "POST", path: fmt.Sprintf("/stream/draft/%d", i), key: apiKey, body: fmt.Sprintf("prompt %d of %d", i, n), deadline: callerDeadline,
					header: generationHeader(fmt.Sprintf("%02x%04x", n, i)),
				})
				if a.status == 200 && a.err == nil {
					whole.Add(1)
				} else {
					cut.Add(1)
				}
			}
		})
	}
	const repeats, pause = 14, 1500 * time.Millisecond
	for i := range repeats {
		e := f.edges[i%3]
		id := fmt.Sprintf("bad-%d", i+1)
		f.send(e, request{id: id, method: "POST", path: badPath, key: apiKey, body: "the same prompt", deadline: callerDeadline, header: generationHeader("ffffff")})
		time.Sleep(pause)
	}
	close(stop)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.printf("ordinary streams: %d whole, %d not", whole.Load(), cut.Load())
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

// generationHeader is that of a request for the model, whose last prompt part is its own.
func generationHeader(own string) map[string]string {
	return map[string]string{
		platformtest.HeaderModel: "m", platformtest.HeaderTokenCounts: "460,80", platformtest.HeaderPromptParts: "5c1e07a2:200," + own + ":260",
	}
}

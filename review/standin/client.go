//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// outcome is what a client got for one attempt.
type outcome struct {
	id        string
	router    string
	path      string
	sentAt    time.Time
	endedAt   time.Time
	status    int
	stamped   bool
	completed bool // a complete answer in the protocol
	err       error
}

// caller sends requests and records what it gets.
type caller struct {
	f      *fleet
	client *http.Client
	key    string

	mu       sync.Mutex
	outcomes []outcome
}

func newCaller(f *fleet) *caller {
	return &caller{f: f, key: apiKey, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 10 * time.Second}}}
}

// send sends one request and waits for its end. It is not sent again.
func (c *caller) send(x *router, path string, deadline time.Duration) outcome {
	return c.sendPrompt(x, path, deadline, "5c1e07a2:100")
}

// sendPrompt is send with the first part of the prompt.
func (c *caller) sendPrompt(x *router, path string, deadline time.Duration, part string) outcome {
	return c.sendBody(x, path, deadline, part, fmt.Sprintf("body %016x", rand.Uint64()))
}

// sendBody is sendPrompt with the body.
func (c *caller) sendBody(x *router, path string, deadline time.Duration, part, body string) outcome {
	o := outcome{id: fmt.Sprintf("%016x", rand.Uint64()), router: x.name, path: path, sentAt: time.Now()}
	request, err := http.NewRequest(http.MethodPost, "http://"+x.front+path, strings.NewReader(body))
	if err != nil {
		o.err = err
		return o
	}
	request.Host = host
	h := request.Header
	h.Set("Lacewingwheel-Request-Id", o.id)
	h.Set("Lacewingwheel-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	h.Set("Authorization", "Token "+c.key)
	if strings.HasPrefix(path, "/lepu270/") || strings.HasPrefix(path, "/xapu221/") {
		h.Set("Lacewingwheel-Model", model)
		h.Set("Lacewingwheel-Token-Usage", "300,9")
		h.Set("Lacewingwheel-Prefix-Hash", fmt.Sprintf("%s,%016x:200", part, xxhash.Sum64String(body)))
	}
	c.f.note("client: request %s (%s) sent to %s", o.id, path, x.name)
	response, err := c.client.Do(request)
	if err == nil {
		o.status, o.stamped = response.StatusCode, response.Header.Get("Lacewingwheel-Response-Stamp") != ""
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	o.err, o.completed, o.endedAt = err, err == nil, time.Now()
	c.f.note("client: request %s ends: status %d, complete %t, %v", o.id, o.status, o.completed, o.err)
	c.mu.Lock()
	c.outcomes = append(c.outcomes, o)
	c.mu.Unlock()
	return o
}

// run sends a request at each interval until stop is closed, to a router that pick
// returns, or to none if it returns nil.
func (c *caller) run(interval time.Duration, path string, deadline time.Duration, pick func() *router, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
			if x := pick(); x != nil {
				go c.send(x, path, deadline)
			}
		}
	}
}

func (c *caller) results() []outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]outcome(nil), c.outcomes...)
}

//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// loadTime is how long new weights take a runner.
const loadTime = 1300 * time.Millisecond

// order is an order that a runner received.
type order struct {
	at     time.Time
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence_token"`
	Model  string `json:"model"`

	Version      int `json:"version"`
	Precondition int `json:"precondition"`
	status       int
}

// arrival is a request that reached a runner.
type arrival struct {
	at     time.Time
	id     string
	status int // 0 while it runs
}

// runner is a sound runner that writes its entry to the store.
type runner struct {
	f           *fleet
	id, service string
	address     string
	firstEvent  time.Duration // until the first event of a stream
	events      int           // of a stream
	pause       time.Duration // between events
	work        time.Duration // of a request that is not a stream

	mu       sync.Mutex
	server   *http.Server
	born     int64
	down     bool // crashed, or gone from the list of runners
	version  int
	seq      int
	busy     bool
	orders   []order
	arrivals []arrival
	beats    int
}

// startRunner starts a runner on a free loopback port.
func (f *fleet) startRunner(id, service string) (*runner, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{f: f, id: id, service: service, address: listener.Addr().String(), firstEvent: 60 * time.Millisecond, events: 9, pause: 15 * time.Millisecond, work: 15 * time.Millisecond, version: 1}
	f.runners = append(f.runners, r)
	r.serve(listener)
	r.writeEntry()
	go func() {
		for {
			select {
			case <-f.done:
				return
			case <-time.After(heartbeat):
				r.writeEntry()
			}
		}
	}()
	return r, nil
}

// serve starts an incarnation of the runner.
func (r *runner) serve(listener net.Listener) {
	server := &http.Server{Handler: r}
	r.mu.Lock()
	r.server, r.born, r.seq, r.down = server, time.Now().UnixMilli(), 0, false
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with the runner or the process
}

// crash ends the runner and all its connections, and starts it again after a while.
func (r *runner) crash(downtime time.Duration) {
	r.mu.Lock()
	r.down = true
	server := r.server
	r.mu.Unlock()
	r.f.note("%s: crashes", r.id)
	_ = server.Close()
	time.AfterFunc(downtime, func() {
		listener, err := net.Listen("tcp4", r.address)
		if err != nil {
			r.f.note("%s: not started again: %v", r.id, err)
			return
		}
		r.serve(listener)
		r.f.note("%s: started again", r.id)
		r.writeEntry()
	})
}

// leave removes the entry of the runner, which serves on and does not say that it leaves.
func (r *runner) leave() {
	r.mu.Lock()
	r.down = true
	r.mu.Unlock()
	r.f.store.Delete("servers", r.id)
	r.f.note("%s: entry removed and acknowledged; it serves on", r.id)
}

// writeEntry writes the entry of the runner to the store.
func (r *runner) writeEntry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return
	}
	r.beats++
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": "th-north-a", "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
		"seq": r.beats, "born": r.born,
	}
	if r.service == engineService {
		entry["stage"] = "both"
		entry["models"] = []map[string]any{{"name": model, "version": r.version, "adapters": []string{}}}
	}
	r.f.store.Put("servers", r.id, entry)
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get("Lacewingwheel-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Lacewingwheel-Instance-Id", r.id)
		w.Header().Set("Lacewingwheel-Request-Id", q.Header.Get("Lacewingwheel-Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/healthz":
		w.Header().Set("Lacewingwheel-Instance-Id", r.id)
	case "/report":
		r.serveReport(w)
	case "/order":
		r.serveOrder(w, q)
	default:
		r.serveRequest(w, q)
	}
}

func (r *runner) serveReport(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{ // the caller may be gone
		"stage": "both", "models": []map[string]any{{"name": model, "version": r.version, "adapters": []string{}}}, "busy": r.busy, "seq": r.seq,
		"queued": 0, "running": 0, "kv_used": 0, "kv_total": 106556, "handles": 0,
	})
}

func (r *runner) serveOrder(w http.ResponseWriter, q *http.Request) {
	o := order{at: time.Now(), Precondition: -1}
	r.mu.Lock()
	defer r.mu.Unlock()
	err := json.NewDecoder(q.Body).Decode(&o)
	switch {
	case err != nil || o.Holder == "" || o.Fence == 0:
		o.status = http.StatusBadRequest
	case o.Version == r.version && !r.busy:
		o.status = http.StatusOK
	case r.busy || o.Precondition >= 0 && o.Precondition != r.seq:
		o.status = http.StatusConflict
	default:
		o.status = http.StatusAccepted
		r.seq++
		r.busy = true
		time.AfterFunc(loadTime, func() {
			r.mu.Lock()
			r.version, r.busy = o.Version, false
			r.mu.Unlock()
			r.f.note("%s: has version %d", r.id, o.Version)
			r.writeEntry()
		})
	}
	r.orders = append(r.orders, o)
	r.f.note("%s: order from %s, fence %d, version %d, answered %d", r.id, o.Holder, o.Fence, o.Version, o.status)
	w.WriteHeader(o.status)
}

// begin records a request, and returns its index and the status of a refusal, or zero if
// it runs.
func (r *runner) begin(q *http.Request) (index, refusal, version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	expected := q.Header.Get("Lacewingwheel-Expect-Version")
	switch {
	case expected != "" && expected != strconv.Itoa(r.version):
		refusal = http.StatusMisdirectedRequest
	case r.busy:
		refusal = http.StatusServiceUnavailable
	}
	r.arrivals = append(r.arrivals, arrival{at: time.Now(), id: q.Header.Get("Lacewingwheel-Request-Id"), status: refusal})
	return len(r.arrivals) - 1, refusal, r.version
}

func (r *runner) serveRequest(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Lacewingwheel-Request-Id")
	index, refusal, version := r.begin(q)
	h := w.Header()
	h.Set("Lacewingwheel-Request-Id", id)
	h.Set("Lacewingwheel-Load-Report", "1,0,64")
	if r.service == engineService {
		h.Set("Lacewingwheel-Weight-Versions", strconv.Itoa(version))
	}
	if refusal > 0 {
		if refusal == http.StatusServiceUnavailable {
			h.Set("Lacewingwheel-Not-Executed", "1")
		} else {
			h.Set("Lacewingwheel-Instance-Id", r.id)
		}
		w.WriteHeader(refusal)
		return
	}
	r.f.note("%s: request %s runs", r.id, id)
	if body, err := io.ReadAll(q.Body); err != nil || strings.HasPrefix(string(body), deadlyBody) {
		r.crash(deadlyDowntime)
		return
	}
	h.Set("Lacewingwheel-Response-Stamp", r.id+"."+id)
	if r.service != engineService {
		time.Sleep(r.work)
		r.finish(index, id)
		fmt.Fprintf(w, "answer to %s", id)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id")) // absent: zero
	time.Sleep(r.firstEvent)
	for n := last + 1; n <= r.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil || q.Context().Err() != nil {
			r.f.note("%s: request %s broken off by the router after event %d", r.id, id, n-1)
			return
		}
		_ = http.NewResponseController(w).Flush() // the next write fails if the router is gone
		time.Sleep(r.pause)
	}
	r.finish(index, id)
}

func (r *runner) finish(index int, id string) {
	r.mu.Lock()
	r.arrivals[index].status = http.StatusOK
	r.mu.Unlock()
	r.f.note("%s: request %s done", r.id, id)
}

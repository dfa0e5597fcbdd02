//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// behaviour is what a runner does with a request that it may run.
type behaviour struct {
	retryAfter  string        // turn it away with 503 and this Retry-After
	firstToken  time.Duration // time to the first event
	events      int
	gap         time.Duration // between events
	crashAfter  int           // the runner crashes after so many events; zero: never
	crashBefore bool          // the runner crashes before the first event
}

// arrival is a request at a runner.
type arrival struct {
	id, runner, path, body string
	at                     time.Time
	executed               bool
	tokens                 string
	version                int64
}

// order is an order that a runner received.
type order struct {
	runner, holder string
	fence          uint64
	version        int64
	at             time.Time
	status         int
}

// runner is a stand-in of a model runner as PROTOCOL.md describes it. Its methods may be called
// concurrently.
type runner struct {
	f        *fleet
	service  string
	address  string
	zone     string
	slots    int
	model    string // empty: a plain service
	loadTime time.Duration
	coldTime time.Duration // how long it is slow after a start that follows a crash
	places   chan struct{} // of requests that run at once; nil: no bound
	decide   func(r *runner, id string, request *http.Request) behaviour

	mu       sync.Mutex
	id       string
	born     int64
	seq      int64 // of the entry
	orders   int64 // accepted since the start
	version  int64
	busy     bool
	up       bool
	isCut    bool // does not reach the store
	running  int
	lastBeat map[string]time.Time
	listener net.Listener
	server   *http.Server
	arrivals []arrival
	received []order
	crashes  []time.Time
	startsAt time.Time
}

// addRunner starts a runner.
func (f *fleet) addRunner(service, model string, decide func(*runner, string, *http.Request) behaviour) (*runner, error) {
	n := len(f.runners)
	r := &runner{
		f: f, service: service, model: model, slots: 64, version: 1, loadTime: 300 * time.Millisecond, zone: fmt.Sprintf("th-north-%c", 'a'+n%4),
		address: fmt.Sprintf("%s.%d:%d", f.net, 100+n, portRunner), lastBeat: make(map[string]time.Time), decide: decide,
	}
	if err := r.start(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.runners = append(f.runners, r)
	f.mu.Unlock()
	go r.beat()
	return r, nil
}

// start begins a new incarnation with a new id.
func (r *runner) start() error {
	listener, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	r.f.mu.Lock()
	r.f.nextID++
	id := fmt.Sprintf("i-%08x", 0x7f3a0000+r.f.nextID)
	r.f.mu.Unlock()
	r.mu.Lock()
	r.id, r.born, r.seq, r.orders, r.busy, r.up, r.listener = id, time.Now().UnixMilli(), 0, 0, false, true, listener
	r.startsAt = time.Now()
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), IdleTimeout: 10 * time.Second}
	server := r.server
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	r.writeEntry()
	return nil
}

// crash ends the process of the runner: its listener and all connections close.
func (r *runner) crash() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	server := r.server
	r.crashes = append(r.crashes, time.Now())
	r.mu.Unlock()
	r.f.printf("runner %s crashes", r.currentID())
	_ = server.Close()
}

// crashFor is crash; the runner is back after down.
func (r *runner) crashFor(down time.Duration) {
	r.crash()
	time.AfterFunc(down, func() {
		if err := r.start(); err == nil {
			r.f.printf("runner %s is back as %s", r.address, r.currentID())
		}
	})
}

func (r *runner) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up = false
	_ = r.server.Close()
}

func (r *runner) currentID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

// loadedVersion returns the version of the weights.
func (r *runner) loadedVersion() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// setCut sets whether the runner does not reach the store.
func (r *runner) setCut(cut bool) {
	r.mu.Lock()
	r.isCut = cut
	r.mu.Unlock()
	if !cut {
		r.writeEntry()
	}
}

// beat writes the entry at each interval, for as long as the case runs.
func (r *runner) beat() {
	for range time.Tick(beatInterval) {
		r.mu.Lock()
		up := r.up && !r.isCut
		r.mu.Unlock()
		if up {
			r.writeEntry()
		}
	}
}

// models returns the models as reports and entries state them. The caller holds mu.
func (r *runner) models() []map[string]any {
	return []map[string]any{{"name": r.model, "version": r.version, "adapters": []string{}}}
}

func (r *runner) writeEntry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready",
		"cold_remaining_ms": r.coldLeft().Milliseconds(), "seq": r.seq, "born": r.born,
	}
	if r.model != "" {
		entry["stage"] = "both"
		entry["models"] = r.models()
	}
	r.lastBeat[r.id] = time.Now()
	r.f.store.Put("servers", r.id, entry)
}

// coldLeft returns how much longer the runner is slow. The caller holds mu.
func (r *runner) coldLeft() time.Duration {
	if len(r.crashes) == 0 {
		return 0
	}
	return max(0, r.coldTime-time.Since(r.startsAt))
}

// silentIDs returns the incarnations whose entry lapses now.
func (r *runner) silentIDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, at := range r.lastBeat {
		if time.Since(at) > 3*beatInterval {
			ids = append(ids, id)
			delete(r.lastBeat, id)
		}
	}
	return ids
}

func (r *runner) serve(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	id, version, up, running := r.id, r.version, r.up, r.running
	r.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	requestID := request.Header.Get("Lacewingwheel-Request-Id")
	h.Set("Lacewingwheel-Load-Report", fmt.Sprintf("%d,%d,%d", min(running, r.slots), max(0, running-r.slots), r.slots))
	refuse := func(status int) {
		h.Set("Lacewingwheel-Instance-Id", id)
		h.Set("Lacewingwheel-Request-Id", requestID)
		h.Set("Lacewingwheel-Not-Executed", "1")
		h.Set("Content-Length", "0")
		w.WriteHeader(status)
	}
	if expected := request.Header.Get("Lacewingwheel-Expect-Instance"); expected != "" && expected != id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/report":
		r.serveReport(w)
		return
	case "/order":
		r.serveOrder(w, body)
		return
	case "/healthz":
		h.Set("Lacewingwheel-Instance-Id", id)
		w.WriteHeader(http.StatusOK)
		return
	}
	if requestID == "" {
		refuse(http.StatusBadRequest)
		return
	}
	if expected := request.Header.Get("Lacewingwheel-Expect-Version"); expected != "" && expected != strconv.FormatInt(version, 10) {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	b := r.decide(r, requestID, request)
	executed := b.retryAfter == ""
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id: requestID, runner: id, path: request.RequestURI, body: string(body), at: time.Now(), executed: executed, tokens: request.Header.Get("Lacewingwheel-Token-Usage"), version: version})
	r.mu.Unlock()
	if !executed {
		h.Set("Retry-After", b.retryAfter)
		refuse(http.StatusServiceUnavailable)
		r.f.printf("runner %s turns request %s away, Retry-After %s", id, requestID, b.retryAfter)
		return
	}
	r.f.printf("runner %s runs request %s of %s", id, requestID, request.Header.Get("Lacewingwheel-Tenant"))
	r.mu.Lock()
	r.running++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	r.run(w, request, b, requestID, version)
}

// run writes the answer, a stream of events or, for a plain service, a body.
func (r *runner) run(w http.ResponseWriter, request *http.Request, b behaviour, requestID string, version int64) {
	h := w.Header()
	h.Set("Lacewingwheel-Request-Id", requestID)
	h.Set("Lacewingwheel-Response-Stamp", "stamp-"+requestID)
	ctx := request.Context()
	wait := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	if r.places != nil {
		queued := time.Now()
		select {
		case r.places <- struct{}{}:
			defer func() { <-r.places }()
		case <-ctx.Done():
			return
		case <-time.After(deadlineOf(request) - time.Since(queued)):
			h.Del("Lacewingwheel-Response-Stamp")
			h.Set("Lacewingwheel-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	if !wait(b.firstToken) {
		return
	}
	if b.crashBefore {
		r.f.printf("runner %s crashes as it begins to run request %s", r.currentID(), requestID)
		r.crashFor(crashDowntime)
		panic(http.ErrAbortHandler)
	}
	if r.model == "" {
		text := "answer to " + requestID
		h.Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
		return
	}
	h.Set("Lacewingwheel-Weight-Versions", strconv.FormatInt(version, 10))
	h.Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	first := 1
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n <= b.events; n++ {
		if n > first && !wait(b.gap) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, requestID, n); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		if b.crashAfter > 0 && n-first+1 == b.crashAfter {
			wait(30 * time.Millisecond)
			r.f.printf("runner %s crashes while it runs request %s, after %d events", r.currentID(), requestID, n-first+1)
			r.crashFor(crashDowntime)
			panic(http.ErrAbortHandler)
		}
	}
}

// deadlineOf returns how long a request may take at a runner.
func deadlineOf(request *http.Request) time.Duration {
	ms, err := strconv.Atoi(request.Header.Get("Lacewingwheel-Deadline-Ms"))
	if err != nil {
		return time.Minute
	}
	return time.Duration(ms) * time.Millisecond
}

// crashDowntime is the time after which a runner is back that a request has crashed.
const crashDowntime = 2 * time.Second

func (r *runner) serveReport(w http.ResponseWriter) {
	r.mu.Lock()
	text, _ := json.Marshal(map[string]any{
		"stage": "both", "models": r.models(), "busy": r.busy, "seq": r.orders,
		"queued": max(0, r.running-r.slots), "running": min(r.running, r.slots), "kv_used": 0, "kv_total": 100000, "handles": 0, "pinned": 0, "held": 0, "state": "ready", "runs": []any{},
	})
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

func (r *runner) serveOrder(w http.ResponseWriter, body []byte) {
	var in struct {
		Op           string `json:"op"`
		Model        string `json:"model"`
		Version      int64  `json:"version"`
		SwitchMode   string `json:"switch_mode"`
		Holder       string `json:"holder"`
		Fence        uint64 `json:"fence_token"`
		Precondition *int64 `json:"precondition"`
	}
	status := http.StatusAccepted
	err := json.Unmarshal(body, &in)
	r.mu.Lock()
	switch {
	case err != nil || in.Op != "version" || in.Holder == "" || in.Fence == 0 || in.Model != r.model:
		status = http.StatusBadRequest
	case in.Version == r.version && !r.busy:
		status = http.StatusOK
	case r.busy || in.Precondition != nil && *in.Precondition != r.orders:
		status = http.StatusConflict
	default:
		r.orders++
		r.busy = true
		id := r.id
		time.AfterFunc(r.loadTime, func() {
			r.mu.Lock()
			same := r.id == id
			if same {
				r.version, r.busy = in.Version, false
			}
			r.mu.Unlock()
			if same {
				r.writeEntry()
			}
		})
	}
	r.received = append(r.received, order{runner: r.id, holder: in.Holder, fence: in.Fence, version: in.Version, at: time.Now(), status: status})
	id := r.id
	r.mu.Unlock()
	r.f.printf("runner %s: order to load version %d from %s, fence %d: %d", id, in.Version, in.Holder, in.Fence, status)
	w.WriteHeader(status)
}

package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// EngineOptions describe a stand-in engine.
type EngineOptions struct {
	Model           string
	WeightVersion   string
	PieceBytes      int
	CachePieces     int
	PrefillPerKB    time.Duration // time to compute 1 KB of prompt that is not cached
	TokenInterval   time.Duration
	CanResume       bool
	ChecksFence     bool
	WeightLoadDelay time.Duration // time to load weights; no model is loaded meanwhile
}

// DefaultEngineOptions return a fast engine.
func DefaultEngineOptions(model string) EngineOptions {
	return EngineOptions{
		Model: model, WeightVersion: "1", PieceBytes: 4000, CachePieces: 4096,
		PrefillPerKB: 100 * time.Microsecond, TokenInterval: time.Millisecond, CanResume: true, ChecksFence: true,
	}
}

// EngineFaults make an engine fail. The zero value is a sound engine.
type EngineFaults struct {
	CrashAfterEvents      int    `json:"crash_after_events"` // ends the process after n events of a stream
	CutAfterEvents        int    `json:"cut_after_events"`   // closes the connection after n events of a stream
	CutBeforeAnswer       bool   `json:"cut_before_answer"`  // closes after reading the request
	SkipEvent             uint64 `json:"skip_event"`         // leaves out the event at this position
	OmitPositions         bool   `json:"omit_positions"`     // sends events without their position
	WrongRequestID        bool   `json:"wrong_request_id"`   // echoes another request's id
	Refuse                bool   `json:"refuse"`             // answers 503 and has not run the request
	Freeze                bool   `json:"freeze"`             // accepts requests and sends nothing
	DelayMillis           int    `json:"delay_ms"`           // added before the first event
	CrashOnText           string `json:"crash_on_text"`      // ends the process if the body contains it
	DropCacheEvents       int    `json:"lose_events"`        // drops the next n cache events
	CacheEventDelayMillis int    `json:"event_delay_ms"`     // age of the newest cache event that readers see
	LoadLagMillis         int    `json:"load_lag_ms"`        // age of the load that readers see
	Leaving               bool   `json:"leaving"`            // reports that it is leaving
}

// Engine is a stand-in model engine.
type Engine struct {
	options EngineOptions
	// Crash ends the process, or its likeness in a test.
	Crash func()
	// OnReceive, if set, is called with the number of requests received so far,
	// after the faults for the last one were read.
	OnReceive func(received int)

	mu          sync.Mutex
	faults      EngineFaults
	incarnation string
	model       string
	weights     string
	adapter     string
	cache       *prefixCache
	fence       uint64
	running     map[string]context.CancelFunc
	load        target.Load
	reported    target.Load // with a lag: what readers see until reportedAt is older than the lag
	reportedAt  time.Time
	received    []ReceivedRequest
	count       int // of all requests
}

// EngineCounts are the requests that an engine has seen.
type EngineCounts struct {
	Received int `json:"received"`
}

// ReceivedRequest is what an engine saw of a request, for tests.
type ReceivedRequest struct {
	RequestID string      `json:"request_id"`
	Path      string      `json:"path"`
	Header    http.Header `json:"header"`
	Body      string      `json:"body"`
}

// maxReceived bounds the requests kept for tests.
const maxReceived = 1024

// NewEngine returns an engine with an empty cache.
func NewEngine(options EngineOptions) *Engine {
	return &Engine{
		options: options, Crash: func() { panic(http.ErrAbortHandler) },
		incarnation: uuid.NewString(), model: options.Model, weights: options.WeightVersion,
		cache:   newPrefixCache(options.PieceBytes, options.CachePieces),
		running: make(map[string]context.CancelFunc),
	}
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Restart gives the engine a new incarnation with an empty cache.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation = uuid.NewString()
	e.cache = newPrefixCache(e.options.PieceBytes, e.options.CachePieces)
}

// ReceivedRequests returns the requests that the engine has seen.
func (e *Engine) ReceivedRequests() []ReceivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ReceivedRequest(nil), e.received...)
}

// Counts returns how many requests the engine has seen.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineCounts{Received: e.count}
}

// Handler returns the HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.generate)
	mux.HandleFunc("POST /v1/completions", e.generate)
	mux.HandleFunc("GET /control/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.state()) })
	mux.HandleFunc("GET /control/events", e.events)
	mux.HandleFunc("POST /control/orders", e.order)
	mux.HandleFunc("POST /control/cancel/{id}", e.cancel)
	mux.HandleFunc("PUT /admin/faults", e.putFaults)
	mux.HandleFunc("POST /admin/restart", func(http.ResponseWriter, *http.Request) { e.Restart() })
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Counts()) })
	mux.HandleFunc("GET /admin/received", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.ReceivedRequests()) })
	return mux
}

func (e *Engine) state() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.State{
		Incarnation: e.incarnation, Model: e.model, WeightVersion: e.weights, Adapter: e.adapter,
		CanResume: e.options.CanResume, Leaving: e.faults.Leaving, Load: e.reportedLoad(),
	}
}

// reportedLoad returns the load as old as the lag says.
func (e *Engine) reportedLoad() target.Load {
	lag := time.Duration(e.faults.LoadLagMillis) * time.Millisecond
	if lag == 0 || time.Since(e.reportedAt) >= lag {
		e.reported, e.reportedAt = e.load, time.Now()
	}
	return e.reported
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "the parameter after is not a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	events := e.cache.since(after, time.Now().Add(-time.Duration(e.faults.CacheEventDelayMillis)*time.Millisecond))
	lost := min(e.faults.DropCacheEvents, len(events))
	e.faults.DropCacheEvents -= lost
	writeJSON(w, http.StatusOK, engine.EventBatch{Incarnation: e.incarnation, Events: events[lost:]})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFence && order.Fence < e.fence {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, order.Fence)
	if order.Action == engine.ActionLoadModel {
		e.model, e.weights, e.adapter = "", "", ""
		e.cache = newPrefixCache(e.options.PieceBytes, e.options.CachePieces)
		time.AfterFunc(e.options.WeightLoadDelay, func() { e.loaded(order) })
	}
}

func (e *Engine) loaded(order engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model, e.weights, e.adapter = order.Model, order.WeightVersion, order.Adapter
}

func (e *Engine) cancel(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel := e.running[r.PathValue("id")]; cancel != nil {
		cancel()
	}
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults EngineFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(faults)
}

func (e *Engine) receive(r *http.Request) ([]byte, EngineFaults, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, EngineFaults{}, err
	}
	faults := e.recordReceived(r, body)
	if e.OnReceive != nil {
		e.OnReceive(len(e.ReceivedRequests()))
	}
	return body, faults, nil
}

func (e *Engine) recordReceived(r *http.Request, body []byte) EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count++
	e.received = append(e.received, ReceivedRequest{
		RequestID: r.Header.Get(engine.HeaderRequestID), Path: r.URL.RequestURI(),
		Header: r.Header.Clone(), Body: string(body),
	})
	if len(e.received) > maxReceived {
		e.received = e.received[1:]
	}
	return e.faults
}

// RunningRequests returns the number of requests that the engine works on.
func (e *Engine) RunningRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load.Running
}

// SetTokenInterval changes the time between tokens.
func (e *Engine) SetTokenInterval(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.options.TokenInterval = d
}

func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.options.TokenInterval
}

// OutputToken returns the text of the output token at a position for a prompt. It is
// the same on every engine, so that a resumed stream can be checked.
func OutputToken(body []byte, position uint64) string {
	return fmt.Sprintf("t%d-%04x ", position, uint16(xxhash.Sum64(body)+position))
}

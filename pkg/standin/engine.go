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

// EngineOptions configures a stand-in engine.
type EngineOptions struct {
	Model           string
	WeightVersion   string
	PieceBytes      int
	CachePieces     int
	PrefillPerKB    time.Duration // time to compute 1 KB of prompt that is not cached
	TokenInterval   time.Duration
	CanResume       bool
	ChecksFence     bool
	WeightLoadDelay time.Duration // time to load weights; no model is loaded during it
}

// DefaultEngineOptions returns the options of a fast engine that loads weights without
// delay.
func DefaultEngineOptions(model string) EngineOptions {
	return EngineOptions{
		Model: model, WeightVersion: "1", PieceBytes: 4000, CachePieces: 4096,
		PrefillPerKB: 100 * time.Microsecond, TokenInterval: time.Millisecond, CanResume: true, ChecksFence: true,
	}
}

// EngineFaults are the faults that an engine injects. The zero value injects none.
type EngineFaults struct {
	CrashAfterEvents      int    `json:"crash_after_events"` // calls Crash after n events of a stream
	CutAfterEvents        int    `json:"cut_after_events"`   // closes the connection after n events of a stream
	CutBeforeAnswer       bool   `json:"cut_before_answer"`  // closes the connection after reading the request
	SkipEvent             uint64 `json:"skip_event"`         // leaves out the event at this position
	OmitPositions         bool   `json:"omit_positions"`     // sends events without their position
	WrongRequestID        bool   `json:"wrong_request_id"`   // responds with the ID of another request
	Refuse                bool   `json:"refuse"`             // answers 503 without running the request
	Freeze                bool   `json:"freeze"`             // accepts requests and never responds
	DelayMillis           int    `json:"delay_ms"`           // added to the time before the first event
	CrashOnText           string `json:"crash_on_text"`      // calls Crash if the body contains the text
	DropCacheEvents       int    `json:"lose_events"`        // drops the next n cache events
	CacheEventDelayMillis int    `json:"event_delay_ms"`     // readers see only cache events older than that
	LoadLagMillis         int    `json:"load_lag_ms"`        // the reported load is updated only at this interval
	Leaving               bool   `json:"leaving"`            // reports that it is leaving
}

// Engine is a stand-in model engine. It is safe for concurrent use, apart from its
// exported fields: set them before the first request.
type Engine struct {
	options EngineOptions
	// Crash is called to simulate a crash. It ends the process, or by default just
	// the connection.
	Crash func()
	// OnReceive, if set, is called for each request with the number of requests
	// received so far, at most maxReceived. Faults that it sets apply to the next
	// request.
	OnReceive func(received int)

	mu            sync.Mutex
	faults        EngineFaults
	incarnation   string
	model         string
	weightVersion string
	adapter       string
	cache         *prefixCache
	fence         uint64
	cancelFuncs   map[string]context.CancelFunc
	load          target.Load
	reportedLoad  target.Load // what readers see with LoadLagMillis, as of reportedAt
	reportedAt    time.Time
	received      []ReceivedRequest
	receivedCount int // all requests, also those not in received
}

// EngineCounts has the number of requests that an engine has received.
type EngineCounts struct {
	Received int `json:"received"`
}

// ReceivedRequest is a request as the engine received it.
type ReceivedRequest struct {
	RequestID string      `json:"request_id"`
	Path      string      `json:"path"`
	Header    http.Header `json:"header"`
	Body      string      `json:"body"`
}

// maxReceived bounds the requests kept for ReceivedRequests.
const maxReceived = 1024

// NewEngine returns an engine with an empty prefix cache and the weights loaded.
func NewEngine(options EngineOptions) *Engine {
	return &Engine{
		options: options, Crash: func() { panic(http.ErrAbortHandler) },
		incarnation: uuid.NewString(), model: options.Model, weightVersion: options.WeightVersion,
		cache:       newPrefixCache(options.PieceBytes, options.CachePieces),
		cancelFuncs: make(map[string]context.CancelFunc),
	}
}

// SetFaults replaces the injected faults. Running requests keep theirs.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Restart gives the engine a new incarnation and empties its prefix cache. Running
// requests continue.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation = uuid.NewString()
	e.cache = newPrefixCache(e.options.PieceBytes, e.options.CachePieces)
}

// ReceivedRequests returns the last maxReceived requests, oldest first.
func (e *Engine) ReceivedRequests() []ReceivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ReceivedRequest(nil), e.received...)
}

// Counts returns the number of requests received since the engine was created.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineCounts{Received: e.receivedCount}
}

// Handler returns the HTTP interface of the engine, with the controls of the stand-in
// under /admin.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.generate)
	mux.HandleFunc("POST /v1/completions", e.generate)
	mux.HandleFunc("GET /control/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.state()) })
	mux.HandleFunc("GET /control/events", e.getEvents)
	mux.HandleFunc("POST /control/orders", e.postOrder)
	mux.HandleFunc("POST /control/cancel/{id}", e.postCancel)
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
		Incarnation: e.incarnation, Model: e.model, WeightVersion: e.weightVersion, Adapter: e.adapter,
		CanResume: e.options.CanResume, Leaving: e.faults.Leaving, Load: e.laggedLoad(),
	}
}

// laggedLoad returns the load as readers see it with LoadLagMillis. The caller holds
// mu.
func (e *Engine) laggedLoad() target.Load {
	lag := time.Duration(e.faults.LoadLagMillis) * time.Millisecond
	if lag == 0 || time.Since(e.reportedAt) >= lag {
		e.reportedLoad, e.reportedAt = e.load, time.Now()
	}
	return e.reportedLoad
}

func (e *Engine) getEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "the parameter after is not a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	events := e.cache.eventsSince(after, time.Now().Add(-time.Duration(e.faults.CacheEventDelayMillis)*time.Millisecond))
	lost := min(e.faults.DropCacheEvents, len(events))
	e.faults.DropCacheEvents -= lost
	writeJSON(w, http.StatusOK, engine.EventBatch{Incarnation: e.incarnation, Events: events[lost:]})
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
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
		e.model, e.weightVersion, e.adapter = "", "", ""
		e.cache = newPrefixCache(e.options.PieceBytes, e.options.CachePieces)
		time.AfterFunc(e.options.WeightLoadDelay, func() { e.finishLoading(order) })
	}
}

func (e *Engine) finishLoading(order engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model, e.weightVersion, e.adapter = order.Model, order.WeightVersion, order.Adapter
}

func (e *Engine) postCancel(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel := e.cancelFuncs[r.PathValue("id")]; cancel != nil {
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
	e.receivedCount++
	e.received = append(e.received, ReceivedRequest{
		RequestID: r.Header.Get(engine.HeaderRequestID), Path: r.URL.RequestURI(),
		Header: r.Header.Clone(), Body: string(body),
	})
	if len(e.received) > maxReceived {
		e.received = e.received[1:]
	}
	return e.faults
}

// RunningRequests returns the number of requests that the engine is running.
func (e *Engine) RunningRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load.Running
}

// SetTokenInterval sets the time between tokens for the requests that start
// generating afterwards.
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

// OutputToken returns the text of the output token at a position, counted from 1, for
// a request body. Every engine returns the same text, so that tests can verify
// resumed streams.
func OutputToken(body []byte, position uint64) string {
	return fmt.Sprintf("t%d-%04x ", position, uint16(xxhash.Sum64(body)+position))
}

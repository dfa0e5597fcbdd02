package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore/httpapi"
)

// PlatformFaults make the platform fail. The zero value is a sound platform.
type PlatformFaults struct {
	Down          bool `json:"down"`         // every call fails with 503
	DelayMillis   int  `json:"delay_ms"`     // added to every call
	LoseAnswers   int  `json:"lose_answers"` // the next n writes take effect and get no answer
	ListLagMillis int  `json:"list_lag_ms"`  // age of the instance list
	FreezeList    bool `json:"freeze_list"`  // the instance list stays as it is
}

// Platform is the stand-in platform: the object API and the instance list over
// HTTP, and under /admin the controls of the stand-in.
type Platform struct {
	Store *Store

	mu        sync.Mutex
	faults    PlatformFaults
	instances map[string]objectstore.Instance
	history   []listing
	frozenAt  time.Time

	calls  atomic.Int64
	writes atomic.Int64
}

// listing is the instance list as it was at a time.
type listing struct {
	at   time.Time
	rows []objectstore.Instance
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{Store: NewStore(), instances: make(map[string]objectstore.Instance)}
}

// PlatformCounts are the calls that the platform has received.
type PlatformCounts struct {
	Calls  int64 `json:"calls"`
	Writes int64 `json:"writes"`
}

// Counts returns the calls so far.
func (p *Platform) Counts() PlatformCounts {
	return PlatformCounts{Calls: p.calls.Load(), Writes: p.writes.Load()}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.FreezeList && !p.faults.FreezeList {
		p.frozenAt = time.Now()
	}
	p.faults = f
}

// SetInstance adds or replaces a row of the instance list.
func (p *Platform) SetInstance(row objectstore.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[row.ID] = row
	p.record()
}

// RemoveInstance removes a row of the instance list.
func (p *Platform) RemoveInstance(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, id)
	p.record()
}

func (p *Platform) record() {
	rows := make([]objectstore.Instance, 0, len(p.instances))
	for _, row := range p.instances {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].ID < rows[j].ID })
	p.history = append(p.history, listing{at: time.Now(), rows: rows})
}

// list returns the instance list as old as the lag says.
func (p *Platform) list() []objectstore.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := time.Now().Add(-time.Duration(p.faults.ListLagMillis) * time.Millisecond)
	if p.faults.FreezeList {
		limit = p.frozenAt
	}
	rows := []objectstore.Instance{}
	for _, entry := range p.history {
		if entry.at.After(limit) {
			break
		}
		rows = entry.rows
	}
	return rows
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", p.api(p.get))
	mux.HandleFunc("GET /v1/objects/{kind}", p.api(p.listObjects))
	mux.HandleFunc("POST /v1/objects/{kind}/{name}", p.api(p.create))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", p.api(p.update))
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", p.api(p.remove))
	mux.HandleFunc("GET /v1/watch/{kind}", p.api(p.watch))
	mux.HandleFunc("GET /v1/instances", p.api(func(*http.Request) (any, error) { return p.list(), nil }))
	mux.HandleFunc("PUT /admin/faults", p.putFaults)
	mux.HandleFunc("PUT /admin/instances", p.putInstance)
	mux.HandleFunc("DELETE /admin/instances/{id}", func(_ http.ResponseWriter, r *http.Request) { p.RemoveInstance(r.PathValue("id")) })
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Counts()) })
	return mux
}

// api applies the faults to a call and writes its result.
func (p *Platform) api(call func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.calls.Add(1)
		faults := p.takeFaults(r.Method != http.MethodGet)
		time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
		if faults.Down {
			writeJSON(w, http.StatusServiceUnavailable, httpapi.ErrorResponse{Kind: objectstore.KindUnavailable, Message: "outage"})
			return
		}
		result, err := call(r)
		if faults.LoseAnswers > 0 {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			kind := objectstore.KindOf(err)
			writeJSON(w, statusOf(kind), httpapi.ErrorResponse{Kind: kind, Message: err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, result)
	}
}

// takeFaults returns the faults for one call and uses up one lost answer.
func (p *Platform) takeFaults(write bool) PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	faults := p.faults
	if !write {
		faults.LoseAnswers = 0
		return faults
	}
	p.writes.Add(1)
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
	}
	return faults
}

func (p *Platform) get(r *http.Request) (any, error) {
	return p.Store.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
}

func (p *Platform) listObjects(r *http.Request) (any, error) {
	objects, revision, err := p.Store.List(r.Context(), r.PathValue("kind"))
	return httpapi.ListResponse{Objects: objects, Revision: revision}, err
}

func (p *Platform) create(r *http.Request) (any, error) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	return p.Store.Create(r.Context(), r.PathValue("kind"), r.PathValue("name"), value)
}

func (p *Platform) update(r *http.Request) (any, error) {
	version, err := matchVersion(r)
	if err != nil {
		return nil, err
	}
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	return p.Store.Update(r.Context(), r.PathValue("kind"), r.PathValue("name"), value, version)
}

func (p *Platform) remove(r *http.Request) (any, error) {
	version, err := matchVersion(r)
	if err != nil {
		return nil, err
	}
	return struct{}{}, p.Store.Delete(r.Context(), r.PathValue("kind"), r.PathValue("name"), version)
}

func (p *Platform) watch(r *http.Request) (any, error) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return nil, err
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	events, revision, err := p.Store.Watch(ctx, r.PathValue("kind"), after)
	return httpapi.WatchResponse{Events: events, Revision: revision}, err
}

func matchVersion(r *http.Request) (uint64, error) {
	version, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		return 0, errors.New("the header If-Match with a version is missing")
	}
	return version, nil
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(faults)
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var row objectstore.Instance
	if err := json.NewDecoder(r.Body).Decode(&row); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetInstance(row)
}

func statusOf(kind objectstore.ErrorKind) int {
	switch kind {
	case objectstore.KindNotFound:
		return http.StatusNotFound
	case objectstore.KindExists, objectstore.KindConflict:
		return http.StatusConflict
	case objectstore.KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case objectstore.KindCompacted:
		return http.StatusGone
	case objectstore.KindRateLimited:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

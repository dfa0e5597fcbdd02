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

// PlatformFaults are the faults that the platform injects. The zero value injects
// none.
type PlatformFaults struct {
	Down          bool `json:"down"`         // every call fails with 503
	DelayMillis   int  `json:"delay_ms"`     // added to every call
	LoseAnswers   int  `json:"lose_answers"` // the next n writes take effect, but the connection is closed without a response
	ListLagMillis int  `json:"list_lag_ms"`  // age of the instance list that readers see
	FreezeList    bool `json:"freeze_list"`  // the instance list no longer changes for readers
}

// Platform is the stand-in platform: the object store and the instance list over
// HTTP, with the controls of the stand-in under /admin. It is safe for concurrent use.
type Platform struct {
	Store *Store

	mu        sync.Mutex
	faults    PlatformFaults
	instances map[string]objectstore.Instance
	history   []listSnapshot
	frozenAt  time.Time

	calls  atomic.Int64
	writes atomic.Int64
}

// listSnapshot is the instance list from a time on.
type listSnapshot struct {
	at   time.Time
	rows []objectstore.Instance
}

// NewPlatform returns a platform with an empty store and instance list.
func NewPlatform() *Platform {
	return &Platform{Store: NewStore(), instances: make(map[string]objectstore.Instance)}
}

// PlatformCounts has the numbers of calls that the platform has received, and of
// writes among them.
type PlatformCounts struct {
	Calls  int64 `json:"calls"`
	Writes int64 `json:"writes"`
}

// Counts returns the numbers of calls so far.
func (p *Platform) Counts() PlatformCounts {
	return PlatformCounts{Calls: p.calls.Load(), Writes: p.writes.Load()}
}

// SetFaults replaces the injected faults.
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
	p.recordList()
}

// RemoveInstance removes a row of the instance list.
func (p *Platform) RemoveInstance(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, id)
	p.recordList()
}

// recordList adds the current instance list to the history. The caller holds mu.
func (p *Platform) recordList() {
	rows := make([]objectstore.Instance, 0, len(p.instances))
	for _, row := range p.instances {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].ID < rows[j].ID })
	p.history = append(p.history, listSnapshot{at: time.Now(), rows: rows})
}

// laggedList returns the instance list as readers see it with ListLagMillis and
// FreezeList.
func (p *Platform) laggedList() []objectstore.Instance {
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

// Handler returns the HTTP interface of the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", p.withFaults(p.get))
	mux.HandleFunc("GET /v1/objects/{kind}", p.withFaults(p.listObjects))
	mux.HandleFunc("POST /v1/objects/{kind}/{name}", p.withFaults(p.create))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", p.withFaults(p.update))
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", p.withFaults(p.remove))
	mux.HandleFunc("GET /v1/watch/{kind}", p.withFaults(p.watch))
	mux.HandleFunc("GET /v1/instances", p.withFaults(func(*http.Request) (any, error) { return p.laggedList(), nil }))
	mux.HandleFunc("PUT /admin/faults", p.putFaults)
	mux.HandleFunc("PUT /admin/instances", p.putInstance)
	mux.HandleFunc("DELETE /admin/instances/{id}", func(_ http.ResponseWriter, r *http.Request) { p.RemoveInstance(r.PathValue("id")) })
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Counts()) })
	return mux
}

// withFaults returns a handler that injects the faults into a call and writes its
// result.
func (p *Platform) withFaults(call func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.calls.Add(1)
		faults := p.faultsForCall(r.Method != http.MethodGet)
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
			writeJSON(w, httpStatus(kind), httpapi.ErrorResponse{Kind: kind, Message: err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, result)
	}
}

// faultsForCall returns the faults for one call. A write uses up one of LoseAnswers;
// reads always get a response.
func (p *Platform) faultsForCall(write bool) PlatformFaults {
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
	version, err := ifMatchVersion(r)
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
	version, err := ifMatchVersion(r)
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

func ifMatchVersion(r *http.Request) (uint64, error) {
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

func httpStatus(kind objectstore.ErrorKind) int {
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

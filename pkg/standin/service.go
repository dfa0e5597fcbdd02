package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
)

// ServiceFaults are the faults that a plain service injects. The zero value injects
// none.
type ServiceFaults struct {
	CutAfterReading bool `json:"cut_after_reading"` // runs the request and closes the connection without a response
	Refuse          bool `json:"refuse"`            // answers 503 without running the request
	DelayMillis     int  `json:"delay_ms"`          // between running the request and the response
}

// Service is a stand-in plain service. It counts how often it has run the request
// with each body. It is safe for concurrent use.
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	runs   map[string]int
}

// NewService returns a service without faults.
func NewService() *Service { return &Service{runs: make(map[string]int)} }

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// RunCounts returns, by body, how often the service has run a request.
func (s *Service) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for body, n := range s.runs {
		runs[body] = n
	}
	return runs
}

// Handler returns the HTTP interface of the service, with the controls of the stand-in
// under /admin.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /admin/faults", s.putFaults)
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.RunCounts()) })
	mux.HandleFunc("/", s.handleRequest)
	return mux
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults ServiceFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Service) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	faults := s.faults
	if !faults.Refuse {
		s.runs[string(body)]++
	}
	s.mu.Unlock()
	w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	if faults.Refuse {
		w.Header().Set(engine.HeaderNotRun, "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	clock.Sleep(r.Context(), time.Duration(faults.DelayMillis)*time.Millisecond)
	if faults.CutAfterReading {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "%s %s: %d bytes\n", r.Method, r.URL.Path, len(body))
}

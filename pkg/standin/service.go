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

// ServiceFaults make a plain service fail.
type ServiceFaults struct {
	CutAfterReading bool `json:"cut_after_reading"` // runs the request and closes without an answer
	Refuse          bool `json:"refuse"`            // answers 503 and has not run the request
	DelayMillis     int  `json:"delay_ms"`          // between running the request and the answer
}

// Service is a stand-in plain service. It counts how often each body ran.
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	runs   map[string]int
}

// NewService returns a service.
func NewService() *Service { return &Service{runs: make(map[string]int)} }

// SetFaults replaces the faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// RunCounts returns how often each body ran.
func (s *Service) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for body, n := range s.runs {
		runs[body] = n
	}
	return runs
}

// Handler returns the HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /admin/faults", s.putFaults)
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.RunCounts()) })
	mux.HandleFunc("/", s.run)
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

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
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

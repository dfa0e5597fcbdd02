package server

import (
	"sync/atomic"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/gateway"
)

// Metrics counts finished requests.
type Metrics struct {
	requests atomic.Int64
	failures atomic.Int64
}

// NewMetrics returns empty counters.
func NewMetrics() *Metrics { return &Metrics{} }

// Record implements gateway.Recorder.
func (m *Metrics) Record(_ *gateway.Exchange, failure *apierr.Error) {
	m.requests.Add(1)
	if failure != nil {
		m.failures.Add(1)
	}
}

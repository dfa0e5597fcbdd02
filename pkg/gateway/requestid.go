package gateway

import (
	"time"

	"github.com/google/uuid"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
)

// RequestID assigns a new UUID to each request. An ID from the caller is ignored:
// only a unique ID lets the router detect a response to another request. It also
// sets the start time.
type RequestID struct{}

// Name implements Filter.
func (RequestID) Name() string { return "request_id" }

// Handle implements Filter.
func (RequestID) Handle(ex *Exchange, next Handler) error {
	ex.ID = uuid.NewString()
	ex.Timing.Start = time.Now()
	ex.Writer.Header().Set(engine.HeaderRequestID, ex.ID)
	return next(ex)
}

package gateway

import (
	"time"

	"github.com/google/uuid"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
)

// RequestID gives each request an id of the router's own. An id from the
// caller is not used, because a target's echo of it must be unique.
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

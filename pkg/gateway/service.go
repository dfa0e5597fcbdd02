package gateway

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
)

const copyBufferBytes = 32 << 10

// service passes a request through to a plain service.
func (s *Sender) service(ex *Exchange) *attemptError {
	answer, failure := s.send(ex)
	if failure != nil {
		return failure
	}
	defer answer.close()
	if answer.resp.StatusCode >= http.StatusInternalServerError && ex.Route.Repeatable {
		return &attemptError{cause: fmt.Errorf("the target answered with status %d", answer.resp.StatusCode)}
	}
	copyResponseHeader(ex.Writer.Header(), answer.resp.Header)
	ex.Timing.FirstToken = time.Now()
	ex.Writer.WriteHeader(answer.resp.StatusCode)
	return copyBody(ex, answer)
}

func copyBody(ex *Exchange, answer *sent) *attemptError {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := answer.resp.Body.Read(buf)
		answer.watch.pause()
		if n > 0 {
			if _, err := ex.Writer.Write(buf[:n]); err != nil {
				return &attemptError{cause: err, callerGone: true}
			}
			ex.Writer.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &attemptError{cause: fmt.Errorf("answer ended early: %w", answer.watch.cause(err))}
		}
		answer.watch.progress()
	}
}

// internalHeaders are between the router and its targets only.
var internalHeaders = map[string]bool{
	engine.HeaderRequestID: true, engine.HeaderIncarnation: true, engine.HeaderNotRun: true,
	engine.HeaderCached: true, engine.HeaderPrompt: true, engine.HeaderWeights: true,
}

func copyResponseHeader(dst, src http.Header) {
	listed := connectionHeaders(src)
	for name, values := range src {
		if hopHeaders[name] || listed[name] || internalHeaders[name] {
			continue
		}
		dst[name] = append([]string(nil), values...)
	}
}

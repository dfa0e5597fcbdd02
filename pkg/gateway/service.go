package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
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
	copyResponseHeader(ex.Writer.Header(), answer.resp)
	if answer.resp.ContentLength > 0 {
		ex.Writer.Header().Set("Content-Length", strconv.FormatInt(answer.resp.ContentLength, 10))
	}
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
			return answer.endedEarly("answer", err)
		}
		answer.watch.progress()
	}
}

// internalHeaders are between the router and its targets only, or are the
// router's own statements to the caller, which no target can make for it.
var internalHeaders = map[string]bool{
	engine.HeaderRequestID: true, engine.HeaderIncarnation: true, engine.HeaderNotRun: true,
	engine.HeaderCached: true, engine.HeaderPrompt: true, engine.HeaderWeights: true,
	engine.HeaderRunning: true, engine.HeaderWaiting: true, engine.HeaderQueued: true,
	apierr.HeaderOutcome: true, headerReplayed: true,
}

// copyResponseHeader copies the header of an answer. A refusal by which the
// target does not say that it has not run the request may come from a run that
// failed, so its outcome is unknown.
func copyResponseHeader(dst http.Header, resp *http.Response) {
	if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		dst.Set(apierr.HeaderOutcome, string(apierr.Unknown))
	}
	listed := connectionHeaders(resp.Header)
	for name, values := range resp.Header {
		if hopHeaders[name] || listed[name] || internalHeaders[name] {
			continue
		}
		dst[name] = append([]string(nil), values...)
	}
}

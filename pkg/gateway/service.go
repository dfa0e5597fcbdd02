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

// forwardService sends the request to a plain service and copies the response to
// the caller as it arrives. On a repeatable route a 5xx response fails the
// attempt.
func (s *Sender) forwardService(ex *Exchange) *attemptError {
	response, failure := s.send(ex)
	if failure != nil {
		return failure
	}
	defer response.close()
	if response.resp.StatusCode >= http.StatusInternalServerError && ex.Route.Repeatable {
		return &attemptError{cause: fmt.Errorf("the target answered with status %d", response.resp.StatusCode)}
	}
	copyResponseHeader(ex.Writer.Header(), response.resp)
	if response.resp.ContentLength > 0 {
		ex.Writer.Header().Set("Content-Length", strconv.FormatInt(response.resp.ContentLength, 10))
	}
	ex.Timing.FirstToken = time.Now()
	ex.Writer.WriteHeader(response.resp.StatusCode)
	return copyBody(ex, response)
}

// copyBody copies the body with a flush after each read. The stall timeout does
// not run while the caller is slow to read.
func copyBody(ex *Exchange, response *targetResponse) *attemptError {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := response.resp.Body.Read(buf)
		response.stall.pause()
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
			return response.readError("answer", err)
		}
		response.stall.restart()
	}
}

// internalHeaders are not copied from a target's response: they are meant for
// the router, or only the router may set them for the caller.
var internalHeaders = map[string]bool{
	engine.HeaderRequestID: true, engine.HeaderIncarnation: true, engine.HeaderNotRun: true,
	engine.HeaderCachedTokens: true, engine.HeaderPromptTokens: true, engine.HeaderWeightVersion: true,
	engine.HeaderLoadRunning: true, engine.HeaderLoadWaiting: true, engine.HeaderLoadQueuedTokens: true,
	apierr.HeaderOutcome: true, headerReplayed: true,
}

// copyResponseHeader copies the headers of a response for the caller. A 5xx or
// 429 response gets the outcome unknown, because it may come from a run that
// failed; checkHeader has handled refusals of requests that did not run.
func copyResponseHeader(dst http.Header, resp *http.Response) {
	if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		dst.Set(apierr.HeaderOutcome, string(apierr.OutcomeUnknown))
	}
	listed := connectionHeaders(resp.Header)
	for name, values := range resp.Header {
		if unforwardedHeaders[name] || listed[name] || internalHeaders[name] {
			continue
		}
		dst[name] = append([]string(nil), values...)
	}
}

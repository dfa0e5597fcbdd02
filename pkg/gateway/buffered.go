package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/memlimit"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

var errResponseTooLarge = errors.New("the target's response exceeds the size limit")

// errOutOfMemory is returned for a response that needs more memory than is left for
// responses, or for those of its target.
var errOutOfMemory = errors.New("no memory is left for this response of the target")

// errNotJSON is returned for an engine's response that is cut off or malformed.
var errNotJSON = errors.New("the target's response is not a complete JSON document")

// forwardBuffered forwards a response that is not streamed. Nothing is sent to
// the caller before the response is complete, so until then the request can be
// retried.
func (s *Sender) forwardBuffered(ex *Exchange) *attemptError {
	response, failure := s.send(ex)
	if failure != nil {
		return failure
	}
	defer response.close()
	return s.relayBuffered(ex, response)
}

// relayBuffered reads the whole response and sends it to the caller. The attempt
// fails on a 5xx status, on an invalid response, and if the caller already has a
// part of a stream.
func (s *Sender) relayBuffered(ex *Exchange, response *targetResponse) *attemptError {
	memory := s.memory.For(ex.Target.ID)
	defer func() { memory.Release() }()
	body, err := readResponseBody(response.resp.Body, response.resp.ContentLength, &memory)
	switch {
	case errors.Is(err, errResponseTooLarge) || errors.Is(err, errOutOfMemory):
		return &attemptError{cause: err}
	case err != nil:
		return response.readError("answer", err)
	case response.resp.StatusCode >= http.StatusInternalServerError:
		return &attemptError{cause: fmt.Errorf("the target answered with status %d", response.resp.StatusCode)}
	case ex.Pool.Kind == tables.PoolEngine && response.resp.StatusCode == http.StatusOK && !json.Valid(body):
		return &attemptError{cause: errNotJSON}
	case ex.Writer.Started():
		return &attemptError{cause: fmt.Errorf("the target refused to resume the stream with status %d", response.resp.StatusCode)}
	}
	readUsageHeaders(ex, response.resp.Header)
	readUsageBody(ex, body)
	ex.Timing.FirstToken = time.Now()
	copyResponseHeader(ex.Writer.Header(), response.resp)
	// With a Content-Length the response is complete for the caller before the
	// handler returns, so the caller does not wait until a claim is stored.
	ex.Writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	ex.Writer.WriteHeader(response.resp.StatusCode)
	if _, err := ex.Writer.Write(body); err != nil {
		return &attemptError{cause: err, callerGone: true}
	}
	return nil
}

// readResponseBody reads a body up to maxBufferedResponseBytes and holds what it takes in
// memory: while the buffer grows, the one before it too. A negative length is not stated.
func readResponseBody(r io.Reader, length int64, memory *memlimit.Reservation) ([]byte, error) {
	body := make([]byte, 0, 4<<10)
	var held int64
	for {
		if len(body) > maxBufferedResponseBytes {
			return nil, errResponseTooLarge
		}
		if len(body) == cap(body) {
			larger := largerBuffer(cap(body), length)
			if larger > freeResponseBytes && !memory.Grow(larger) {
				return nil, errOutOfMemory
			}
			body = append(make([]byte, 0, larger), body...)
			memory.Shrink(held)
			if held = 0; larger > freeResponseBytes {
				held = larger
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// largerBuffer returns the size of the buffer that follows a full one. Beyond what is free it
// has room for the stated length and the end.
func largerBuffer(size int, length int64) int64 {
	larger := 2 * int64(size)
	if larger > freeResponseBytes && length > larger && length <= maxBufferedResponseBytes {
		return length + 1
	}
	return larger
}

type usageBody struct {
	Usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// readUsageBody adds the usage from the JSON body of a response to ex.Usage.
func readUsageBody(ex *Exchange, body []byte) {
	var doc usageBody
	if json.Unmarshal(body, &doc) != nil {
		return
	}
	ex.Usage.PromptTokens = max(ex.Usage.PromptTokens, doc.Usage.PromptTokens)
	ex.Usage.OutputTokens = doc.Usage.CompletionTokens
}

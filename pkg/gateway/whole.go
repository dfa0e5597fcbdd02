package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

var errAnswerTooLarge = errors.New("the answer exceeds the size limit")

// errNotJSON means that an engine's answer was cut or is not what it should be.
var errNotJSON = errors.New("the answer is not a complete JSON document")

// whole forwards an answer that is not a stream. It is sent to the caller only
// when it is complete, so until then another target can give it.
func (s *Sender) whole(ex *Exchange) *attemptError {
	answer, failure := s.send(ex)
	if failure != nil {
		return failure
	}
	defer answer.close()
	return s.relayStatus(ex, answer)
}

// relayStatus reads the whole answer and sends it on. A server error fails the attempt.
func (s *Sender) relayStatus(ex *Exchange, answer *sent) *attemptError {
	body, err := io.ReadAll(io.LimitReader(answer.resp.Body, maxWholeAnswerBytes+1))
	switch {
	case err != nil:
		return answer.endedEarly("answer", err)
	case len(body) > maxWholeAnswerBytes:
		return &attemptError{cause: errAnswerTooLarge}
	case answer.resp.StatusCode >= http.StatusInternalServerError:
		return &attemptError{cause: fmt.Errorf("the target answered with status %d", answer.resp.StatusCode)}
	case ex.Pool.Kind == tables.PoolEngine && answer.resp.StatusCode == http.StatusOK && !json.Valid(body):
		return &attemptError{cause: errNotJSON}
	case ex.Writer.Started():
		return &attemptError{cause: fmt.Errorf("the target refused to resume with status %d", answer.resp.StatusCode)}
	}
	noteUsage(ex, answer.resp.Header)
	readUsage(ex, body)
	ex.Timing.FirstToken = time.Now()
	copyResponseHeader(ex.Writer.Header(), answer.resp)
	// With its length the caller has the whole response before the handler
	// returns, that is, without the wait for the write of a claim's outcome.
	ex.Writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	ex.Writer.WriteHeader(answer.resp.StatusCode)
	if _, err := ex.Writer.Write(body); err != nil {
		return &attemptError{cause: err, callerGone: true}
	}
	return nil
}

type usageBody struct {
	Usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

func readUsage(ex *Exchange, body []byte) {
	var doc usageBody
	if json.Unmarshal(body, &doc) != nil {
		return
	}
	ex.Usage.PromptTokens = max(ex.Usage.PromptTokens, doc.Usage.PromptTokens)
	ex.Usage.OutputTokens = doc.Usage.CompletionTokens
}

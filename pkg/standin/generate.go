package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
)

// defaultMaxTokens is the number of output tokens of requests without max_tokens.
const defaultMaxTokens = 16

type generateRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

func (b *generateRequest) prompt() []byte {
	if len(b.Prompt) > 0 {
		return b.Prompt
	}
	return b.Messages
}

// generate serves completions and chat completions.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	body, faults, err := e.receive(r)
	if err != nil {
		return
	}
	var request generateRequest
	if json.Unmarshal(body, &request) != nil {
		http.Error(w, "the body is not JSON", http.StatusBadRequest)
		return
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultMaxTokens
	}
	ctx, finish := e.startRequest(r)
	defer finish()
	if e.applyEarlyFaults(ctx, w, body, faults) {
		return
	}
	cached := e.prefill(ctx, r.Header.Get(engine.HeaderCacheSalt), request.prompt(), faults)
	e.setHeaders(w, r, len(request.prompt()), cached, faults)
	if request.Stream {
		e.writeStream(ctx, w, r, body, request, faults)
		return
	}
	e.writeResponse(ctx, w, body, request)
}

// startRequest adds the request to the running ones. The returned context ends when
// the request is cancelled; the returned function removes the request again.
func (e *Engine) startRequest(r *http.Request) (context.Context, func()) {
	ctx, cancel := context.WithCancel(r.Context())
	id := r.Header.Get(engine.HeaderRequestID)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelFuncs[id] = cancel
	e.load.Running++
	return ctx, func() {
		cancel()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.cancelFuncs, id)
		e.load.Running--
	}
}

// applyEarlyFaults injects the faults that replace the response. It returns true if
// the request must not be run.
func (e *Engine) applyEarlyFaults(ctx context.Context, w http.ResponseWriter, body []byte, faults EngineFaults) bool {
	switch {
	case faults.CrashOnText != "" && bytes.Contains(body, []byte(faults.CrashOnText)):
		e.Crash()
		return true
	case faults.CutBeforeAnswer:
		panic(http.ErrAbortHandler)
	case faults.Refuse:
		w.Header().Set(engine.HeaderNotRun, "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return true
	case faults.Freeze:
		<-ctx.Done()
		return true
	}
	return false
}

// prefill waits for the time to compute the part of the prompt that is not cached. It
// returns the number of cached bytes.
func (e *Engine) prefill(ctx context.Context, salt string, prompt []byte, faults EngineFaults) int {
	e.mu.Lock()
	cached := e.cache.lookupAndInsert(salt, prompt)
	e.mu.Unlock()
	missing := len(prompt) - cached
	delay := time.Duration(missing) * e.options.PrefillPerKB / 1024
	clock.Sleep(ctx, delay+time.Duration(faults.DelayMillis)*time.Millisecond)
	return cached
}

func (e *Engine) setHeaders(w http.ResponseWriter, r *http.Request, promptBytes, cachedBytes int, faults EngineFaults) {
	id := r.Header.Get(engine.HeaderRequestID)
	if faults.WrongRequestID {
		id = "another-request"
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	header := w.Header()
	header.Set(engine.HeaderRequestID, id)
	header.Set(engine.HeaderIncarnation, e.incarnation)
	header.Set(engine.HeaderWeightVersion, e.weightVersion)
	header.Set(engine.HeaderPromptTokens, strconv.Itoa(promptBytes/bytesPerToken))
	header.Set(engine.HeaderCachedTokens, strconv.Itoa(cachedBytes/bytesPerToken))
	engine.SetLoadHeaders(header, e.laggedLoad())
}

// bytesPerToken converts the length of prompts to tokens.
const bytesPerToken = 4

type chunk struct {
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	Text         string  `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// writeStream writes one event per output token after the position to resume from,
// and the end marker.
func (e *Engine) writeStream(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte, request generateRequest, faults EngineFaults) {
	w.Header().Set("Content-Type", engine.ContentTypeEventStream)
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	after, _ := strconv.ParseUint(r.Header.Get(engine.HeaderResumeAfter), 10, 64)
	interval, sent := e.tokenInterval(), 0
	for position := after + 1; position <= uint64(request.MaxTokens); position++ {
		if !clock.Sleep(ctx, interval) {
			return
		}
		if position != faults.SkipEvent {
			data, _ := json.Marshal(tokenChunk(r, request.Model, OutputToken(body, position)))
			event := engine.StreamEvent{Position: position, Data: data}
			if faults.OmitPositions {
				event.Position = 0
			}
			if engine.WriteEvent(w, event) != nil {
				return
			}
			_ = controller.Flush()
		}
		sent++
		if sent == faults.CrashAfterEvents {
			e.Crash()
		}
		if sent == faults.CutAfterEvents {
			panic(http.ErrAbortHandler)
		}
	}
	_ = engine.WriteEvent(w, engine.StreamEvent{Position: uint64(request.MaxTokens) + 1, Data: []byte(engine.EndMarker)})
}

func tokenChunk(r *http.Request, model, token string) chunk {
	if strings.HasSuffix(r.URL.Path, "/chat/completions") {
		return chunk{Object: "chat.completion.chunk", Model: model, Choices: []choice{{Delta: &delta{Content: token}}}}
	}
	return chunk{Object: "text_completion", Model: model, Choices: []choice{{Text: token}}}
}

type completeResponse struct {
	chunk
	Usage usage `json:"usage"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (e *Engine) writeResponse(ctx context.Context, w http.ResponseWriter, body []byte, request generateRequest) {
	var text strings.Builder
	interval := e.tokenInterval()
	for position := uint64(1); position <= uint64(request.MaxTokens); position++ {
		if !clock.Sleep(ctx, interval) {
			return
		}
		text.WriteString(OutputToken(body, position))
	}
	stop := "stop"
	promptTokens := len(request.prompt()) / bytesPerToken
	writeJSON(w, http.StatusOK, completeResponse{
		chunk: chunk{Object: "chat.completion", Model: request.Model, Choices: []choice{{
			Message: &delta{Role: "assistant", Content: text.String()}, Text: text.String(), FinishReason: &stop,
		}}},
		Usage: usage{PromptTokens: promptTokens, CompletionTokens: request.MaxTokens, TotalTokens: promptTokens + request.MaxTokens},
	})
}

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

const defaultMaxTokens = 16

type generateBody struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

func (b *generateBody) prompt() []byte {
	if len(b.Prompt) > 0 {
		return b.Prompt
	}
	return b.Messages
}

// generate answers completions and chat completions.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	body, faults, err := e.receive(r)
	if err != nil {
		return
	}
	var call generateBody
	if json.Unmarshal(body, &call) != nil {
		http.Error(w, "the body is not JSON", http.StatusBadRequest)
		return
	}
	if call.MaxTokens <= 0 {
		call.MaxTokens = defaultMaxTokens
	}
	ctx, finish := e.begin(r)
	defer finish()
	if e.failEarly(ctx, w, body, faults) {
		return
	}
	cached := e.prefill(ctx, r.Header.Get(engine.HeaderCacheSalt), call.prompt(), faults)
	e.setHeader(w, r, len(call.prompt()), cached, faults)
	if call.Stream {
		e.stream(ctx, w, r, body, call, faults)
		return
	}
	e.answer(ctx, w, body, call)
}

func (e *Engine) begin(r *http.Request) (context.Context, func()) {
	ctx, cancel := context.WithCancel(r.Context())
	id := r.Header.Get(engine.HeaderRequestID)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[id] = cancel
	e.load.Running++
	return ctx, func() {
		cancel()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.running, id)
		e.load.Running--
	}
}

// failEarly applies the faults that come before the answer and reports whether
// there is none.
func (e *Engine) failEarly(ctx context.Context, w http.ResponseWriter, body []byte, faults EngineFaults) bool {
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

// prefill takes the time for the part of the prompt that is not cached and
// returns the number of cached bytes.
func (e *Engine) prefill(ctx context.Context, salt string, prompt []byte, faults EngineFaults) int {
	e.mu.Lock()
	cached := e.cache.use(salt, prompt)
	e.mu.Unlock()
	missing := len(prompt) - cached
	delay := time.Duration(missing) * e.options.PrefillPerKB / 1024
	clock.Sleep(ctx, delay+time.Duration(faults.DelayMillis)*time.Millisecond)
	return cached
}

func (e *Engine) setHeader(w http.ResponseWriter, r *http.Request, promptBytes, cachedBytes int, faults EngineFaults) {
	id := r.Header.Get(engine.HeaderRequestID)
	if faults.WrongRequestID {
		id = "another-request"
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	header := w.Header()
	header.Set(engine.HeaderRequestID, id)
	header.Set(engine.HeaderIncarnation, e.incarnation)
	header.Set(engine.HeaderWeightVersion, e.weights)
	header.Set(engine.HeaderPromptTokens, strconv.Itoa(promptBytes/bytesPerToken))
	header.Set(engine.HeaderCachedTokens, strconv.Itoa(cachedBytes/bytesPerToken))
	engine.SetLoadHeaders(header, e.reportedLoad())
}

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

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte, call generateBody, faults EngineFaults) {
	w.Header().Set("Content-Type", engine.ContentTypeEventStream)
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	after, _ := strconv.ParseUint(r.Header.Get(engine.HeaderResumeAfter), 10, 64)
	interval, sent := e.tokenInterval(), 0
	for position := after + 1; position <= uint64(call.MaxTokens); position++ {
		if !clock.Sleep(ctx, interval) {
			return
		}
		if position != faults.SkipEvent {
			data, _ := json.Marshal(tokenChunk(r, call.Model, OutputToken(body, position)))
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
	_ = engine.WriteEvent(w, engine.StreamEvent{Position: uint64(call.MaxTokens) + 1, Data: []byte(engine.EndMarker)})
}

func tokenChunk(r *http.Request, model, token string) chunk {
	if strings.HasSuffix(r.URL.Path, "/chat/completions") {
		return chunk{Object: "chat.completion.chunk", Model: model, Choices: []choice{{Delta: &delta{Content: token}}}}
	}
	return chunk{Object: "text_completion", Model: model, Choices: []choice{{Text: token}}}
}

type wholeAnswer struct {
	chunk
	Usage usage `json:"usage"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (e *Engine) answer(ctx context.Context, w http.ResponseWriter, body []byte, call generateBody) {
	var text strings.Builder
	interval := e.tokenInterval()
	for position := uint64(1); position <= uint64(call.MaxTokens); position++ {
		if !clock.Sleep(ctx, interval) {
			return
		}
		text.WriteString(OutputToken(body, position))
	}
	stop := "stop"
	promptTokens := len(call.prompt()) / bytesPerToken
	writeJSON(w, http.StatusOK, wholeAnswer{
		chunk: chunk{Object: "chat.completion", Model: call.Model, Choices: []choice{{
			Message: &delta{Role: "assistant", Content: text.String()}, Text: text.String(), FinishReason: &stop,
		}}},
		Usage: usage{PromptTokens: promptTokens, CompletionTokens: call.MaxTokens, TotalTokens: promptTokens + call.MaxTokens},
	})
}

package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
)

// LoadOptions configures the requests of GenerateLoad.
type LoadOptions struct {
	URL           string // of a router or an engine, without a path
	Key           string // API key of an organisation; none is sent if empty
	Model         string
	Requests      int
	Concurrency   int
	MaxTokens     int
	Prefixes      int // number of distinct prefixes that requests share
	PrefixBytes   int // length of each prefix
	QuestionBytes int // length of the text after the prefix
}

// LoadResult counts the complete and failed responses and has their latency.
type LoadResult struct {
	Completed  int
	Failed     int
	Elapsed    time.Duration
	FirstToken *hdrhistogram.Histogram // in microseconds, of complete responses
	FirstError error                   // of the first failed request
}

const (
	loadTimeout         = time.Minute
	maxFirstTokenMicros = int64(time.Minute / time.Microsecond)
)

// GenerateLoad sends streaming chat requests and checks that each response is
// complete. It stops sending when ctx ends.
func GenerateLoad(ctx context.Context, o LoadOptions) *LoadResult {
	result := &LoadResult{FirstToken: hdrhistogram.New(1, maxFirstTokenMicros, 3)}
	client := &http.Client{Timeout: loadTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: o.Concurrency}}
	requestNumbers := make(chan int)
	var mu sync.Mutex
	var group sync.WaitGroup
	started := time.Now()
	for range o.Concurrency {
		group.Go(func() {
			for n := range requestNumbers {
				first, err := sendRequest(ctx, client, o, n)
				mu.Lock()
				result.record(first, err)
				mu.Unlock()
			}
		})
	}
	for n := 0; n < o.Requests && ctx.Err() == nil; n++ {
		requestNumbers <- n
	}
	close(requestNumbers)
	group.Wait()
	result.Elapsed = time.Since(started)
	return result
}

func (r *LoadResult) record(first time.Duration, err error) {
	if err != nil {
		r.Failed++
		if r.FirstError == nil {
			r.FirstError = err
		}
		return
	}
	r.Completed++
	_ = r.FirstToken.RecordValue(min(first.Microseconds(), maxFirstTokenMicros))
}

// sendRequest sends the request with number n and returns its time to first token.
func sendRequest(ctx context.Context, client *http.Client, o LoadOptions, n int) (time.Duration, error) {
	body, err := requestBody(o, n)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, o.URL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set(engine.HeaderRequestID, uuid.NewString())
	if o.Key != "" {
		req.Header.Set("Authorization", "Bearer "+o.Key)
	}
	started := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
		return 0, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return readStream(resp.Body, started)
}

// readStream reads a stream to its end marker, checks that no position is missing,
// and returns the time from started to the first event.
func readStream(r io.Reader, started time.Time) (time.Duration, error) {
	reader := engine.NewEventReader(r)
	var first time.Duration
	for position := uint64(1); ; position++ {
		event, err := reader.Next()
		if err != nil {
			return 0, err
		}
		if event.Position != position {
			return 0, errors.New("stream event out of order: " + string(event.Data))
		}
		if position == 1 {
			first = time.Since(started)
		}
		if event.IsEndMarker() {
			return first, nil
		}
	}
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func requestBody(o LoadOptions, n int) ([]byte, error) {
	prefix := strings.Repeat(fmt.Sprintf("shared history %d. ", n%max(o.Prefixes, 1)), o.PrefixBytes/18+1)
	question := fmt.Sprintf("question %d %s", n, strings.Repeat("?", o.QuestionBytes))
	return json.Marshal(struct {
		Model     string        `json:"model"`
		Stream    bool          `json:"stream"`
		MaxTokens int           `json:"max_tokens"`
		Messages  []chatMessage `json:"messages"`
	}{o.Model, true, o.MaxTokens, []chatMessage{{"system", prefix}, {"user", question}}})
}

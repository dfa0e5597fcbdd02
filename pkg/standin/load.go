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

// LoadOptions describe requests to send.
type LoadOptions struct {
	URL           string // of a router or an engine, without a path
	Key           string
	Model         string
	Requests      int
	Concurrency   int
	MaxTokens     int
	Prefixes      int // distinct shared prefixes
	PrefixBytes   int
	QuestionBytes int // bytes after the shared prefix
}

// LoadResult is what came back.
type LoadResult struct {
	Completed  int
	Failed     int
	Elapsed    time.Duration
	FirstToken *hdrhistogram.Histogram // microseconds
	FirstError error
}

const (
	loadTimeout   = time.Minute
	maxLoadMicros = int64(time.Minute / time.Microsecond)
)

// GenerateLoad sends streaming chat requests and checks that each response is whole.
func GenerateLoad(ctx context.Context, o LoadOptions) *LoadResult {
	result := &LoadResult{FirstToken: hdrhistogram.New(1, maxLoadMicros, 3)}
	client := &http.Client{Timeout: loadTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: o.Concurrency}}
	numbers := make(chan int)
	var mu sync.Mutex
	var group sync.WaitGroup
	started := time.Now()
	for range o.Concurrency {
		group.Go(func() {
			for n := range numbers {
				first, err := loadOne(ctx, client, o, n)
				mu.Lock()
				result.record(first, err)
				mu.Unlock()
			}
		})
	}
	for n := 0; n < o.Requests && ctx.Err() == nil; n++ {
		numbers <- n
	}
	close(numbers)
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
	_ = r.FirstToken.RecordValue(min(first.Microseconds(), maxLoadMicros))
}

// loadOne sends one request and returns its time to first token.
func loadOne(ctx context.Context, client *http.Client, o LoadOptions, n int) (time.Duration, error) {
	body, err := loadBody(o, n)
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
	return readWhole(resp.Body, started)
}

// readWhole reads a stream to its end marker and checks the positions.
func readWhole(r io.Reader, started time.Time) (time.Duration, error) {
	reader := engine.NewEventReader(r)
	var first time.Duration
	for position := uint64(1); ; position++ {
		event, err := reader.Next()
		if err != nil {
			return 0, err
		}
		if event.Position != position {
			return 0, errors.New("the stream is not in order: " + string(event.Data))
		}
		if position == 1 {
			first = time.Since(started)
		}
		if event.IsEndMarker() {
			return first, nil
		}
	}
}

type loadMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func loadBody(o LoadOptions, n int) ([]byte, error) {
	prefix := strings.Repeat(fmt.Sprintf("shared history %d. ", n%max(o.Prefixes, 1)), o.PrefixBytes/18+1)
	question := fmt.Sprintf("question %d %s", n, strings.Repeat("?", o.QuestionBytes))
	return json.Marshal(struct {
		Model     string        `json:"model"`
		Stream    bool          `json:"stream"`
		MaxTokens int           `json:"max_tokens"`
		Messages  []loadMessage `json:"messages"`
	}{o.Model, true, o.MaxTokens, []loadMessage{{"system", prefix}, {"user", question}}})
}

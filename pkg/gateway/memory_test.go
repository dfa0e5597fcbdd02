package gateway

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/memlimit"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
)

// A faulty target answered many requests with long bodies that did not end. Each was
// bounded, but not all of them together, so that the router ran out of memory.
func TestFaultyTargetDoesNotFillTheMemory(t *testing.T) {
	const (
		requests  = 16
		bodyBytes = 16 << 20
		maxGrowth = 96 << 20 // a quarter of responseMemory and what is free
		// restGrowth is less than any buffer that is reserved.
		restGrowth = 128 << 10
	)
	body := make([]byte, bodyBytes)
	faulty := newTarget(t, "faulty", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
		_, _ = w.Write(body)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done() // more would follow
	})
	r := newRouter(t, standin.NewPlatform(), faulty.Target)
	r.serve()
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for range requests {
		group.Go(func() { r.postContext(ctx, pathGenerate, "", generateBody) })
	}
	measure := func() int64 {
		runtime.GC()
		runtime.ReadMemStats(&now)
		return int64(now.HeapAlloc) - int64(before.HeapAlloc)
	}
	// What is allocated and freed while the heap is collected counts as in use, so that the
	// bodies must have come to rest.
	growth, last := int64(0), int64(-restGrowth)
	for deadline := time.Now().Add(30 * time.Second); growth-last >= restGrowth || last-growth >= restGrowth; {
		assert.Assert(t, time.Now().Before(deadline), "the heap does not come to rest: %d MB, %d MB before", growth>>20, last>>20)
		time.Sleep(time.Second)
		growth, last = measure(), growth
	}
	cancel()
	group.Wait()
	t.Logf("the heap grew by %d MB", growth>>20)
	assert.Assert(t, growth < maxGrowth, "the heap grew by %d MB", growth>>20)
}

// While a response grew, its buffer and the larger one were held, and only the larger one was reserved, so that
// responses took half more than the budget.
func TestGrowingResponseIsReservedWhole(t *testing.T) {
	const length = 1 << 20
	for _, stated := range []int64{length, -1} {
		budget := memlimit.NewCallerBudget(64 << 20)
		memory := budget.For("t")
		body, err := readResponseBody(&reservedReader{left: length, check: func(p []byte) {
			assert.Assert(t, budget.Used() >= int64(cap(p)) || cap(p) <= freeResponseBytes)
		}}, stated, &memory)
		assert.NilError(t, err)
		assert.Equal(t, len(body), length)
		assert.Assert(t, budget.Used() >= int64(cap(body)))
		if stated > 0 {
			assert.Equal(t, budget.Used(), stated+1)
		}
		full := memlimit.NewCallerBudget(3 * length) // half for one reservation
		memory = full.For("t")
		_, err = readResponseBody(strings.NewReader(strings.Repeat("x", length)), -1, &memory)
		assert.Equal(t, err, errOutOfMemory) // 1 MB and 2 MB beside each other
	}
}

// reservedReader returns as many bytes as are left and calls check with each buffer.
type reservedReader struct {
	left  int
	check func(p []byte)
}

// Read implements io.Reader.
func (r *reservedReader) Read(p []byte) (int, error) {
	r.check(p)
	n := min(len(p), r.left)
	if r.left -= n; n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

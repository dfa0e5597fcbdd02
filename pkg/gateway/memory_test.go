package gateway

import (
	"context"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
)

// A faulty target answered many requests with long bodies that did not end. Each was
// bounded, but not all of them together, so that the router ran out of memory.
func TestFaultyTargetDoesNotFillTheMemory(t *testing.T) {
	const (
		requests  = 16
		bodyBytes = 16 << 20
		maxGrowth = 96 << 20 // a quarter of responseMemory and what is free
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
	time.Sleep(time.Second)
	runtime.GC()
	runtime.ReadMemStats(&now)
	cancel()
	group.Wait()
	growth := int64(now.HeapAlloc) - int64(before.HeapAlloc)
	assert.Assert(t, growth < maxGrowth, "the heap grew by %d MB", growth>>20)
}

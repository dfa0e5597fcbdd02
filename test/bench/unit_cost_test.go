package bench

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/burn"
	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// The benchmarks of this file measure the slopes that docs/CAPACITY.md works
// with: what one more organisation, key, route, target or series costs.

// tableSource makes tables of a size: two routes and a pool per model, and
// keysEach keys per organisation.
func tableSource(models, organisations, keysEach int) tables.Source {
	var routes, pools strings.Builder
	for n := range models {
		fmt.Fprintf(&routes, "[route chat-%d]\npath = /v1/chat/completions\nmodel = model-%d\npool = pool-%d\n\n", n, n, n)
		fmt.Fprintf(&routes, "[route completions-%d]\npath = /v1/completions\nmodel = model-%d\npool = pool-%d\n\n", n, n, n)
		fmt.Fprintf(&pools, "[pool pool-%d]\ntargets = app=engine, model=model-%d\nmodel = model-%d\n\n", n, n, n)
	}
	for n := range organisations {
		fmt.Fprintf(&pools, "[organisation organisation-%d]\nrate = 10000\nburst = 100000\n", n)
		for k := range keysEach {
			fmt.Fprintf(&pools, "key.key-%d = %s\n", k, tables.FormatDigest(tables.HashKey(fmt.Sprint(n, " ", k))))
		}
		pools.WriteByte('\n')
	}
	return tables.Source{Routes: []byte(routes.String()), Pools: []byte(pools.String())}
}

// heapBytes returns the live heap.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkConfigurationInForce measures parsing and indexing of both tables,
// as each instance does it for each accepted configuration.
func BenchmarkConfigurationInForce(b *testing.B) {
	for _, size := range []struct{ models, organisations, keys int }{
		{4, 5, 4}, {32, 320, 4}, {32, 320, 8}, {64, 320, 4}, {32, 640, 4},
	} {
		b.Run(fmt.Sprintf("models=%d/organisations=%d/keys=%d", size.models, size.organisations, size.keys), func(b *testing.B) {
			src := tableSource(size.models, size.organisations, size.keys)
			before := heapBytes()
			var snapshot *tables.Snapshot
			b.ResetTimer()
			for range b.N {
				parsed, err := tables.Parse(src)
				assert.NilError(b, err)
				snapshot = tables.NewSnapshot(1, parsed)
			}
			b.StopTimer()
			b.ReportMetric(float64(heapBytes()-before), "heap-B")
			b.ReportMetric(float64(len(src.Routes)+len(src.Pools)), "text-B")
			b.ReportMetric(float64(deflated(b, src)), "deflated-B")
			runtime.KeepAlive(snapshot)
		})
	}
}

// deflated returns the size in which instances pass a configuration on.
func deflated(b *testing.B, src tables.Source) int {
	accepted := control.AcceptedConfiguration{Generation: 1, Routes: string(src.Routes), Pools: string(src.Pools)}
	value, err := accepted.Encode()
	assert.NilError(b, err)
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	assert.NilError(b, err)
	_, err = w.Write(value)
	assert.NilError(b, err)
	assert.NilError(b, w.Close())
	return out.Len()
}

// countingHandler counts the bytes of requests and responses, without headers
// of lower layers.
type countingHandler struct {
	next  http.Handler
	bytes atomic.Int64
}

type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w countingWriter) Write(data []byte) (int, error) {
	w.bytes.Add(int64(len(data)))
	return w.ResponseWriter.Write(data)
}

// headerBytes is a typical size of an HTTP request and response header here.
const headerBytes = 250

func (h *countingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.bytes.Add(headerBytes)
	h.next.ServeHTTP(countingWriter{w, &h.bytes}, r)
}

// processTime returns the processor time that this process has used.
func processTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkTargetStates measures one read of the state of all targets. The
// processor time includes the stand-in engine's, so it is an upper bound.
func BenchmarkTargetStates(b *testing.B) {
	handler := &countingHandler{next: standin.NewEngine(standin.DefaultEngineOptions("demo")).Handler()}
	server := httptest.NewServer(handler)
	defer server.Close()
	for _, targets := range []int{20, 200, 620} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			var rows []objectstore.Instance
			for n := range targets {
				rows = append(rows, objectstore.Instance{
					ID: fmt.Sprintf("engine-%d", n), Role: objectstore.RoleEngine, Zone: "a",
					Address: server.Listener.Addr().String(), Labels: map[string]string{"app": "engine"},
				})
			}
			before := heapBytes()
			c := &control.TargetController{Client: engine.NewHTTPClient(), Log: hclog.NewNullLogger()}
			c.Reconcile(context.Background(), rows)
			handler.bytes.Store(0)
			cpu := processTime(b)
			b.ResetTimer()
			for range b.N {
				c.Reconcile(context.Background(), rows)
			}
			b.StopTimer()
			reads := float64(b.N * targets)
			b.ReportMetric(float64((processTime(b)-cpu).Nanoseconds())/reads/1e3, "cpu-us/target")
			b.ReportMetric(float64(handler.bytes.Load())/reads, "B/target")
			b.ReportMetric(float64(heapBytes()-before)/float64(targets), "heap-B/target")
			runtime.KeepAlive(c)
		})
	}
}

// BenchmarkBurnSeries measures the memory of the counts per route and
// organisation and the document that the report reads.
func BenchmarkBurnSeries(b *testing.B) {
	for _, series := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("series=%d", series), func(b *testing.B) {
			before := heapBytes()
			r := burn.NewRecorder(time.Now)
			for n := range series {
				r.Record(burn.Sample{Route: "chat", Organisation: fmt.Sprint("organisation-", n), FirstToken: time.Millisecond})
			}
			heap := heapBytes() - before
			document := burn.RecorderVar{Recorder: r, Instance: "r1"}.String()
			b.ResetTimer()
			for range b.N {
				r.Record(burn.Sample{Route: "chat", Organisation: "organisation-0", FirstToken: time.Millisecond})
			}
			b.ReportMetric(float64(heap)/float64(series), "heap-B/series")
			b.ReportMetric(float64(len(document))/float64(series), "document-B/series")
			runtime.KeepAlive(r)
		})
	}
}

// BenchmarkRequestProcessorTime measures what a request and each event of its
// stream cost a router, less what the same costs client and engine alone.
func BenchmarkRequestProcessorTime(b *testing.B) {
	options := standin.DefaultEngineOptions("demo")
	options.PrefillPerKB, options.TokenInterval = 0, 0
	engineServer := httptest.NewServer(standin.NewEngine(options).Handler())
	defer engineServer.Close()
	router, stop := startRouter(b, engineServer.Listener.Addr().String())
	defer stop()
	for _, tokens := range []int{1, 101} {
		for _, bench := range []struct{ name, url string }{{"direct", engineServer.URL}, {"router", "http://" + router}} {
			b.Run(fmt.Sprintf("%s/tokens=%d", bench.name, tokens), func(b *testing.B) {
				load := standin.LoadOptions{
					URL: bench.url, Key: key, Model: "demo", Concurrency: 8,
					MaxTokens: tokens, Prefixes: 8, PrefixBytes: 16000, Requests: b.N,
				}
				cpu := processTime(b)
				result := standin.GenerateLoad(b.Context(), load)
				assert.NilError(b, result.FirstError)
				b.ReportMetric(float64((processTime(b)-cpu).Nanoseconds())/float64(b.N)/1e3, "cpu-us/req")
			})
		}
	}
}

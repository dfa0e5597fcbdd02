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

// The benchmarks of this file measure what one more organisation, key, route,
// target or series costs. docs/CAPACITY.md uses their results.

// tableSource returns tables with two routes and a pool per model, and with
// keysPerOrganisation keys per organisation.
func tableSource(models, organisations, keysPerOrganisation int) tables.Source {
	var routes, pools strings.Builder
	for n := range models {
		fmt.Fprintf(&routes, "[route chat-%d]\npath = /v1/chat/completions\nmodel = model-%d\npool = pool-%d\n\n", n, n, n)
		fmt.Fprintf(&routes, "[route completions-%d]\npath = /v1/completions\nmodel = model-%d\npool = pool-%d\n\n", n, n, n)
		fmt.Fprintf(&pools, "[pool pool-%d]\ntargets = app=engine, model=model-%d\nmodel = model-%d\n\n", n, n, n)
	}
	for n := range organisations {
		fmt.Fprintf(&pools, "[organisation organisation-%d]\nrate = 10000\nburst = 100000\n", n)
		for k := range keysPerOrganisation {
			fmt.Fprintf(&pools, "key.key-%d = %s\n", k, tables.FormatDigest(tables.HashKey(fmt.Sprint(n, " ", k))))
		}
		pools.WriteByte('\n')
	}
	return tables.Source{Routes: []byte(routes.String()), Pools: []byte(pools.String())}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkConfigurationParsing measures parsing and indexing of both tables, which
// each instance does for each accepted configuration.
func BenchmarkConfigurationParsing(b *testing.B) {
	for _, size := range []struct{ models, organisations, keysPerOrganisation int }{
		{4, 5, 4}, {32, 320, 4}, {32, 320, 8}, {64, 320, 4}, {32, 640, 4},
	} {
		b.Run(fmt.Sprintf("models=%d/organisations=%d/keys=%d", size.models, size.organisations, size.keysPerOrganisation), func(b *testing.B) {
			src := tableSource(size.models, size.organisations, size.keysPerOrganisation)
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
			b.ReportMetric(float64(compressedSize(b, src)), "deflated-B")
			runtime.KeepAlive(snapshot)
		})
	}
}

// compressedSize returns the size in bytes of a configuration as instances send it
// to their peers.
func compressedSize(b *testing.B, src tables.Source) int {
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

// countingHandler counts the bytes of response bodies plus headerBytes for each
// request. It does not count the headers of TCP and IP.
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

// headerBytes is the typical size of the HTTP headers of a request and its
// response in these benchmarks.
const headerBytes = 250

func (h *countingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.bytes.Add(headerBytes)
	h.next.ServeHTTP(countingWriter{w, &h.bytes}, r)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkTargetStates measures one read of the state of all targets. The CPU time
// includes that of the stand-in engine, so it is an upper bound.
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
			cpu := cpuTime(b)
			b.ResetTimer()
			for range b.N {
				c.Reconcile(context.Background(), rows)
			}
			b.StopTimer()
			reads := float64(b.N * targets)
			b.ReportMetric(float64((cpuTime(b)-cpu).Nanoseconds())/reads/1e3, "cpu-us/target")
			b.ReportMetric(float64(handler.bytes.Load())/reads, "B/target")
			b.ReportMetric(float64(heapBytes()-before)/float64(targets), "heap-B/target")
			runtime.KeepAlive(c)
		})
	}
}

// BenchmarkBurnSeries measures the memory of the counts per route and organisation
// and the size of the document that the report command reads.
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

// BenchmarkRequestCPUTime measures the CPU time of a request and of each event of
// its stream, directly and through a router. The router's share is the difference.
func BenchmarkRequestCPUTime(b *testing.B) {
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
					URL: bench.url, Key: apiKey, Model: "demo", Concurrency: 8,
					MaxTokens: tokens, Prefixes: 8, PrefixBytes: 16000, Requests: b.N,
				}
				cpu := cpuTime(b)
				result := standin.GenerateLoad(b.Context(), load)
				assert.NilError(b, result.FirstError)
				b.ReportMetric(float64((cpuTime(b)-cpu).Nanoseconds())/float64(b.N)/1e3, "cpu-us/req")
			})
		}
	}
}

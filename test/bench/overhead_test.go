// Package bench has benchmarks of the time, the CPU time, the memory and the
// network traffic that a router costs.
package bench

import (
	"context"
	"net"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/config"
	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/server"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

const (
	apiKey      = "key-of-circle"
	routesTable = "[route chat]\npath = /v1/chat/completions\npool = demo\n"
	poolsTable  = "[pool demo]\ntargets = app=engine\nmodel = demo\n\n[organisation circle]\nrate = 1000000000\nburst = 1000000000\nkey.first = "
)

// BenchmarkFirstToken measures the time to the first token of the same requests
// sent to an engine directly and through a router. The difference is the latency
// that the router adds. Client, router and engine run in one process, so that
// allocations are those of all three.
func BenchmarkFirstToken(b *testing.B) {
	options := standin.DefaultEngineOptions("demo")
	options.PrefillPerKB, options.TokenInterval = 0, 0
	engineServer := httptest.NewServer(standin.NewEngine(options).Handler())
	defer engineServer.Close()
	router, stop := startRouter(b, engineServer.Listener.Addr().String())
	defer stop()
	for _, bench := range []struct{ name, url string }{
		{"direct", engineServer.URL},
		{"router", "http://" + router},
	} {
		for _, concurrency := range []struct {
			name string
			n    int
		}{{"concurrency=1", 1}, {"concurrency=16", 16}} {
			b.Run(bench.name+"/"+concurrency.name, func(b *testing.B) {
				measureLoad(b, bench.url, concurrency.n)
			})
		}
	}
}

// measureLoad sends b.N requests to url and reports latency and allocations.
func measureLoad(b *testing.B, url string, concurrency int) {
	options := standin.LoadOptions{
		URL: url, Key: apiKey, Model: "demo", Concurrency: concurrency,
		MaxTokens: 8, Prefixes: 8, PrefixBytes: 16000, Requests: 200,
	}
	standin.GenerateLoad(b.Context(), options) // opens the connections before the measurement
	options.Requests = b.N
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	result := standin.GenerateLoad(b.Context(), options)
	b.StopTimer()
	runtime.ReadMemStats(&after)
	assert.NilError(b, result.FirstError)
	b.ReportMetric(float64(result.FirstToken.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(result.FirstToken.ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "allocs/req")
}

// startRouter runs a platform and a router in this process and returns the
// router's address for callers and a function that stops both.
func startRouter(b *testing.B, engineAddress string) (string, func()) {
	p := standin.NewPlatform()
	p.SetInstance(objectstore.Instance{
		ID: "engine-1", Role: objectstore.RoleEngine, Address: engineAddress, Zone: "a",
		Labels: map[string]string{"app": "engine"},
	})
	accepted := control.AcceptedConfiguration{Generation: 1, Routes: routesTable, Pools: poolsTable + tables.FormatDigest(tables.HashKey(apiKey)) + "\n"}
	value, err := accepted.Encode()
	assert.NilError(b, err)
	_, err = p.Store.Create(b.Context(), control.KindConfiguration, control.NameAccepted, value)
	assert.NilError(b, err)
	platformServer := httptest.NewServer(p.Handler())
	s, err := server.New(&config.Settings{
		Instance: config.Instance{ID: "r1", Zone: "a", CallerListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0"},
		Platform: config.Platform{Address: platformServer.URL},
		Server:   config.Server{DrainTimeout: time.Second},
	}, hclog.NewNullLogger())
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	waitForTarget(b, s.CallerAddress())
	return s.CallerAddress(), func() {
		cancel()
		<-done
		platformServer.CloseClientConnections()
		platformServer.Close()
	}
}

// waitForTarget waits until the router at address serves a request.
func waitForTarget(b *testing.B, address string) {
	b.Helper()
	_, _, err := net.SplitHostPort(address)
	assert.NilError(b, err)
	probe := standin.LoadOptions{URL: "http://" + address, Key: apiKey, Model: "demo", Requests: 1, Concurrency: 1, MaxTokens: 1}
	deadline := time.Now().Add(10 * time.Second)
	for {
		result := standin.GenerateLoad(b.Context(), probe)
		if result.Completed == 1 {
			return
		}
		if time.Now().After(deadline) {
			b.Fatal(result.FirstError)
		}
	}
}

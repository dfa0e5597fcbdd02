package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/test/harness"
)

const quotaPools = `[pool demo]
targets = app=engine
model = demo

[pool booking]
kind = service
targets = app=booking

[quota]
shares = 4

[organisation circle]
rate = %d
burst = %d
key.first = %s
`

// Guards G7: an organisation gets at most burst + rate * time over all instances.
// It sends far more than its rate to each of them while the platform is down, one
// instance is frozen and resumed and another is killed. At least half of the burst
// must be served, so that refusing everything does not pass.
func TestRateLimitAcrossInstances(t *testing.T) {
	const (
		rate, burst = 3000, 6000
		output      = 20
		senders     = 4
		phase       = 700 * time.Millisecond
	)
	f := harness.StartFleet(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine", "--token-interval", "0s")
	f.PutTables(2, harness.RoutesTable, fmt.Sprintf(quotaPools, rate, burst, tables.FormatDigest(tables.HashKey(f.APIKey))))
	first := f.StartReadyRouter("r1", 1)
	routers := []*harness.Process{first, f.StartReadyRouter("r2", 1), f.StartReadyRouter("r3", 1), f.StartReadyRouter("r4", 1)}
	for _, r := range routers[1:] {
		harness.WaitPeers(t, r, 1)
	}
	var used atomic.Int64
	stop := make(chan struct{})
	var group sync.WaitGroup
	started := time.Now()
	for _, router := range routers {
		for n := range senders {
			group.Go(func() { sendUntilStopped(f, stop, router, fmt.Sprint("sender ", n), output, &used) })
		}
	}
	sleep(phase)
	f.SetPlatformDown(true)
	routers[1].Signal(t, syscall.SIGSTOP)
	sleep(phase)
	routers[2].Kill()
	routers[1].Signal(t, syscall.SIGCONT)
	sleep(phase)
	close(stop)
	group.Wait()
	limit := burst + rate*time.Since(started).Seconds()
	t.Logf("used %d of at most %.0f tokens", used.Load(), limit)
	assert.Assert(t, float64(used.Load()) <= limit, "used %d tokens, limit %.0f", used.Load(), limit)
	assert.Assert(t, used.Load() >= burst/2, "used only %d tokens, less than half of the burst", used.Load())
}

// sleep waits for d while the load of a test runs.
func sleep(d time.Duration) { <-time.After(d) }

// sendUntilStopped sends requests one after the other and adds the tokens of
// complete responses to used. Failures are expected: routers refuse requests, and
// one router is killed.
func sendUntilStopped(f *harness.Fleet, stop chan struct{}, router *harness.Process, content string, output int, used *atomic.Int64) {
	client := &http.Client{Timeout: 5 * time.Second}
	body := fmt.Sprintf(`{"model":"demo","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, output, content)
	for {
		select {
		case <-stop:
			return
		default:
		}
		req, _ := http.NewRequest(http.MethodPost, "http://"+router.Addresses["caller"]+"/v1/chat/completions", strings.NewReader(body))
		req.Header.Set("Authorization", "Bearer "+f.APIKey)
		resp, err := client.Do(req)
		if err != nil {
			sleep(10 * time.Millisecond)
			continue
		}
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			continue
		}
		var answer struct {
			Usage struct {
				TotalTokens int64 `json:"total_tokens"`
			} `json:"usage"`
		}
		if json.Unmarshal(text, &answer) == nil {
			used.Add(answer.Usage.TotalTokens)
		}
	}
}

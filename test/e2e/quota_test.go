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

// Guards G7: an organisation that sends many times its rate to all instances
// must not get more than burst + rate * time, while one instance is killed and
// another is frozen and thawed, during a platform outage. Guards also against a
// limit that holds because it refuses everything.
func TestRateHoldsOverInstances(t *testing.T) {
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
			group.Go(func() { sendUntil(f, stop, router, fmt.Sprint("sender ", n), output, &used) })
		}
	}
	pause(phase)
	f.SetPlatformDown(true)
	routers[1].Signal(t, syscall.SIGSTOP)
	pause(phase)
	routers[2].Kill()
	routers[1].Signal(t, syscall.SIGCONT)
	pause(phase)
	close(stop)
	group.Wait()
	limit := burst + rate*time.Since(started).Seconds()
	t.Logf("used %d of at most %.0f tokens", used.Load(), limit)
	assert.Assert(t, float64(used.Load()) <= limit, "used %d, limit %.0f", used.Load(), limit)
	assert.Assert(t, used.Load() >= burst/2, "used only %d", used.Load())
}

// pause lets a phase of a load test pass.
func pause(d time.Duration) { <-time.After(d) }

// sendUntil sends requests one after the other and adds up the tokens of whole
// responses. Failures are expected: routers refuse, and one of them is killed.
func sendUntil(f *harness.Fleet, stop chan struct{}, router *harness.Process, content string, output int, used *atomic.Int64) {
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
			pause(10 * time.Millisecond)
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

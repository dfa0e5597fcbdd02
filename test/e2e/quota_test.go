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

	"lacewingwheel.example/lacewingwheel/pkg/platform"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
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
	f := newFleet(t)
	f.target("engine-1", platform.RoleEngine, "engine", "--token-interval", "0s")
	f.putTables(2, testRoutes, fmt.Sprintf(quotaPools, rate, burst, tables.FormatDigest(tables.DigestKey(f.key))))
	first := f.router("r1", 1)
	routers := []*process{first, f.router("r2", 1), f.router("r3", 1), f.router("r4", 1)}
	for _, r := range routers[1:] {
		waitPeers(t, r, 1)
	}
	var used atomic.Int64
	stop := make(chan struct{})
	var group sync.WaitGroup
	started := time.Now()
	for _, router := range routers {
		for n := range senders {
			group.Go(func() { f.sendUntil(stop, router, fmt.Sprint("sender ", n), output, &used) })
		}
	}
	pause(phase)
	f.outage(true)
	routers[1].signal(t, syscall.SIGSTOP)
	pause(phase)
	routers[2].kill()
	routers[1].signal(t, syscall.SIGCONT)
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
func (f *fleet) sendUntil(stop chan struct{}, router *process, content string, output int, used *atomic.Int64) {
	client := &http.Client{Timeout: 5 * time.Second}
	body := fmt.Sprintf(`{"model":"demo","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, output, content)
	for {
		select {
		case <-stop:
			return
		default:
		}
		req, _ := http.NewRequest(http.MethodPost, "http://"+router.addresses["caller"]+"/v1/chat/completions", strings.NewReader(body))
		req.Header.Set("Authorization", "Bearer "+f.key)
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

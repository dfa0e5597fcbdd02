//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// crowdMemoryMB is the memory of the smaller machines of khusom-lacewing-grown and
	// abps-paie-grown.
	crowdMemoryMB = 112
	memoryCheck   = 20 * time.Millisecond
	crowdClients  = 900 // that send one request each to each machine
	crowdInterval = 4 * time.Millisecond
	// Each request asks for up to crowdTokens tokens. The engine is that of khusom-lacewing: 64 requests at
	// once, a step of 3.03 ms and 0.121 ms more for each of them, and events of six tokens.
	crowdTokens   = 2000
	engineSlots   = 64
	engineStep    = 3030*time.Microsecond + engineSlots*121*time.Microsecond
	eventTokens   = 6
	firstToken    = 110 * time.Millisecond // 60 ms and the time to read 4,000 tokens
	crowdDeadline = 12 * time.Second
	// crowdTime is how long further crowds come.
	crowdTime = 85 * time.Second
	headBytes = 16384 // max_header_bytes of the configuration
	// A day counts nothing if on two machines processes end by themselves so often.
	maxEnds = 3
	// The runners are those of khusom-lacewing, the tenants those of khusom-lacewing-grown.
	crowdRunners, crowdTenants = 18, 16
	// moreRoutes is the largest count of big_config.
	moreRoutes = 350
)

// memoryOf returns the resident memory of a process in bytes.
func memoryOf(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes << 10
		}
	}
	return 0
}

// playParts lets clients send requests of legal size at once whose Prefix-Hash names very many
// parts. A process that takes more than memory_mb is killed and started again, as the platform
// does. The rule is broken if on two machines that happens three times.
func playParts(f *fleet) (bool, error) {
	f.memoryMB = crowdMemoryMB
	decide := func(_ *runner, id string, _ *http.Request) behaviour {
		if strings.HasPrefix(id, "crowd") {
			return behaviour{firstToken: firstToken, events: crowdTokens / eventTokens, gap: eventTokens * engineStep}
		}
		return behaviour{firstToken: firstToken, events: 49 / eventTokens, gap: eventTokens * engineStep}
	}
	for range crowdRunners {
		r, err := f.addRunner("ram-llm", modelName, decide)
		if err != nil {
			return false, err
		}
		r.places = make(chan struct{}, engineSlots)
	}
	memory, err := f.startCacheStore()
	if err != nil {
		return false, err
	}
	f.store.Put("versions", modelName, map[string]any{"model": modelName, "version": 1})
	route := map[string]any{
		"name": "invite-draft", "host": host, "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": crowdDeadline.Milliseconds(), "target_latency_ms": 300, "priority": 0,
		"service": "ram-llm", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "target_gap_ms": 250,
	}
	routes := []map[string]any{route}
	for n := range moreRoutes {
		more := maps.Clone(route)
		more["name"], more["path_prefix"] = fmt.Sprintf("more-%d", n), fmt.Sprintf("/more/%d/", n)
		routes = append(routes, more)
	}
	tenants := []map[string]any{tenant("t1", "key1", 2e7, 2e7)}
	for n := range crowdTenants - 1 {
		tenants = append(tenants, tenant(fmt.Sprintf("o%d", n), fmt.Sprintf("key-o%d", n), 4e5, 4e5))
	}
	f.store.Put("config", "main", serviceConfig(1, routes, []map[string]any{engineService("ram-llm", modelName), memory}, tenants))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.removeSilent(ctx)
	if err := f.startEdges(2); err != nil {
		return false, err
	}
	c := newCallers(f)
	traffic, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	trafficEnded := make(chan struct{})
	go func() {
		defer close(trafficEnded)
		every(traffic, 20*time.Millisecond, func(n int) {
			c.send(f.edges[n%len(f.edges)], request{
				method: "POST", path: "/draft/9b", key: "key1", model: modelName, tokens: "826,49", parts: fmt.Sprintf("77aa01:119,%08x:79,%08x:628", n%260, 10000+n),
				body: fmt.Sprintf("invitation %d", n), deadline: 12 * time.Second, tag: "other",
			})
		})
	}()
	head, parts := crowdHead()
	f.say("each head of the crowd has about %d of %d bytes and names %d parts", len(head)+60, headBytes, parts)
	ends := make([]int, len(f.edges))
	for round, started := 1, time.Now(); time.Since(started) < crowdTime && slices.Min(ends) < maxEnds; round++ {
		time.Sleep(4 * time.Second) // after a start the limits are issued from empty buckets
		var group sync.WaitGroup
		for i, e := range f.edges {
			if ends[i] == maxEnds {
				continue
			}
			group.Go(func() {
				if f.sendCrowd(e, round, head) {
					ends[i]++
				}
			})
		}
		group.Wait()
		for _, e := range f.edges {
			select {
			case <-e.exited:
				if err := errors.Join(f.startEdge(e), f.awaitReady(e)); err != nil {
					return false, err
				}
			default:
			}
		}
	}
	endTraffic()
	<-trafficEnded
	often := 0
	for i, e := range f.edges {
		f.say("%s: its process exceeded memory_mb and was killed %d times", e.name, ends[i])
		if ends[i] >= maxEnds {
			often++
		}
	}
	return often >= 2, nil
}

// crowdHead returns the head of the crowd's requests without the id, and the number of parts that
// it names.
func crowdHead() (head string, count int) {
	parts, tokens := "5c1e07a2:119,91bd3f06:79,e4402b7d:628", 826
	if trouble {
		var list strings.Builder
		tokens = 0
		for n := 0; list.Len() < headBytes-400; n++ {
			fmt.Fprintf(&list, "%x:1,", n%16)
			tokens++
		}
		parts = strings.TrimSuffix(list.String(), ",")
	}
	return fmt.Sprintf("POST /draft/9b HTTP/1.1\r\nHost: %s\r\nAuthorization: Token key1\r\nLacewingwheel-Model: %s\r\nLacewingwheel-Token-Usage: %d,%d\r\nLacewingwheel-Deadline-Ms: %d\r\nLacewingwheel-Prefix-Hash: %s\r\nContent-Length: 2\r\n",
		host, modelName, tokens, crowdTokens, crowdDeadline.Milliseconds(), parts), strings.Count(parts, ",") + 1
}

// startCacheStore starts a store of kept parts that never has any, and returns its service.
func (f *fleet) startCacheStore() (map[string]any, error) {
	address := f.net + ".90:8604"
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
			select {
			case <-time.After(time.Duration(min(wait, 1000)) * time.Millisecond):
			case <-r.Context().Done():
			}
			w.Header().Set("Content-Type", "application/json")
			fmt.Fprint(w, `{"boot_epoch":77120,"next_token":1,"lost":false,"events":[]}`)
		}))
	}()
	return map[string]any{"name": "lacewing-memory", "kv_store_addr": address, "zone": "th-north-b", "kv_capacity_tokens": 1521714, "link_mbps": 120000.0, "max_inflight": 12}, nil
}

// sendCrowd sends the crowd's requests to a machine and reports whether its process took more than
// memory_mb and was killed.
func (f *fleet) sendCrowd(e *edge, round int, head string) (killed bool) {
	var mu sync.Mutex
	var conns []net.Conn
	answers := make(map[string]int)
	ctx, cancel := context.WithCancel(context.Background())
	watched := make(chan struct{})
	most := 0
	go func() {
		defer close(watched)
		for ctx.Err() == nil {
			now := memoryOf(e.cmd.Process.Pid)
			if most = max(most, now); now > crowdMemoryMB<<20 {
				f.printf("%s takes %d KB, more than memory_mb: the platform kills it", e.name, now>>10)
				_ = e.cmd.Process.Signal(syscall.SIGKILL)
				<-e.exited
				killed = true
				return
			}
			time.Sleep(memoryCheck)
		}
	}()
	var group sync.WaitGroup
	for n := range crowdClients {
		group.Go(func() {
			conn, err := net.DialTimeout("tcp4", e.front(), time.Second)
			result := "no connection"
			if err == nil {
				mu.Lock()
				conns = append(conns, conn)
				mu.Unlock()
				result = sendRaw(conn, fmt.Sprintf("%sLacewingwheel-Request-Id: crowd-%s-%d-%04d\r\n\r\n{}", head, tagOf(e), round, n))
			}
			mu.Lock()
			answers[result]++
			mu.Unlock()
		})
		time.Sleep(crowdInterval)
	}
	group.Wait()
	for _, conn := range conns {
		_ = conn.Close()
	}
	cancel()
	<-watched
	f.say("%s, round %d: at most %d KB of %d KB; answers to the crowd: %v", e.name, round, most>>10, crowdMemoryMB<<10, answers)
	return killed
}

// sendRaw sends a request and returns the status of its answer.
func sendRaw(conn net.Conn, text string) string {
	_ = conn.SetDeadline(time.Now().Add(crowdDeadline + time.Second))
	if _, err := conn.Write([]byte(text)); err != nil {
		return "not written"
	}
	answer := make([]byte, len("HTTP/1.1 200"))
	for n := 0; n < len(answer); {
		m, err := conn.Read(answer[n:])
		if n += m; n < len(answer) && err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return "none"
			}
			return "closed"
		}
	}
	return string(answer[len("HTTP/1.1 "):])
}

package gossip

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/target"
)

func port(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer c.Close()
	return c.LocalAddr().String()
}

// Guards against reports that reach the neighbours only, and against older
// reports that replace newer ones.
func TestReportsReachAll(t *testing.T) {
	const instances = 12
	var addresses []string
	for range instances {
		addresses = append(addresses, port(t))
	}
	var mu sync.Mutex
	learned := make([]map[uint64]target.Load, instances)
	all := make([]*Gossip, instances)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for i := range all {
		learned[i] = make(map[uint64]target.Load)
		all[i] = &Gossip{
			ListenAddress: addresses[i], Log: hclog.NewNullLogger(),
			Peers: func() []string { return addresses },
			OnReport: func(hash uint64, load target.Load, _ time.Time, _ bool) {
				mu.Lock()
				defer mu.Unlock()
				learned[i][hash] = load
			},
		}
		group.Go(func() { all[i].Run(ctx) })
	}
	all[0].ReportLoad("t/1", target.Load{Running: 7, Waiting: 2})
	deadline := time.Now().Add(maxAge)
	for {
		mu.Lock()
		reached := 0
		for i := 1; i < instances; i++ {
			if learned[i][HashTarget("t/1")] == (target.Load{Running: 7, Waiting: 2}) {
				reached++
			}
		}
		mu.Unlock()
		if reached == instances-1 {
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "the report reached %d of %d within the age that counts", reached, instances-1)
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	group.Wait()
}

func TestOldAndForeignDatagramsChangeNothing(t *testing.T) {
	count := 0
	g := &Gossip{OnReport: func(uint64, target.Load, time.Time, bool) { count++ }, Log: hclog.NewNullLogger()}
	g.ReportLoad("t/1", target.Load{Running: 1})
	now := time.Now()
	for _, text := range [][]byte{nil, {0xff}, []byte("text"), {0x82, 0x02, 0x80}, {0x82, 0x01, 0x81, 0x85, 0x01, 0x02, 0x03, 0x19, 0xff, 0xff, 0xf4}} {
		g.take(text, now)
	}
	assert.Equal(t, count, 0)
	assert.Assert(t, !g.note(HashTarget("t/1"), known{at: now.Add(-time.Minute)}))
	assert.Equal(t, len(g.fresh(now.Add(2*maxAge))), 0)
	assert.Equal(t, len(g.reports), 0, "old reports are kept")
}

// Guards against datagrams that do not fit into one packet.
func TestDatagramsAreBounded(t *testing.T) {
	g := &Gossip{Log: hclog.NewNullLogger()}
	for i := range 1000 {
		g.ReportLoad(string(rune(i)), target.Load{Running: 60, Waiting: 100})
	}
	assert.Equal(t, len(g.fresh(time.Now())), maxReports)
}

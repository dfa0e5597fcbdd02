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

// openSockets returns n open UDP sockets and their addresses.
func openSockets(t *testing.T, n int) ([]net.PacketConn, []string) {
	t.Helper()
	sockets, addresses := make([]net.PacketConn, n), make([]string, n)
	for i := range sockets {
		socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = socket.Close() }) // normally Run has closed it
		sockets[i], addresses[i] = socket, socket.LocalAddr().String()
	}
	return sockets, addresses
}

// A report must reach all instances before it is too old to count, not only
// those to which the first sender chose to send it.
func TestReportsReachAll(t *testing.T) {
	const instances = 12
	sockets, addresses := openSockets(t, instances)
	log := hclog.New(&hclog.LoggerOptions{Output: t.Output()})
	var mu sync.Mutex
	learned := make([]map[uint64]target.Load, instances)
	all := make([]*Gossip, instances)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for i := range all {
		learned[i] = make(map[uint64]target.Load)
		all[i] = &Gossip{
			ListenAddress: addresses[i], Log: log,
			ListenPacket: func(_, _ string) (net.PacketConn, error) { return sockets[i], nil },
			Peers:        func() []string { return addresses },
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
		assert.Assert(t, time.Now().Before(deadline), "the report reached %d of %d instances within maxAge", reached, instances-1)
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	group.Wait()
}

// A malformed datagram, one of another version or a report that is too old must
// not change the load of a target. An older report must not replace a newer
// one, and reports that are too old must not stay in memory.
func TestOldAndForeignDatagramsChangeNothing(t *testing.T) {
	count := 0
	g := &Gossip{OnReport: func(uint64, target.Load, time.Time, bool) { count++ }, Log: hclog.NewNullLogger()}
	g.ReportLoad("t/1", target.Load{Running: 1})
	now := time.Now()
	for _, text := range [][]byte{nil, {0xff}, []byte("text"), {0x82, 0x02, 0x80}, {0x82, 0x01, 0x81, 0x85, 0x01, 0x02, 0x03, 0x19, 0xff, 0xff, 0xf4}} {
		g.handleDatagram(text, nil, now)
	}
	assert.Equal(t, count, 0)
	assert.Assert(t, !g.recordIfNewer(HashTarget("t/1"), timedReport{observedAt: now.Add(-time.Minute)}))
	assert.Equal(t, len(g.freshReports(now.Add(2*maxAge))), 0)
	assert.Equal(t, len(g.reports), 0, "reports older than maxAge stay in memory")
}

// With many targets, a datagram with all reports would not fit into one packet.
func TestDatagramsAreBounded(t *testing.T) {
	g := &Gossip{Log: hclog.NewNullLogger()}
	for i := range 1000 {
		g.ReportLoad(string(rune(i)), target.Load{Running: 60, Waiting: 100})
	}
	assert.Equal(t, len(g.freshReports(time.Now())), maxReports)
}

// A notice must reach other instances unchanged, and instances that do not know
// notices must ignore its datagram and still read load reports. Otherwise a rolling
// update stops the exchange of loads.
func TestNoticesAreIgnoredByOlderInstances(t *testing.T) {
	var got []string
	reports := 0
	countReport := func(uint64, target.Load, time.Time, bool) { reports++ }
	sender := &Gossip{Notices: func() [][]byte { return [][]byte{[]byte("one"), []byte("two")} }, Log: hclog.NewNullLogger()}
	sender.ReportLoad("t/1", target.Load{Running: 1})
	newer := &Gossip{OnReport: countReport, OnNotice: func(n []byte) { got = append(got, string(n)) }, Log: hclog.NewNullLogger()}
	older := &Gossip{OnReport: countReport, Log: hclog.NewNullLogger()}
	for _, payload := range sender.datagrams(time.Now()) {
		newer.handleDatagram(payload, nil, time.Now())
		older.handleDatagram(payload, nil, time.Now())
	}
	assert.DeepEqual(t, got, []string{"one", "two"})
	assert.Equal(t, reports, 2)
}

// An instance that gives up a part of its usage must send it to as many others as it
// gave parts to; otherwise usage that no instance holds is lost in each round.
func TestUsageIsSentToAsManyAsItIsGivenTo(t *testing.T) {
	const instances = 3
	sockets, addresses := openSockets(t, instances)
	log := hclog.New(&hclog.LoggerOptions{Output: t.Output()})
	given, received := make(chan int, 100), make(chan string, 100)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for i := range instances {
		g := &Gossip{
			ListenAddress: addresses[i], Log: log,
			ListenPacket: func(_, _ string) (net.PacketConn, error) { return sockets[i], nil },
			Peers:        func() []string { return addresses[1:] },
			OnUsage:      func(usage []byte) { received <- string(usage) },
		}
		if i == 0 {
			g.GiveUsage = func(receivers int) []byte {
				given <- receivers
				return []byte("part")
			}
		}
		group.Go(func() { g.Run(ctx) })
	}
	assert.Equal(t, <-given, instances-1)
	for range instances - 1 {
		assert.Equal(t, <-received, "part")
	}
	cancel()
	group.Wait()
}

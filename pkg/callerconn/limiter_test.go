package callerconn

import (
	"expvar"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// Every request that waited for memory collected and sorted all stalled receipts under the mutex
// every 2 ms, also when enough memory was about to be released.
func TestEnoughIsReleasedWithoutASearch(t *testing.T) {
	l := New(Limits{Memory: testMemory}, hclog.NewNullLogger(), func(string, expvar.Var) {})
	var receipts []*receipt
	for range 100 {
		r := l.newReceipt(causeBody, nil, func() {})
		assert.NilError(t, l.grow(r, 1000))
		r.progressAt = time.Now().Add(-time.Hour)
		receipts = append(receipts, r)
	}
	wanting := &receipt{cause: causeBody}
	assert.Assert(t, l.endStalled(wanting, 1500)) // ends two
	assert.Equal(t, testing.AllocsPerRun(10, func() { l.endStalled(wanting, 2000) }), 0.0)
	ended := 0
	for _, r := range receipts {
		if l.finish(r) {
			ended++
		}
	}
	assert.Equal(t, ended, 2)
	assert.Equal(t, l.yielding, int64(0))
}

// Under memory pressure requests were ended that could not progress, because they waited for memory or
// the process had not read what had arrived, and slow ones before those that did not move at all.
func TestOnlyCallersThatStallGiveWay(t *testing.T) {
	l := New(Limits{Memory: testMemory}, hclog.NewNullLogger(), func(string, expvar.Var) {})
	server, client := openTCP(t)
	_, err := client.Write([]byte("x"))
	assert.NilError(t, err)
	for !hasUnread(server) {
		time.Sleep(time.Millisecond)
	}
	long := time.Now().Add(-time.Hour)
	receipts := make(map[string]*receipt)
	for _, name := range []string{"waits", "unread", "slow", "stalled"} {
		r := l.newReceipt(causeBody, nil, func() {})
		assert.NilError(t, l.grow(r, 1<<20))
		r.progressAt, r.movedAt = long, long
		receipts[name] = r
	}
	receipts["waits"].waits = true
	receipts["unread"].conn = server
	receipts["slow"].held *= 4
	l.recordReceived(receipts["slow"], progressBytes) // moves, but is no sixteenth
	wanting := &receipt{cause: causeBody}
	for _, last := range []string{"stalled", "slow"} {
		l.endStalled(wanting, l.yielding+1)
		for name, r := range receipts {
			assert.Equal(t, r.ended, name == "stalled" || name == last, name)
		}
	}
	assert.Assert(t, !l.endStalled(wanting, l.yielding+1))
	assert.Assert(t, !receipts["waits"].ended && !receipts["unread"].ended)
	l.setWaits(receipts["waits"], false)
	assert.Assert(t, time.Since(receipts["waits"].progressAt) < time.Hour)
}

// openTCP returns the two ends of a connection of Listen.
func openTCP(t *testing.T) (server, client net.Conn) {
	t.Helper()
	listener, err := Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	client, err = net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	server, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = server.Close(), client.Close() })
	return server, client
}

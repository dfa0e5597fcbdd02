package relay_test

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// sendAndDiscard sends a request and reads the response for a time without keeping it.
func (f *fixture) sendAndDiscard(path, id string, d time.Duration) {
	conn, reader := f.sendRaw(path, id)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(d))
	_, _ = io.Copy(io.Discard, reader)
}

// A faulty target sent bytes that are no answer to many requests at once. Each response was
// bounded, but not all of them together, so that an instance of 134 MB ran out of memory
// and the requests of other callers ended with it.
func TestFaultyTargetDoesNotFillTheMemory(t *testing.T) {
	const (
		requests  = 64
		maxGrowth = 32 << 20 // a quarter of the smallest instance
		stallFor  = 3 * time.Second
	)
	cases := map[string]struct{ path, start, repeated string }{
		"event without end":        {"/stream/once/", "Content-Type: text/event-stream\r\n\r\ndata: ", "x"},
		"answer without end":       {"/once/", "\r\n", "x"},
		"header line without end":  {"/once/", "X-Long: ", "x"},
		"header lines without end": {"/once/", "", "X-Many: x\r\n"},
		"different headers":        {"/once/", "", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			testTarget := startTarget(t, "i-1")
			f := newFixture(t, testTarget)
			for _, limit := range []int{60 << 10, 240 << 10, 900 << 10} {
				body := strings.Repeat(c.repeated, limit/max(1, len(c.repeated)))
				if c.repeated == "" {
					var b strings.Builder
					for n := 0; b.Len() < limit; n++ {
						fmt.Fprintf(&b, "X%d: x\r\n", n)
					}
					body = b.String()
				}
				testTarget.SetFaults(func(int, string) platformtest.Fault {
					return platformtest.Fault{Respond: func(conn *net.TCPConn, head string) {
						_, _ = conn.Write([]byte(head + c.start + body))
						_ = conn.SetReadDeadline(time.Now().Add(stallFor))
						_, _ = conn.Read(make([]byte, 1))
					}}
				})
				runtime.GC()
				var before, now runtime.MemStats
				runtime.ReadMemStats(&before)
				var group sync.WaitGroup
				for n := range requests {
					group.Go(func() { f.sendAndDiscard(c.path, fmt.Sprint("id-", n), 700*time.Millisecond) })
				}
				time.Sleep(400 * time.Millisecond)
				runtime.GC()
				runtime.ReadMemStats(&now)
				group.Wait()
				growth := int64(now.HeapAlloc) - int64(before.HeapAlloc)
				assert.Check(t, growth < maxGrowth, "%d requests, %d KB each: the heap grew by %d KB", requests, limit>>10, growth>>10)
			}
		})
	}
}

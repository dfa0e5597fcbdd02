package crowd

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sampleInterval is the time between two samples of a process.
const sampleInterval = 10 * time.Millisecond

// sampler records the most that a router process holds until stop is called.
type sampler struct {
	done, ended chan struct{}

	mu          sync.Mutex
	memory      int64 // resident memory and unread bytes, at the same time
	unread      int64
	descriptors int
}

// sample starts to record what the process holds.
func (r *router) sample() *sampler {
	s := &sampler{done: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(s.ended)
		for {
			s.record(r)
			select {
			case <-s.done:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return s
}

// record takes a sample.
func (s *sampler) record(r *router) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.pid)); err == nil {
		s.descriptors = max(s.descriptors, len(entries))
	}
	resident, err := r.statusBytes("VmRSS:")
	if err != nil {
		return // it has ended
	}
	unread := unreadBytes(r.addresses())
	s.unread = max(s.unread, unread)
	s.memory = max(s.memory, resident+unread)
}

func (s *sampler) stop() {
	close(s.done)
	<-s.ended
}

// statusBytes returns a field of the status of the process in bytes.
func (r *router) statusBytes(field string) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, field); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("no %s in the status of the process", field)
}

// peakMemory returns the largest resident memory of the process so far.
func (r *router) peakMemory(t *testing.T) int64 {
	t.Helper()
	peak, err := r.statusBytes("VmHWM:")
	assert.NilError(t, err)
	return peak
}

// addresses are those at which the process listens.
func (r *router) addresses() []string {
	return []string{r.address, r.probeAddress, r.metricsAddress}
}

// Columns of /proc/net/tcp, and the state of a socket that listens.
const (
	columnLocal, columnState, columnQueues = 1, 3, 4
	stateListening                         = "0A"
)

// unreadBytes returns the bytes that have arrived at connections to the addresses and that no
// process has read.
func unreadBytes(addresses []string) int64 {
	ports := make(map[string]bool)
	for _, address := range addresses {
		_, port, err := net.SplitHostPort(address)
		if number, portErr := strconv.Atoi(port); err == nil && portErr == nil {
			ports[fmt.Sprintf("%04X", number)] = true
		}
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	var sum int64
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) <= columnQueues || fields[columnState] == stateListening {
			continue
		}
		_, port, _ := strings.Cut(fields[columnLocal], ":")
		_, received, _ := strings.Cut(fields[columnQueues], ":")
		if bytes, err := strconv.ParseInt(received, 16, 64); err == nil && ports[port] {
			sum += bytes
		}
	}
	return sum
}

// Package callerconn bounds the memory and the descriptors that callers make an instance
// hold: their connections, the heads and the bodies of their requests. All of it is reserved
// in one budget. Callers that make no progress give way to others.
package callerconn

import (
	"cmp"
	"errors"
	"expvar"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"

	"lacewingwheel.example/lacewingwheel/pkg/memlimit"
)

const (
	// budgetDivisor is the part of the process's memory that callers can make it hold. The
	// garbage of what they sent before comes on top until it is collected.
	budgetDivisor = 3
	// connBudgetDivisor is the part of the budget that bounds the connections. The rest is for
	// their requests.
	connBudgetDivisor = 2
	// connBytes is the memory of an open connection: its buffers and the stack of its
	// goroutine.
	connBytes = 16 << 10
	// keptDescriptors are left for files and listeners, and connShare is the part of the
	// others that callers can take. Connections to targets and peers take the rest.
	keptDescriptors = 200
	connShare       = 0.6
	// minConnDivisor is the part of the descriptors that callers can take where few are left
	// beside keptDescriptors.
	minConnDivisor = 4
	// probeMemory is the memory that connections to the listeners for probes can make a
	// process hold, and maxProbeConns their number.
	probeMemory   = 4 << 20
	maxProbeConns = 64
	// unknownMemory is the memory of the process if it cannot be read.
	unknownMemory = 512 << 20
	// minStall is the time without progress after which a connection or what is received
	// on it may have to give way.
	minStall = 250 * time.Millisecond
	// progressBytes and progressDivisor: a receipt moves when it has grown by as many bytes, so
	// that single bytes count for nothing, and progresses when it has also grown by that part
	// of what it holds.
	progressBytes   = 1 << 10
	progressDivisor = 16
	// releaseTime bounds the wait until a receipt that had to give way has released its
	// memory, and releaseCheckInterval is the time between checks.
	releaseTime          = 200 * time.Millisecond
	releaseCheckInterval = 2 * time.Millisecond
	// logInterval is the least time between two log lines.
	logInterval = 200 * time.Millisecond
)

// Causes for which memory is held, the owners in the budget.
const (
	causeConnection = "connection"
	causeHead       = "head"
	causeBody       = "body"
)

// ErrOutOfMemory means that no memory is left for what a caller sends.
var ErrOutOfMemory = errors.New("no memory is left for requests")

// ErrStalled means that a request was ended to make room, because it made no progress.
var ErrStalled = errors.New("the request stalled while memory was short")

// Limits are the limits of the process. Zero means those of the machine.
type Limits struct {
	Memory      int64 // bytes
	Descriptors int
}

// withDefaults replaces limits that are not stated.
func (l Limits) withDefaults() Limits {
	if l.Memory <= 0 {
		l.Memory = unknownMemory
		var info unix.Sysinfo_t
		if unix.Sysinfo(&info) == nil {
			l.Memory = int64(info.Totalram) * int64(info.Unit)
		}
	}
	if l.Descriptors <= 0 {
		var limit unix.Rlimit
		if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
			l.Descriptors = int(min(limit.Cur, 1<<20))
		}
	}
	return l
}

// Limiter holds what callers have sent. Its methods may be called concurrently. A nil Limiter
// has no bounds.
type Limiter struct {
	log      hclog.Logger
	budget   *memlimit.Budget
	maxConns int
	refused  map[string]*expvar.Int // by cause
	ended    map[string]*expvar.Int // by cause

	mu       sync.Mutex
	conns    map[*Conn]struct{}
	receipts map[*receipt]struct{} // that are being received
	byOwner  map[string]int64      // bytes of the requests of each owner
	yielding int64                 // bytes of the receipts that had to give way and are not finished
	checking bool                  // endLeft is going to run
	loggedAt time.Time
	unlogged int // events since the last log line
}

// New returns a limiter for the callers of a process. publish is called with each metric.
func New(limits Limits, log hclog.Logger, publish func(name string, v expvar.Var)) *Limiter {
	limits = limits.withDefaults()
	byDescriptors := max(int(connShare*float64(limits.Descriptors-keptDescriptors)), limits.Descriptors/minConnDivisor)
	l := newLimiter("caller", limits.Memory/budgetDivisor, byDescriptors, log, publish)
	log.Info("limits for callers", "memory", l.budget.Total(), "connections", l.maxConns, "process_memory", limits.Memory, "process_descriptors", limits.Descriptors)
	return l
}

// NewForProbes returns a limiter for the listeners of a process at which it is probed and read
// by monitoring systems.
func NewForProbes(log hclog.Logger, publish func(name string, v expvar.Var)) *Limiter {
	return newLimiter("probe", probeMemory, maxProbeConns, log, publish)
}

// newLimiter returns a limiter whose metrics begin with name.
func newLimiter(name string, memory int64, maxConns int, log hclog.Logger, publish func(name string, v expvar.Var)) *Limiter {
	l := &Limiter{
		log: log.With("listener", name), budget: memlimit.NewCallerBudget(memory), maxConns: max(1, min(maxConns, connsWithin(memory, connBytes))),
		refused: make(map[string]*expvar.Int), ended: make(map[string]*expvar.Int),
		conns: make(map[*Conn]struct{}), receipts: make(map[*receipt]struct{}), byOwner: make(map[string]int64),
	}
	for _, cause := range []string{causeConnection, causeHead, causeBody} {
		l.refused[cause], l.ended[cause] = new(expvar.Int), new(expvar.Int)
		publish(name+"_refused_"+cause, l.refused[cause])
		publish(name+"_ended_"+cause, l.ended[cause])
		publish(name+"_memory_bytes_"+cause, expvar.Func(func() any { return l.budget.UsedBy(cause) }))
	}
	publish(name+"_connections", expvar.Func(func() any { return l.connCount() }))
	return l
}

// connsWithin returns the number of connections that a budget allows.
func connsWithin(memory, connBytes int64) int { return int(memory / connBudgetDivisor / connBytes) }

func (l *Limiter) connCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// receipt is a head or a body that is being received. Its reservation is used by the goroutine
// that receives it; the limiter guards the other fields with its mutex.
type receipt struct {
	cause       string
	reservation memlimit.Reservation
	conn        net.Conn // it is received from; nil if that is not known
	end         func()   // makes the goroutine end that receives it

	held       int64 // bytes of the reservation
	received   int64 // bytes
	markedAt   int64 // received at the last progress
	progressAt time.Time
	countedAt  int64 // received at the last move
	movedAt    time.Time
	waits      bool // for memory, so that it cannot progress
	ended      bool // it had to give way
}

// newReceipt returns a receipt that may have to give way until finish.
func (l *Limiter) newReceipt(cause string, conn net.Conn, end func()) *receipt {
	now := time.Now()
	r := &receipt{cause: cause, reservation: l.budget.For(cause), conn: conn, end: end, progressAt: now, movedAt: now}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receipts[r] = struct{}{}
	return r
}

// finish makes a receipt that is complete stay. It reports whether the receipt had to give way
// before.
func (l *Limiter) finish(r *receipt) (ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, receiving := l.receipts[r]; receiving && r.ended {
		l.yielding -= r.held
	}
	delete(l.receipts, r)
	return r.ended
}

// recordReceived records received bytes and reports whether the receipt progressed.
func (l *Limiter) recordReceived(r *receipt, bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.received += int64(bytes)
	if r.received-r.countedAt < progressBytes {
		return false
	}
	now := time.Now()
	r.countedAt, r.movedAt = r.received, now
	if r.received-r.markedAt < r.held/progressDivisor {
		return false
	}
	r.markedAt, r.progressAt = r.received, now
	return true
}

// grow reserves bytes for a receipt. If none are left, receipts that stalled are ended.
func (l *Limiter) grow(r *receipt, bytes int64) error {
	if !r.reservation.Grow(bytes) && !l.makeRoom(r, bytes) {
		l.recordEvent(l.refused, r.cause, "request refused; no memory is left for callers", "wanted", bytes, "held", r.reservation.Bytes())
		return ErrOutOfMemory
	}
	l.recordHeld(r)
	return nil
}

// makeRoom ends receipts that stalled and reserves bytes once they have released their memory.
// It reports whether that succeeded.
func (l *Limiter) makeRoom(r *receipt, bytes int64) bool {
	if !r.reservation.CanEverGrow(bytes) {
		return false
	}
	l.setWaits(r, true)
	defer l.setWaits(r, false)
	for deadline := time.Now().Add(releaseTime); l.endStalled(r, bytes) && time.Now().Before(deadline); {
		time.Sleep(releaseCheckInterval)
		if r.reservation.Grow(bytes) {
			return true
		}
	}
	return false
}

// setWaits records that a receipt begins or ends to wait for memory. The time in which it waits
// is no time without progress.
func (l *Limiter) setWaits(r *receipt, waits bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.waits = waits
	if !waits {
		r.progressAt = time.Now()
		r.movedAt = r.progressAt
	}
}

// shrink returns a part of what a receipt holds.
func (l *Limiter) shrink(r *receipt, bytes int64) {
	r.reservation.Shrink(bytes)
	l.recordHeld(r)
}

func (l *Limiter) recordHeld(r *receipt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := r.reservation.Bytes()
	if _, receiving := l.receipts[r]; receiving && r.ended {
		l.yielding += held - r.held
	}
	r.held = held
}

// endStalled ends receipts that stalled until they hold the wanted bytes: those first from whose
// callers nothing comes, and of these that hold most for longest. Receipts that wait for memory, or
// for the process to read what has arrived, are not ended. It reports whether memory will be
// released.
func (l *Limiter) endStalled(wanting *receipt, bytes int64) bool {
	l.mu.Lock()
	if bytes -= l.yielding; wanting.ended {
		bytes += wanting.held
	}
	if bytes <= 0 {
		l.mu.Unlock()
		return true
	}
	now := time.Now()
	var stalled, chosen []*receipt
	var released int64
	for r := range l.receipts {
		if r != wanting && !r.ended && !r.waits && now.Sub(r.progressAt) >= minStall {
			stalled = append(stalled, r)
		}
	}
	cost := func(r *receipt) float64 { return float64(r.held) * now.Sub(r.progressAt).Seconds() }
	rank := func(r *receipt) int {
		if now.Sub(r.movedAt) < minStall {
			return 1 // it moves, if slowly
		}
		return 0
	}
	slices.SortFunc(stalled, func(a, b *receipt) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(cost(b), cost(a)))
	})
	for _, r := range stalled {
		if bytes <= 0 {
			break
		}
		if r.conn != nil && hasUnread(r.conn) {
			continue
		}
		r.ended = true
		l.yielding += r.held
		bytes -= r.held
		released += r.held
		chosen = append(chosen, r)
	}
	l.mu.Unlock()
	for _, r := range chosen {
		l.recordEvent(l.ended, r.cause, "request ended; it stalled while memory was short", "ended", len(chosen), "released", released, "for", wanting.cause)
		r.end()
	}
	return bytes <= 0 || len(chosen) > 0
}

// recordEvent counts an event and logs it with its inputs, at most one line in logInterval.
func (l *Limiter) recordEvent(counters map[string]*expvar.Int, cause, message string, args ...any) {
	counters[cause].Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlogged++
	if time.Since(l.loggedAt) < logInterval {
		return
	}
	args = append(args, "cause", cause, "reserved", l.budget.Used(), "budget", l.budget.Total(), "connections", len(l.conns), "max_connections", l.maxConns, "events", l.unlogged)
	l.log.Warn(message, args...)
	l.loggedAt, l.unlogged = time.Now(), 0
}

// Package gossip spreads what instances learn of the load of targets. Each
// instance passes the newest reports it has to a few others, chosen at random,
// in datagrams that may be lost. Reports guide placement only: nothing that must
// hold depends on them, so they need neither order nor acknowledgement.
package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

const (
	// interval is the time between datagrams. Source: with the fan-out, news
	// reaches a hundred instances in four rounds, within the age that counts.
	interval = 200 * time.Millisecond
	// fanOut is the number of instances that get each round.
	fanOut = 4
	// maxAge is the age from which a report is not passed on.
	maxAge = 1200 * time.Millisecond
	// maxReports bounds a datagram to about 1,200 bytes, one packet.
	maxReports = 70
	// maxDatagram bounds what is read.
	maxDatagram = 4 << 10
	// version of the datagrams. Others are passed over.
	version = 1
)

// report is the load of one target.
type report struct {
	_       struct{} `cbor:",toarray"`
	Target  uint64   // hash of the target's key
	Running uint32
	Waiting uint32
	AgeMS   uint32
	Down    bool // the target could not be reached
}

// datagram is what one instance sends to another.
type datagram struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Reports []report
}

// known is the newest report of a target.
type known struct {
	load target.Load
	at   time.Time
	down bool
}

// Gossip is one instance's part.
type Gossip struct {
	ListenAddress string
	// Peers returns the addresses of the other instances.
	Peers func() []string
	// OnReport gets each report that is newer than the one known before.
	OnReport func(targetHash uint64, load target.Load, at time.Time, down bool)
	Log      hclog.Logger

	mu      sync.Mutex
	reports map[uint64]known
}

// HashTarget names a target in reports.
func HashTarget(key string) uint64 { return xxhash.Sum64String(key) }

// ReportLoad notes a load that a target reported to this instance.
func (g *Gossip) ReportLoad(key string, load target.Load) {
	g.note(HashTarget(key), known{load: load, at: time.Now()})
}

// ReportDown notes that this instance did not reach a target.
func (g *Gossip) ReportDown(key string) { g.note(HashTarget(key), known{at: time.Now(), down: true}) }

// note takes in a report if it is newer and reports whether it was.
func (g *Gossip) note(id uint64, k known) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reports == nil {
		g.reports = make(map[uint64]known)
	}
	if old, ok := g.reports[id]; ok && !k.at.After(old.at) {
		return false
	}
	g.reports[id] = k
	return true
}

// Run sends and receives until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	if g.ListenAddress == "" {
		return
	}
	conn, err := net.ListenPacket("udp4", g.ListenAddress)
	if err != nil {
		g.Log.Warn("load reports are not exchanged with other instances", "address", g.ListenAddress, "cause", err)
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go g.receive(ctx, conn)
	for clock.Sleep(ctx, clock.Jitter(interval)) {
		g.send(conn)
	}
}

// fresh returns the newest reports and forgets old ones.
func (g *Gossip) fresh(now time.Time) []report {
	g.mu.Lock()
	defer g.mu.Unlock()
	reports := make([]report, 0, len(g.reports))
	for id, k := range g.reports {
		age := now.Sub(k.at)
		if age > maxAge {
			delete(g.reports, id)
			continue
		}
		reports = append(reports, report{
			Target: id, Running: uint32(k.load.Running), Waiting: uint32(k.load.Waiting),
			AgeMS: uint32(age.Milliseconds()), Down: k.down,
		})
	}
	slices.SortFunc(reports, func(a, b report) int { return int(a.AgeMS) - int(b.AgeMS) })
	return reports[:min(len(reports), maxReports)]
}

func (g *Gossip) send(conn net.PacketConn) {
	peers := g.Peers()
	reports := g.fresh(time.Now())
	if len(reports) == 0 || len(peers) == 0 {
		return
	}
	text, err := cbor.Marshal(datagram{Version: version, Reports: reports})
	if err != nil {
		g.Log.Warn("load reports not encoded", "cause", err)
		return
	}
	for n, at := range rand.Perm(len(peers)) {
		if n == fanOut {
			return
		}
		address, err := net.ResolveUDPAddr("udp4", peers[at])
		if err != nil {
			continue
		}
		// A datagram that is not sent is like one that is lost.
		_, _ = conn.WriteTo(text, address)
	}
}

func (g *Gossip) receive(ctx context.Context, conn net.PacketConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			clock.Sleep(ctx, interval) // an error of one datagram, or a socket that is closing
			continue
		}
		g.take(buffer[:n], time.Now())
	}
}

// take takes in a datagram. One that cannot be read is dropped: it is not from
// an instance of this version.
func (g *Gossip) take(text []byte, now time.Time) {
	var d datagram
	if cbor.Unmarshal(text, &d) != nil || d.Version != version {
		return
	}
	for _, r := range d.Reports {
		age := time.Duration(r.AgeMS) * time.Millisecond
		if age > maxAge {
			continue
		}
		k := known{load: target.Load{Running: int(r.Running), Waiting: int(r.Waiting)}, at: now.Add(-age), down: r.Down}
		if g.note(r.Target, k) {
			g.OnReport(r.Target, k.load, k.at, k.down)
		}
	}
}

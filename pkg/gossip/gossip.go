// Package gossip distributes load reports of targets, what is known of superseded
// weights, and notices of other packages between instances. Each instance sends the
// newest ones it has to a few others, chosen at random, in UDP datagrams that may be
// lost and are not authenticated. They need neither order nor acknowledgement:
// load reports only guide placement, and the others are repeated until they are
// old. An instance that gets none falls back to what it has seen itself.
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
	// interval is the time between two rounds of datagrams. With the fan-out, a
	// report reaches a hundred instances in four rounds, within maxAge.
	interval = 200 * time.Millisecond
	// fanOut is the number of instances that receive each round.
	fanOut = 4
	// maxAge is the age above which a report is neither sent nor accepted.
	maxAge = 1200 * time.Millisecond
	// maxReports keeps a datagram at about 1,200 bytes, so that it fits into
	// one packet.
	maxReports = 70
	// maxDatagram bounds the size in bytes of a received datagram.
	maxDatagram = 4 << 10
	// version is the version of the datagram format. Datagrams of other
	// versions are ignored. Notices have a version of their own, so that
	// instances which do not know them still read load reports.
	version       = 1
	noticeVersion = 2
	// deliveryVersion is the version of notices about deliveries.
	deliveryVersion = 8
)

// report is the load of one target as it is sent.
type report struct {
	_       struct{} `cbor:",toarray"`
	Target  uint64   // hash of the target's key
	Running uint32
	Waiting uint32
	AgeMS   uint32
	Down    bool // the target could not be reached
}

// pacedVersion is the version of datagrams with the reports of targets that state their
// pace. Instances that do not know it ignore them.
const pacedVersion = 6

// maxPacedReports keeps a datagram of these, which are longer, within one packet.
const maxPacedReports = 60

// pacedReport is the load of one target that states its pace.
type pacedReport struct {
	_           struct{} `cbor:",toarray"`
	Target      uint64   // hash of the target's key
	Running     uint32
	Waiting     uint32
	AgeMS       uint32
	PacePercent uint32
}

// pacedDatagram carries the reports of targets that state their pace.
type pacedDatagram struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Reports []pacedReport
}

// datagram is the message that one instance sends to another.
type datagram struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Reports []report
}

// noticeDatagram carries one notice.
type noticeDatagram struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Notice  []byte
}

// usageVersion is the version of datagrams about usage. Instances that do not know it
// ignore them. They are sent in one of usageRounds rounds, as usage changes over seconds.
const (
	usageVersion = 9
	usageRounds  = 2
)

// timedReport is the newest report of a target.
type timedReport struct {
	load       target.Load
	observedAt time.Time
	down       bool
}

// Gossip exchanges load reports with other instances. ReportLoad and ReportDown
// may be called concurrently, also while Run runs.
type Gossip struct {
	// ListenAddress is the UDP address, host:port. If it is empty, no reports
	// are exchanged.
	ListenAddress string
	// ListenPacket opens the socket. Nil means net.ListenPacket.
	ListenPacket func(network, address string) (net.PacketConn, error)
	// Peers returns the addresses of the other instances.
	Peers func() []string
	// OnReport is called for each report from another instance that is newer
	// than the known one of its target.
	OnReport func(targetHash uint64, load target.Load, at time.Time, down bool)
	// OnLeaving is called for each target of which another instance says that it
	// leaves. Nil means no call.
	OnLeaving func(targetHash uint64)
	// Supersessions returns the superseded weights up to an age. AsksSupersessions
	// reports whether to ask other instances for theirs, and OnSupersession is called
	// for each one. Nil means none.
	Supersessions     func(maxAge time.Duration) []Supersession
	AsksSupersessions func() bool
	OnSupersession    func(Supersession)
	// StepTimes returns the newest sample of the step time of each target, and OnStepTime
	// is called for each one from another instance. Both may be nil.
	StepTimes  func() []StepTime
	OnStepTime func(StepTime)
	// Clock must be set if AsksSupersessions or Supersessions is.
	Clock clock.Clock
	// Notices returns further messages to send each round, about 1,100 bytes each
	// at most, and OnNotice is called for each one from another instance. Both may
	// be nil.
	Notices  func() [][]byte
	OnNotice func(notice []byte)
	// DeliveryNotices and OnDeliveryNotice are the same for messages about deliveries of
	// software versions.
	DeliveryNotices  func() [][]byte
	OnDeliveryNotice func(notice []byte)
	// GiveUsage returns the part of its usage that this instance gives to each of a number
	// of others, or nil if nothing is to be sent. OnUsage is called for each part that
	// another instance gave. Both may be nil.
	GiveUsage func(receivers int) []byte
	OnUsage   func(usage []byte)
	Log       hclog.Logger

	mu      sync.Mutex
	reports map[uint64]timedReport
	leaving map[uint64]time.Time // since when targets are known to leave
	stepsAt time.Time            // of the last round with step times
}

// HashTarget returns the identifier of a target in reports. key is the key of
// the target.
func HashTarget(key string) uint64 { return xxhash.Sum64String(key) }

// ReportLoad records the load that a target reported to this instance.
func (g *Gossip) ReportLoad(key string, load target.Load) {
	g.recordIfNewer(HashTarget(key), timedReport{load: load, observedAt: time.Now()})
}

// ReportDown records that this instance could not reach a target.
func (g *Gossip) ReportDown(key string) {
	g.recordIfNewer(HashTarget(key), timedReport{observedAt: time.Now(), down: true})
}

// recordIfNewer stores a report unless the stored one is as new, and reports
// whether it did.
func (g *Gossip) recordIfNewer(id uint64, k timedReport) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reports == nil {
		g.reports = make(map[uint64]timedReport)
	}
	if old, ok := g.reports[id]; ok && !k.observedAt.After(old.observedAt) {
		return false
	}
	g.reports[id] = k
	return true
}

// Run exchanges reports until ctx ends. If the address cannot be bound, it logs
// a warning and returns.
func (g *Gossip) Run(ctx context.Context) {
	if g.ListenAddress == "" {
		return
	}
	listenPacket := g.ListenPacket
	if listenPacket == nil {
		listenPacket = net.ListenPacket
	}
	conn, err := listenPacket("udp4", g.ListenAddress)
	if err != nil {
		g.Log.Warn("cannot listen for load reports; none are exchanged with other instances", "address", g.ListenAddress, "cause", err)
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go g.receive(ctx, conn)
	for round := 0; clock.Sleep(ctx, clock.Jitter(interval)); round++ {
		g.send(conn, round%usageRounds == 0)
	}
}

// freshReports returns the newest reports of targets that state no pace, at most
// maxReports, and deletes those older than maxAge.
func (g *Gossip) freshReports(now time.Time) []report {
	g.mu.Lock()
	defer g.mu.Unlock()
	reports := make([]report, 0, len(g.reports))
	for id, k := range g.reports {
		age := now.Sub(k.observedAt)
		if age > maxAge {
			delete(g.reports, id)
			continue
		}
		if k.load.PacePercent > 0 {
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

// freshPacedReports returns the newest reports of targets that state their pace, at most
// maxPacedReports.
func (g *Gossip) freshPacedReports(now time.Time) []pacedReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	var reports []pacedReport
	for id, k := range g.reports {
		age := now.Sub(k.observedAt)
		if age > maxAge || k.load.PacePercent <= 0 {
			continue
		}
		reports = append(reports, pacedReport{
			Target: id, Running: uint32(k.load.Running), Waiting: uint32(k.load.Waiting),
			AgeMS: uint32(age.Milliseconds()), PacePercent: uint32(k.load.PacePercent),
		})
	}
	slices.SortFunc(reports, func(a, b pacedReport) int { return int(a.AgeMS) - int(b.AgeMS) })
	return reports[:min(len(reports), maxPacedReports)]
}

// datagrams returns the encoded datagrams of a round.
func (g *Gossip) datagrams(now time.Time) [][]byte {
	var payloads [][]byte
	add := func(d any) { payloads = append(payloads, g.encode(d)...) }
	if reports := g.freshReports(now); len(reports) > 0 {
		add(datagram{Version: version, Reports: reports})
	}
	if reports := g.freshPacedReports(now); len(reports) > 0 {
		add(pacedDatagram{Version: pacedVersion, Reports: reports})
	}
	if steps := g.dueStepTimes(now); len(steps) > 0 {
		add(stepDatagram{Version: stepVersion, Steps: steps})
	}
	if records := g.leavingRecords(now); len(records) > 0 {
		add(leavingDatagram{Version: leavingVersion, Targets: records})
	}
	if g.AsksSupersessions != nil && g.AsksSupersessions() {
		add(supersessionQuery{Version: supersessionQueryVersion, StampUS: g.Clock.Elapsed().Microseconds()})
	}
	if g.Notices != nil {
		for _, notice := range g.Notices() {
			add(noticeDatagram{Version: noticeVersion, Notice: notice})
		}
	}
	if g.DeliveryNotices != nil {
		for _, notice := range g.DeliveryNotices() {
			add(noticeDatagram{Version: deliveryVersion, Notice: notice})
		}
	}
	return payloads
}

// encode returns an encoded datagram, or none if it cannot be encoded.
func (g *Gossip) encode(d any) [][]byte {
	payload, err := cbor.Marshal(d)
	if err != nil {
		g.Log.Warn("cannot encode a datagram; it is not sent in this round", "cause", err)
		return nil
	}
	return [][]byte{payload}
}

func (g *Gossip) send(conn net.PacketConn, withUsage bool) {
	peers := g.Peers()
	payloads := g.datagrams(time.Now())
	if withUsage && g.GiveUsage != nil && len(peers) > 0 {
		if usage := g.GiveUsage(min(fanOut, len(peers))); usage != nil {
			payloads = append(payloads, g.encode(noticeDatagram{Version: usageVersion, Notice: usage})...)
		}
	}
	if len(payloads) == 0 || len(peers) == 0 {
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
		for _, payload := range payloads {
			// A failed send has the same effect as a lost datagram.
			_, _ = conn.WriteTo(payload, address)
		}
	}
}

func (g *Gossip) receive(ctx context.Context, conn net.PacketConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			clock.Sleep(ctx, interval) // the error concerns one datagram, or the socket is closing
			continue
		}
		answer := func(reply []byte) {
			_, _ = conn.WriteTo(reply, from) // a failed send has the same effect as a lost datagram
		}
		g.handleDatagram(buffer[:n], answer, time.Now())
	}
}

// datagramVersion returns the version of an encoded datagram, which is an array that
// begins with it, or zero.
func datagramVersion(payload []byte) int {
	const arrayHead, maxSmall = 0x80, 23 // CBOR: major type 4, and integers in one byte
	if len(payload) < 2 || payload[0] < arrayHead || payload[0] > arrayHead+maxSmall || payload[1] > maxSmall {
		return 0
	}
	return int(payload[1])
}

// handleDatagram handles a datagram by its version. answer sends a datagram to the
// sender. A datagram that cannot be decoded or has another version is dropped.
func (g *Gossip) handleDatagram(payload []byte, answer func([]byte), now time.Time) {
	switch datagramVersion(payload) {
	case version:
		var d datagram
		if cbor.Unmarshal(payload, &d) == nil {
			g.handleReports(d, now)
		}
	case noticeVersion:
		var n noticeDatagram
		if g.OnNotice != nil && cbor.Unmarshal(payload, &n) == nil {
			g.OnNotice(n.Notice)
		}
	case deliveryVersion:
		var n noticeDatagram
		if g.OnDeliveryNotice != nil && cbor.Unmarshal(payload, &n) == nil {
			g.OnDeliveryNotice(n.Notice)
		}
	case usageVersion:
		var n noticeDatagram
		if g.OnUsage != nil && cbor.Unmarshal(payload, &n) == nil {
			g.OnUsage(n.Notice)
		}
	case supersessionQueryVersion, supersessionReplyVersion:
		g.handleSupersessions(payload, answer)
	case pacedVersion:
		var d pacedDatagram
		if cbor.Unmarshal(payload, &d) == nil {
			g.handlePaced(d, now)
		}
	case stepVersion:
		var d stepDatagram
		if cbor.Unmarshal(payload, &d) == nil {
			g.handleStepTimes(d, now)
		}
	case leavingVersion:
		var d leavingDatagram
		if cbor.Unmarshal(payload, &d) == nil {
			g.handleLeaving(d, now)
		}
	}
}

// handleReports records load reports and passes the newer ones to OnReport.
func (g *Gossip) handleReports(d datagram, now time.Time) {
	for _, r := range d.Reports {
		g.handleReport(r.Target, target.Load{Running: int(r.Running), Waiting: int(r.Waiting)}, r.AgeMS, r.Down, now)
	}
}

// handlePaced does the same for reports of targets that state their pace.
func (g *Gossip) handlePaced(d pacedDatagram, now time.Time) {
	for _, r := range d.Reports {
		g.handleReport(r.Target, target.Load{Running: int(r.Running), Waiting: int(r.Waiting), PacePercent: int(r.PacePercent)}, r.AgeMS, false, now)
	}
}

func (g *Gossip) handleReport(id uint64, load target.Load, ageMS uint32, down bool, now time.Time) {
	age := time.Duration(ageMS) * time.Millisecond
	if age > maxAge {
		return
	}
	k := timedReport{load: load, observedAt: now.Add(-age), down: down}
	if g.recordIfNewer(id, k) {
		g.OnReport(id, k.load, k.observedAt, k.down)
	}
}

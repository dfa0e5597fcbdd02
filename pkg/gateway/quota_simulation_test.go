package gateway

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/quota"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

const (
	simSeed          = 20261204
	simInstanceCount = 8
	simLease         = 6 * time.Minute
	simDuration      = 42 * time.Minute
	simStep          = 10 * time.Millisecond
	simMessageLoss   = 0.005 // of messages between instances
	longOutagePhase  = 7     // index in phases: the leases have expired
	messageOverhead  = 6     // bytes of the envelope [version, type, body] around the body
)

// phases are the minutes at which the phases begin: warm-up, steady, crashes and
// pauses, steady, restart of all instances, rolling restart, platform outage shorter
// than the lease, platform outage beyond the lease, recovery.
var phases = [...]float64{0, 2, 7, 20, 22, 25, 28, 31.5, 38}

// schemes are the ways to divide a limit that are compared: shares with loans (the
// product), an equal part per instance, and one owning instance per organisation.
var schemes = [...]string{"shares", "fixed split", "one owner"}

var errUnreachable = &objectstore.Error{Kind: objectstore.KindUnavailable, Call: "call", Cause: context.DeadlineExceeded}

type simInstance struct {
	limit        *RateLimit
	ledger       *quota.Ledger
	lease        *control.QuotaLeaseController
	level        *control.QuotaRebalancer
	down, paused bool
	fixed, owned *quota.Ledger // of the schemes "fixed split" and "one owner"
}

// simFleet simulates the platform, the network and the instances on a fake clock.
type simFleet struct {
	*standin.Store
	clock           *clock.Fake
	trace, network  *rand.Rand
	nodes           [simInstanceCount]*simInstance
	orgs            []tables.Organisation
	limits          []quota.Limit
	queue           [simDuration / simStep][]func()
	outage          bool
	starts, reads   int
	messages, bytes int
	ideal           *quota.Ledger
	tallies         [len(schemes)][5]tally // by scheme and organisation
	offered         [5]int
}

// tally counts the requests of one organisation under one scheme.
type tally struct {
	spent, overshoot float64              // tokens spent less refills since; its largest excess over the burst
	last             time.Duration        // time of the last admitted request
	refused          [len(phases)]int     // requests that only the ideal bucket admits, by phase
	tokens, ideal    [len(phases)]float64 // tokens used under the scheme and with the ideal bucket, by phase
}

// List fails during an outage. Writes need not fail, because none is tried without
// a list.
func (f *simFleet) List(ctx context.Context, kind string) ([]objectstore.Object, uint64, error) {
	f.reads++
	if f.outage {
		return nil, 0, errUnreachable
	}
	return f.Store.List(ctx, kind)
}

func (f *simFleet) Instances(context.Context) ([]objectstore.Instance, error) {
	f.reads++
	var rows []objectstore.Instance
	for i := range f.nodes {
		rows = append(rows, objectstore.Instance{ID: fmt.Sprint(i), Role: objectstore.RoleRouter})
	}
	return rows, nil
}

func (f *simFleet) Probe(_ context.Context, address string) (string, bool) {
	if n := f.nodes[address[0]-'0']; n.down || n.paused {
		return "", n.down
	}
	return f.nodes[address[0]-'0'].lease.Self.Incarnation, false
}

// deliver counts a message to or from an instance and reports whether it arrives.
func (f *simFleet) deliver(n *simInstance, message any) bool {
	data, err := cbor.Marshal(message)
	f.messages++
	f.bytes += len(data) + messageOverhead
	return err == nil && !n.down && !n.paused && f.network.Float64() >= simMessageLoss
}

func (f *simFleet) Request(_ context.Context, address string, request quota.Request) (quota.Grant, error) {
	n := f.nodes[address[0]-'0']
	if !f.deliver(n, request) {
		return quota.Grant{}, errUnreachable
	}
	if grant := n.ledger.HandleRequest(request, f.clock.Elapsed()); f.deliver(n, grant) {
		return grant, nil
	}
	return quota.Grant{}, errUnreachable
}

func (f *simFleet) Return(_ context.Context, address string, ret quota.Return) error {
	if n := f.nodes[address[0]-'0']; f.deliver(n, ret) {
		n.ledger.HandleReturn(ret, f.clock.Elapsed())
	}
	return nil
}

// bucket returns a ledger that holds one of the given number of shares for ever.
func (f *simFleet) bucket(shares int) *quota.Ledger {
	l := quota.NewLedger()
	l.Configure(1, shares, f.limits, f.clock.Elapsed())
	tokens := l.BurstPerShare()
	if f.clock.Elapsed() > 0 {
		clear(tokens) // a restarted instance starts without tokens
	}
	l.ApplyLease(quota.Lease{Fence: 1, ExpiresAt: math.MaxInt64}, tokens, f.clock.Elapsed())
	return l
}

// start starts or restarts an instance.
func (f *simFleet) start(i int) {
	f.starts++
	n := &simInstance{ledger: quota.NewLedger(), fixed: f.bucket(simInstanceCount), owned: f.bucket(1)}
	n.ledger.Configure(1, 16, f.limits, f.clock.Elapsed())
	n.lease = &control.QuotaLeaseController{Store: f, List: f, Prober: f, Ledger: n.ledger, Clock: f.clock, Log: hclog.NewNullLogger(),
		Self: control.InstanceIdentity{ID: fmt.Sprint(i), Incarnation: fmt.Sprint(f.starts), Address: fmt.Sprint(i)}, LeaseDuration: simLease}
	n.limit = NewRateLimit(n.ledger, f.clock, n.lease, f)
	n.limit.runAsync = func(run func()) { run() }
	n.level = &control.QuotaRebalancer{Ledger: n.ledger, Clock: f.clock, HolderSource: n.lease, Transfer: f}
	f.nodes[i] = n
	_ = n.lease.Reconcile(context.Background())
}

// after schedules run on the fake clock.
func (f *simFleet) after(wait time.Duration, run func()) {
	slot := int((f.clock.Elapsed() + max(wait, simStep)) / simStep)
	if slot < len(f.queue) {
		f.queue[slot] = append(f.queue[slot], run)
	}
}

// every calls run repeatedly with jitter while the instance is up.
func (f *simFleet) every(i int, interval time.Duration, run func(*simInstance)) {
	f.after(time.Duration(f.network.Int64N(int64(interval)))+interval/2, func() {
		if n := f.nodes[i]; !n.down && !n.paused {
			run(n)
		}
		f.every(i, interval, run)
	})
}

// arrivals schedules the requests of an organisation as a Poisson process.
func (f *simFleet) arrivals(o int, perSecond float64) {
	f.after(time.Duration(f.trace.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if o > 0 || int(f.clock.Elapsed().Minutes())%2 == 0 { // org0 pauses every other minute, so that its burst refills
			f.arrive(o)
		}
		f.arrivals(o, perSecond)
	})
}

// arrive sends the same request under all schemes.
func (f *simFleet) arrive(o int) {
	org, now := f.orgs[o], f.clock.Elapsed()
	// Instances get uneven, changing parts of the load: the busiest over a third.
	i := (int(math.Pow(f.trace.Float64(), 2.5)*simInstanceCount) + o*3 + int(now/(4*time.Minute))) % simInstanceCount
	cost := 100 + f.trace.IntN(900)
	used := math.Ceil(float64(cost) * (0.3 + 0.7*f.trace.Float64()))
	length := time.Duration((0.5 + 8*f.trace.Float64()) * float64(time.Second))
	for skipped := 0; f.nodes[i].down && skipped < simInstanceCount; skipped++ {
		i = (i + 1) % simInstanceCount // the load balancer skips it
	}
	n := f.nodes[i]
	if n.down || n.paused {
		return // the request fails under all schemes
	}
	f.offered[o]++
	reserve := func(l *quota.Ledger) bool {
		r := l.Reserve(org.Name, float64(cost), now)
		ok := r.Commit(now)
		if !ok {
			r.Abort(now)
		}
		f.after(length, func() { r.Settle(float64(cost)-used, f.clock.Elapsed()) })
		return ok
	}
	inside, owner := reserve(f.ideal), f.nodes[o]
	r, _ := n.limit.Reserve(context.Background(), &org, int64(cost))
	f.after(length, func() {
		if r != nil && !n.down {
			n.limit.Settle(r, int64(cost)-int64(used))
		}
	})
	admitted := []bool{r != nil, reserve(n.fixed), !owner.down && !owner.paused && reserve(owner.owned)}
	for s, ok := range admitted {
		f.tallies[s][o].count(org, now, used, ok, inside)
	}
}

// count counts a request. The maximum of spent minus burst equals the largest
// excess of any time window over burst plus rate times its length.
func (t *tally) count(org tables.Organisation, now time.Duration, used float64, ok, inside bool) {
	phase := sort.SearchFloat64s(phases[:], now.Minutes()) - 1
	if inside {
		t.ideal[phase] += used
	}
	if inside && !ok {
		t.refused[phase]++
	}
	if ok {
		t.tokens[phase] += used
		t.spent = max(0, t.spent-org.Rate*(now-t.last).Seconds()) + used
		t.last, t.overshoot = now, max(t.overshoot, t.spent-org.Burst)
	}
}

// In one run with crashes, pauses, restarts, lost messages and platform outages, no
// organisation may spend more than its burst and rate allow. The test also logs
// the refusals within the rate and the traffic between instances and to the
// platform.
func TestQuotaSimulation(t *testing.T) {
	f := &simFleet{Store: standin.NewStore(), clock: clock.NewFake(time.Unix(0, 0)),
		trace: rand.New(rand.NewPCG(simSeed, 1)), network: rand.New(rand.NewPCG(simSeed, 2))}
	load := []float64{6, 0.9, 0.7, 0.8, 0.6} // tokens used as a fraction of the rate
	for i, rate := range []float64{2000, 1000, 1000, 500, 250} {
		f.orgs = append(f.orgs, tables.Organisation{Name: fmt.Sprint("org", i), Rate: rate, Burst: 20 * rate})
		f.limits = append(f.limits, quota.Limit{Organisation: f.orgs[i].Name, Rate: rate, Burst: 20 * rate})
	}
	f.ideal = f.bucket(1)
	span := func(from, length time.Duration, begin, end func()) {
		f.after(from, begin)
		f.after(from+length, end)
	}
	restart := func(i int, when, down time.Duration) {
		span(when, down, func() { f.nodes[i].down = true }, func() { f.start(i) })
	}
	for i := range simInstanceCount {
		f.start(i)
		f.every(i, 5*time.Second, func(n *simInstance) { _ = n.lease.Reconcile(context.Background()) })
		f.every(i, 250*time.Millisecond, func(n *simInstance) {
			if holders := n.lease.HolderAddresses(); len(holders) > 0 {
				n.level.RequestSurplus(context.Background(), holders[f.network.IntN(len(holders))])
			}
		})
		restart(i, 22*time.Minute, 5*time.Second)
		planned := 25*time.Minute + time.Duration(i)*20*time.Second
		f.after(planned, func() { _ = f.nodes[i].lease.HandBack(context.Background()) })
		restart(i, planned, 5*time.Second)
	}
	restart(1, 7*time.Minute, 30*time.Second)
	restart(4, 8*time.Minute, 2*time.Second)
	span(9*time.Minute, 30*time.Second, func() { f.nodes[2].paused = true }, func() { f.nodes[2].paused = false })
	span(10*time.Minute, 10*time.Minute, func() { f.nodes[3].paused = true }, func() { f.nodes[3].paused = false })
	span(28*time.Minute, 10*time.Minute, func() { f.outage = true }, func() { f.outage = false })
	for o, org := range f.orgs {
		f.arrivals(o, org.Rate*load[o]/(550*0.65)) // mean cost and mean used fraction of it
	}
	for slot := range f.queue {
		for k := 0; k < len(f.queue[slot]); k++ {
			f.queue[slot][k]()
		}
		f.clock.Advance(simStep)
	}
	_, writes, _ := f.Store.List(context.Background(), control.KindQuotaShare)
	seconds := simDuration.Seconds()
	t.Logf("seed %d; platform: %.2f calls/s, %.3f writes/s that took effect; instances: %.0f messages/s, %.0f bytes/s in the fleet, %.0f for each",
		simSeed, float64(uint64(f.reads)+writes)/seconds, float64(writes)/seconds, float64(f.messages)/seconds, float64(f.bytes)/seconds, float64(f.bytes)/seconds/simInstanceCount)
	for k, scheme := range schemes {
		worst, worstPart := "", -1.0
		for o, org := range f.orgs {
			s := &f.tallies[k][o]
			total, ratios := -s.refused[longOutagePhase], [len(phases)]float64{}
			for p, n := range s.refused {
				total += n
				ratios[p] = s.tokens[p] / s.ideal[p]
			}
			t.Logf("%-11s %s offered %5d, refused inside rate %v, tokens against ideal %.2f, overshoot %g",
				scheme, org.Name, f.offered[o], s.refused, ratios, s.overshoot)
			if part := float64(total) / float64(f.offered[o]); o > 0 && part > worstPart {
				worst, worstPart = org.Name, part
			}
			if scheme == "shares" && s.overshoot > 1e-6 {
				t.Errorf("%s spent %g tokens more than burst and rate allow", org.Name, s.overshoot)
			}
		}
		t.Logf("%-11s worst organisation that keeps to its rate, without the outage over the lease: %s, %.2f%% refused", scheme, worst, 100*worstPart)
	}
}

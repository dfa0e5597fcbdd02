package relay

import (
	"fmt"
	"testing"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/admission"
	"lacewingwheel.example/lacewingwheel/pkg/placement"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// A decision with 240 targets and 1,000 waiting requests takes under 50 us, without the
// choice of the target.
func BenchmarkAdmissionDecision(b *testing.B) {
	now := time.Now()
	f := &ForwardFilter{
		Placer: placement.New(placement.DefaultParams(), "a"), InstanceCount: func() int { return 300 },
		Admission: &Admission{Expected: true, MaxWaiting: 1000, Usage: admission.NewUsage()},
	}
	targets := make([]*target.Target, 240)
	for n := range targets {
		targets[n] = &target.Target{ID: fmt.Sprint("t-", n), Slots: 16, IsEngine: true, Live: &target.LiveState{}}
		targets[n].Live.RecordLoad(target.Load{Running: 12, Waiting: 4, PacePercent: 100}, now)
	}
	g := f.Admission.gate("pool")
	rank := admission.Rank{Urgency: 1}
	var entry *admission.Entry
	for n := range 1000 {
		c := admission.Caller{Kind: fmt.Sprint("kind-", n%4), Rank: rank, Arrived: now.Add(time.Duration(n)), DueAt: now.Add(time.Hour), LeavesAt: now.Add(2 * time.Hour)}
		entry, _ = g.offer(c, admission.PoolLoad{}, now)
	}
	for b.Loop() {
		g.check(entry, rank, f.poolLoad(rank, targets, now), now)
	}
}

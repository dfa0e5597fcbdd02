package choice

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingwheel.example/lacewingwheel/pkg/prefix"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// targetState is what a chooser tracks about a target between snapshots.
type targetState struct {
	incarnation  string
	breaker      breaker
	freshSince   time.Time // start of slow start; zero if the target never was in it
	queuedTokens float64   // reported, smoothed
	syncedAt     time.Time // last update of queuedTokens
	listed       bool      // in the current snapshot; used by Sync only
}

// targetLoad is the part of a target's state that every choice reads for every
// target. It is kept separate and small so that it stays in the CPU cache.
type targetLoad struct {
	busyUntil     int64 // expected end of the reported prefill work, in Unix nanoseconds
	otherRequests int32 // of other instances, at the last report
	restricted    bool  // the circuit is not closed, or the target is in slow start
}

// candidate is a target of a view.
type candidate struct {
	live     *target.LiveState
	hash     uint64 // of the target ID
	slot     prefix.Slot
	zoneCost float32 // in nanoseconds
}

// View holds the targets of a snapshot that can serve the requests of a pool.
// It is made once for each snapshot, so that a choice allocates nothing per
// target. It is valid until the next Sync.
type View struct {
	targets    []*target.Target
	candidates []candidate // in the order of targets
	bySlot     []int32     // index into candidates by slot, or -1
	running    int         // requests on all targets as of the last choice
}

// Len returns the number of targets.
func (v *View) Len() int { return len(v.candidates) }

// Sync updates the state of all targets from a new snapshot, and removes the
// state of targets that are gone. It must be called before NewView.
func (c *Chooser) Sync(set *target.Set, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for slot := range c.states {
		c.states[slot].listed = false
	}
	for _, t := range set.Targets {
		c.syncTarget(t, now)
	}
	for id, slot := range c.slots {
		if !c.states[slot].listed {
			c.index.Remove(id)
			c.states[slot], c.loads[slot] = targetState{}, targetLoad{}
			delete(c.slots, id)
		}
	}
	c.synced = c.synced || len(set.Targets) > 0
}

// syncTarget updates the state of a target, creating it if needed.
func (c *Chooser) syncTarget(t *target.Target, now time.Time) {
	slot := c.index.Register(t)
	for int(slot) >= len(c.states) {
		c.states, c.loads = append(c.states, targetState{}), append(c.loads, targetLoad{})
	}
	s, load := &c.states[slot], &c.loads[slot]
	_, known := c.slots[t.ID]
	c.slots[t.ID] = slot
	// After a start of this instance all targets are new to it, which does not
	// mean that their caches are empty.
	fresh := c.synced && !known || known && s.incarnation != t.Incarnation && s.incarnation != ""
	if fresh {
		*s, *load = targetState{freshSince: now}, targetLoad{restricted: true}
	}
	s.incarnation, s.listed = t.Incarnation, true
	load.otherRequests = max(0, int32(t.Load.Running+t.Load.Waiting)-int32(t.Live.InFlight.Load()))
	weight := -math.Expm1(-float64(now.Sub(s.syncedAt)) / float64(c.params.LoadSmoothing))
	s.queuedTokens += weight * (float64(t.Load.QueuedTokens) - s.queuedTokens)
	s.syncedAt = now
	load.busyUntil = now.UnixNano() + int64(s.queuedTokens*float64(c.params.PrefillPerToken))
}

// NewView returns a view of the targets for which usable returns true. The set
// must be the last one passed to Sync.
func (c *Chooser) NewView(set *target.Set, usable func(*target.Target) bool) *View {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := &View{bySlot: make([]int32, len(c.states))}
	for i := range v.bySlot {
		v.bySlot[i] = -1
	}
	for _, t := range set.Targets {
		slot, ok := c.slots[t.ID]
		if !ok || !usable(t) {
			continue
		}
		v.bySlot[slot] = int32(len(v.candidates))
		cand := candidate{live: t.Live, slot: slot, hash: xxhash.Sum64String(t.ID)}
		if t.Zone != c.zone {
			cand.zoneCost = float32(c.params.ZoneCost)
		}
		v.candidates = append(v.candidates, cand)
		v.targets = append(v.targets, t)
		v.running += int(t.Live.InFlight.Load()) + int(c.loads[slot].otherRequests)
	}
	return v
}

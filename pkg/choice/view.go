package choice

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingwheel.example/lacewingwheel/pkg/prefix"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// state is what a chooser remembers of a target between snapshots.
type state struct {
	incarnation string
	breaker     breaker
	freshSince  time.Time // start of slow start; zero if there is none
	queued      float64   // reported tokens, smoothed
	readAt      time.Time // of the last report
	listed      bool      // scratch of Sync
}

// work is the part of a target's state that every choice reads for every
// target, kept apart and small so that it stays in the processor's cache.
type work struct {
	busyUntil int64 // when the reported prefill work should be done, unix nanoseconds
	others    int32 // requests of other instances at the last report
	special   bool  // the circuit is not closed, or the target is in slow start
}

type candidate struct {
	live *target.LiveState
	hash uint64
	slot prefix.Slot
	zone float32 // cost of the zone distance, in nanoseconds
}

// View is the part of a target set that can take the requests of a pool. It is
// made once for each set, so that a choice allocates nothing per target. It is
// valid until the next Sync.
type View struct {
	targets    []*target.Target
	candidates []candidate // in the order of targets
	bySlot     []int32     // index into candidates, or -1
	running    int         // requests on all targets at the last choice
}

// Len returns the number of targets.
func (v *View) Len() int { return len(v.candidates) }

// Sync takes in a new snapshot of the targets. It must be called before NewView.
func (c *Chooser) Sync(set *target.Set, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for slot := range c.states {
		c.states[slot].listed = false
	}
	for _, t := range set.Targets {
		c.sync(t, now)
	}
	for id, slot := range c.slots {
		if !c.states[slot].listed {
			c.index.Remove(id)
			c.states[slot], c.work[slot] = state{}, work{}
			delete(c.slots, id)
		}
	}
	c.synced = c.synced || len(set.Targets) > 0
}

func (c *Chooser) sync(t *target.Target, now time.Time) {
	slot := c.index.Register(t)
	for int(slot) >= len(c.states) {
		c.states, c.work = append(c.states, state{}), append(c.work, work{})
	}
	s, w := &c.states[slot], &c.work[slot]
	_, known := c.slots[t.ID]
	c.slots[t.ID] = slot
	// A router that has just started knows no target; that does not make the
	// targets fresh.
	fresh := c.synced && !known || known && s.incarnation != t.Incarnation && s.incarnation != ""
	if fresh {
		*s, *w = state{freshSince: now}, work{special: true}
	}
	s.incarnation, s.listed = t.Incarnation, true
	w.others = max(0, int32(t.Load.Running+t.Load.Waiting)-int32(t.Live.InFlight.Load()))
	weight := -math.Expm1(-float64(now.Sub(s.readAt)) / float64(c.params.LoadSmoothing))
	s.queued += weight * (float64(t.Load.QueuedTokens) - s.queued)
	s.readAt = now
	w.busyUntil = now.UnixNano() + int64(s.queued*float64(c.params.PrefillPerToken))
}

// NewView selects the targets of a pool from a set that was passed to Sync.
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
			cand.zone = float32(c.params.ZoneCost)
		}
		v.candidates = append(v.candidates, cand)
		v.targets = append(v.targets, t)
		v.running += int(t.Live.InFlight.Load()) + int(c.work[slot].others)
	}
	return v
}

package delivery

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// holdTime is how long a version without an order gets no requests after it appears: its
// order may be on its way through another watch. Views are a second old at most while the
// store answers.
const holdTime = 5 * time.Second

// forgetTime is how long a version must be without listed targets to be new again. Entries
// that lapse during an outage of the store are back sooner.
const forgetTime = time.Minute

// minLeftShare is the part of a pool's targets that must be left for others to be held. The
// targets of an order are about as many as those that they replace.
const minLeftShare = 0.25

// versions tells which versions of a pool may be used without an order.
type versions struct {
	accepted  map[string]bool
	heldSince map[string]time.Duration // versions that are not accepted yet
	// blocked are versions that were rolled back, or whose order was withdrawn or replaced.
	blocked map[string]bool
	// listedAt is when a target of a version was last listed.
	listedAt map[string]time.Duration
}

func newVersions() versions {
	return versions{accepted: make(map[string]bool), heldSince: make(map[string]time.Duration), blocked: make(map[string]bool), listedAt: make(map[string]time.Duration)}
}

// update accepts the version of most targets at the first call, and later ones when they
// have been held for holdTime. Targets that state no version are always accepted.
func (v *versions) update(targets []*target.Target, now time.Duration) {
	counts := make(map[string]int)
	for _, t := range targets {
		counts[t.Version]++
	}
	if len(v.accepted) == 0 && len(counts) > 0 {
		v.accepted[mostFrequent(counts)] = true
	}
	v.forgetUnlisted(counts, now)
	for version := range counts {
		since, isHeld := v.heldSince[version]
		switch {
		case v.accepted[version], v.blocked[version]:
		case !isHeld:
			v.heldSince[version] = now
		case now-since >= holdTime:
			v.accepted[version] = true
			delete(v.heldSince, version)
		}
	}
}

// forgetUnlisted forgets what is known of versions that have had no target for forgetTime.
// Another release may bring them back.
func (v *versions) forgetUnlisted(counts map[string]int, now time.Duration) {
	for version := range counts {
		v.listedAt[version] = now
	}
	for version := range v.blocked {
		if _, known := v.listedAt[version]; !known {
			v.listedAt[version] = now
		}
	}
	for version, at := range v.listedAt {
		if now-at > forgetTime {
			delete(v.listedAt, version)
			delete(v.blocked, version)
			delete(v.heldSince, version)
		}
	}
}

func mostFrequent(counts map[string]int) string {
	best := ""
	for version, n := range counts {
		if best == "" || n > counts[best] || n == counts[best] && version < best {
			best = version
		}
	}
	return best
}

// isOnlyAccepted reports whether a version is the only one that is in use.
func (v *versions) isOnlyAccepted(version string) bool {
	return len(v.accepted) == 1 && v.accepted[version]
}

// usable returns the targets that may be used without an order, never blocked ones. If too
// few are left without those that are held back, it returns these as well.
func (v *versions) usable(targets []*target.Target) []*target.Target {
	var out, unblocked []*target.Target
	usable, usableUnblocked := 0, 0
	for _, t := range targets {
		if v.blocked[t.Version] {
			continue
		}
		unblocked = append(unblocked, t)
		isCounted := isUsable(t)
		if isCounted {
			usableUnblocked++
		}
		if v.accepted[t.Version] || t.Version == "" {
			out = append(out, t)
			if isCounted {
				usable++
			}
		}
	}
	switch {
	case len(out) == len(targets):
		return targets
	case float64(usable) < minLeftShare*float64(usableUnblocked):
		return unblocked
	}
	return out
}

// accept makes a version the only accepted one and blocks those of the given targets.
func (v *versions) accept(version string, others []*target.Target) {
	*v = newVersions()
	v.accepted[version] = true
	for _, t := range others {
		v.blocked[t.Version] = true
	}
}

// block takes a version out of use until another order for it.
func (v *versions) block(version string) {
	v.blocked[version] = true
	delete(v.accepted, version)
	delete(v.heldSince, version)
}

// split are the targets of a pool during a delivery.
type split struct {
	old, new []*target.Target
	// trial are the targets of the new version that the trial uses.
	trial []*target.Target
}

// split divides targets by whether they have the version of an order.
func (v *versions) split(targets []*target.Target, order Order, share float64, now time.Duration) split {
	var s split
	for _, t := range targets {
		if t.Version == order.Version {
			s.new = append(s.new, t)
		} else {
			s.old = append(s.old, t)
		}
	}
	v.update(s.old, now)
	s.old = v.usable(s.old)
	s.trial = chooseTrialTargets(s.new, trialTargetCount(share, countUsable(s.old), countUsable(s.new)))
	return s
}

// chooseTrialTargets returns the first targets in the order of a hash, which is the same
// on all instances, without those that leave or are still slow after their start.
func chooseTrialTargets(targets []*target.Target, count int) []*target.Target {
	type ranked struct {
		target *target.Target
		hash   uint64
	}
	var order []ranked
	for _, t := range targets {
		if isUsable(t) && !t.WarmingUp {
			order = append(order, ranked{t, xxhash.Sum64String(t.ID)})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	var chosen []*target.Target
	for _, r := range order[:min(count, len(order))] {
		chosen = append(chosen, r.target)
	}
	return chosen
}

func isUsable(t *target.Target) bool { return !t.Leaving && t.MissingSince == 0 }

func countUsable(targets []*target.Target) int {
	n := 0
	for _, t := range targets {
		if isUsable(t) {
			n++
		}
	}
	return n
}

// unitHash maps the key of a request to [0, 1), apart from the hashes that placement uses.
func unitHash(key string) float64 {
	h := xxhash.Sum64String("delivery " + key)
	return float64(h>>11) / math.Exp2(53)
}

package claim

import (
	"encoding/binary"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func numbered(n int) Digest {
	var d Digest
	binary.BigEndian.PutUint64(d[:], uint64(n))
	return d
}

// Guards against quarantine after one crash that several copies have seen or
// after crashes far apart, and against none after two crashes.
func TestPoisonCountsCrashes(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	type seen struct {
		target, incarnation string
		after               time.Duration
	}
	for _, tc := range []struct {
		name string
		seen []seen
		want bool
	}{
		{"one crash", []seen{{"a", "1", 0}}, false},
		{"one crash seen twice", []seen{{"a", "1", 0}, {"a", "1", time.Second}}, false},
		{"two targets", []seen{{"a", "1", 0}, {"b", "1", 0}}, true},
		{"one target twice", []seen{{"a", "1", 0}, {"a", "2", time.Second}}, true},
		{"one service twice", []seen{{"a", "", 0}, {"a", "", sameCrashWindow}}, true},
		{"far apart", []seen{{"a", "1", 0}, {"b", "1", suspectTime}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := NewPoisonDetector()
			notices := 0
			p.OnQuarantine = func(request Digest, expiry time.Time) {
				notices++
				assert.Equal(t, request, numbered(1))
			}
			now := start
			for _, s := range tc.seen {
				now = start.Add(s.after)
				p.RecordCrash(numbered(1), s.target, s.incarnation, now)
			}
			_, held := p.QuarantinedUntil(numbered(1), now)
			assert.Equal(t, held, tc.want)
			assert.Equal(t, notices == 1, tc.want)
			_, held = p.QuarantinedUntil(numbered(2), now)
			assert.Assert(t, !held)
			_, held = p.QuarantinedUntil(numbered(1), now.Add(QuarantineDuration))
			assert.Assert(t, !held)
			assert.Assert(t, p.IsQuarantineEmpty())
		})
	}
}

// Guards against a quarantine without end after a notice from an instance whose
// clock is ahead.
func TestPoisonNoticeIsBounded(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := NewPoisonDetector()
	p.AddQuarantine(numbered(1), now.Add(24*time.Hour))
	expiry, held := p.QuarantinedUntil(numbered(1), now)
	assert.Assert(t, held)
	assert.Equal(t, expiry, now.Add(QuarantineDuration))
}

// Guards against memory that grows with the number of digests.
func TestPoisonMemoryIsBounded(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := NewPoisonDetector()
	for i := range maxPoison + 100 {
		p.RecordCrash(numbered(i), "a", "1", now.Add(time.Duration(i)))
		p.AddQuarantine(numbered(i), now.Add(time.Minute+time.Duration(i)))
	}
	assert.Equal(t, len(p.suspects), maxPoison)
	assert.Equal(t, len(p.quarantined), maxPoison)
	_, held := p.QuarantinedUntil(numbered(maxPoison+99), now)
	assert.Assert(t, held, "the newest digest was dropped")
}

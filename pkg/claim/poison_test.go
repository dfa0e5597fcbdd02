package claim

import (
	"encoding/binary"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func digestOf(n int) Digest {
	var d Digest
	binary.BigEndian.PutUint64(d[:], uint64(n))
	return d
}

// If one crash counts twice because several copies of a request saw it, or
// unrelated crashes far apart add up, callers are refused although their request
// is harmless. If two crashes are not counted, the request goes on to crash
// further targets.
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
		{"one crash on each of two targets", []seen{{"a", "1", 0}, {"b", "1", 0}}, true},
		{"two incarnations of one target", []seen{{"a", "1", 0}, {"a", "2", time.Second}}, true},
		{"two crashes of one service", []seen{{"a", "", 0}, {"a", "", sameCrashWindow}}, true},
		{"two crashes far apart", []seen{{"a", "1", 0}, {"b", "1", suspectWindow}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := NewPoisonDetector()
			notices := 0
			p.OnQuarantine = func(request Digest, expiry time.Time) {
				notices++
				assert.Equal(t, request, digestOf(1))
			}
			now := start
			for _, s := range tc.seen {
				now = start.Add(s.after)
				p.RecordCrash(digestOf(1), s.target, s.incarnation, now)
			}
			_, held := p.QuarantinedUntil(digestOf(1), now)
			assert.Equal(t, held, tc.want)
			assert.Equal(t, notices == 1, tc.want)
			_, held = p.QuarantinedUntil(digestOf(2), now)
			assert.Assert(t, !held)
			_, held = p.QuarantinedUntil(digestOf(1), now.Add(QuarantineDuration))
			assert.Assert(t, !held)
			assert.Assert(t, p.IsQuarantineEmpty())
		})
	}
}

// A notice from an instance whose clock is ahead must not quarantine a request
// for longer than QuarantineDuration.
func TestPoisonNoticeIsBounded(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := NewPoisonDetector()
	p.AddQuarantine(digestOf(1), now.Add(24*time.Hour))
	expiry, held := p.QuarantinedUntil(digestOf(1), now)
	assert.Assert(t, held)
	assert.Equal(t, expiry, now.Add(QuarantineDuration))
}

// Many different crashing requests must not exhaust the memory. The newest must
// still be quarantined when older ones are evicted.
func TestPoisonMemoryIsBounded(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := NewPoisonDetector()
	for i := range maxDigests + 100 {
		p.RecordCrash(digestOf(i), "a", "1", now.Add(time.Duration(i)))
		p.AddQuarantine(digestOf(i), now.Add(time.Minute+time.Duration(i)))
	}
	assert.Equal(t, len(p.suspects), maxDigests)
	assert.Equal(t, len(p.quarantined), maxDigests)
	_, held := p.QuarantinedUntil(digestOf(maxDigests+99), now)
	assert.Assert(t, held, "the newest request is not quarantined")
}

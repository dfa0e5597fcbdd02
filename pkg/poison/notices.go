package poison

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxNoticeBytes keeps a notice in one packet.
	maxNoticeBytes = 1100
	// maxNotices bounds the notices of one round.
	maxNotices = 4
	// maxNoticedQuarantines bounds the quarantines of one round, which are repeated
	// for as long as they last.
	maxNoticedQuarantines = 16
	// fixedBytes is the encoded size of an entry without its fingerprints, and
	// fingerprintBytes the size that a fingerprint adds to its text.
	fixedBytes       = 36
	fingerprintBytes = 2
	// minRemaining is the least rest of a quarantine that is taken over.
	minRemaining = 3 * time.Second
)

// Times are sent as ages in microseconds, because instances have different clocks.
type wireCrash struct {
	_            struct{} `cbor:",toarray"`
	ID           uint64
	Fingerprints []Fingerprint
	Target       uint64
	SentAgeUS    int64
	AgeUS        int64
}

type wireSuccess struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	SentAgeUS   int64
}

type wireQuarantine struct {
	_              struct{} `cbor:",toarray"`
	Fingerprint    Fingerprint
	Crashes        int
	LastCrashAgeUS int64
	RemainingMS    int64
}

type notice struct {
	_           struct{} `cbor:",toarray"`
	Crashes     []wireCrash
	Successes   []wireSuccess
	Quarantines []wireQuarantine
}

// Notices returns what other instances should know now: quarantines, the crashes
// that they explain, recent successes and other recent crashes, encoded for
// HandleNotice. If not all fit, it picks some at random, quarantines first and then
// the crashes that they explain: without these, other instances blame requests that
// were in flight at the same crashes. It omits crashes that blame nobody.
func (d *Detector) Notices() [][]byte {
	d.mu.Lock()
	now := d.Clock.Elapsed()
	var quarantines, excuses, entries []any
	sent := make(map[uint64]bool)
	wire := func(c *Crash) wireCrash {
		sent[c.ID] = true
		return wireCrash{ID: c.ID, Fingerprints: c.Fingerprints, Target: c.Target, SentAgeUS: (now - c.SentAt).Microseconds(), AgeUS: (now - c.At).Microseconds()}
	}
	for _, q := range d.quarantined {
		quarantines = append(quarantines, wireQuarantine{Fingerprint: q.Fingerprint, Crashes: q.Crashes, LastCrashAgeUS: (now - q.LastCrash).Microseconds(), RemainingMS: (q.Until - now).Milliseconds()})
		for _, c := range d.suspects[q.Fingerprint] {
			if now-c.At < spreadTime && !sent[c.ID] {
				excuses = append(excuses, wire(c.Crash))
			}
		}
	}
	for f, s := range d.spreadSuccesses {
		if now-s.recordedAt < spreadTime {
			entries = append(entries, wireSuccess{Fingerprint: f, SentAgeUS: (now - s.sentAt).Microseconds()})
		}
	}
	for _, c := range d.recent {
		if now-c.At < spreadTime && !sent[c.ID] && !d.isExplainedWhole(c) {
			entries = append(entries, wire(c))
		}
	}
	d.mu.Unlock()
	for _, list := range [][]any{quarantines, excuses, entries} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return encodeNotices(slices.Concat(quarantines[:min(len(quarantines), maxNoticedQuarantines)], excuses, entries))
}

func encodeNotices(entries []any) [][]byte {
	var notices [][]byte
	current, size := notice{}, 0
	flush := func() {
		if size == 0 {
			return
		}
		// The types have no value that cannot be encoded.
		if payload, err := cbor.Marshal(current); err == nil {
			notices = append(notices, payload)
		}
		current, size = notice{}, 0
	}
	for _, entry := range entries {
		n := entryBytes(entry)
		if size > 0 && size+n > maxNoticeBytes {
			flush()
		}
		if len(notices) == maxNotices {
			return notices
		}
		size += n
		switch e := entry.(type) {
		case wireCrash:
			current.Crashes = append(current.Crashes, e)
		case wireSuccess:
			current.Successes = append(current.Successes, e)
		case wireQuarantine:
			current.Quarantines = append(current.Quarantines, e)
		}
	}
	flush()
	return notices
}

func entryBytes(entry any) int {
	switch e := entry.(type) {
	case wireCrash:
		n := fixedBytes
		for _, f := range e.Fingerprints {
			n += fingerprintBytes + len(f)
		}
		return n
	case wireSuccess:
		return fixedBytes + len(e.Fingerprint)
	case wireQuarantine:
		return fixedBytes + len(e.Fingerprint)
	}
	return 0
}

// HandleNotice records what another instance sent. A notice that cannot be decoded
// is dropped.
func (d *Detector) HandleNotice(payload []byte) {
	var n notice
	if cbor.Unmarshal(payload, &n) != nil {
		return
	}
	now := d.Clock.Elapsed()
	ago := func(us int64) time.Duration { return now - time.Duration(max(0, us))*time.Microsecond }
	for _, s := range n.Successes {
		d.RecordSuccess(ago(s.SentAgeUS), s.Fingerprint)
	}
	for _, q := range n.Quarantines {
		if remaining := time.Duration(q.RemainingMS) * time.Millisecond; remaining >= minRemaining {
			d.AddQuarantine(Quarantine{
				Fingerprint: q.Fingerprint, Until: now + remaining, LastCrash: ago(q.LastCrashAgeUS), Crashes: q.Crashes, Source: SourcePeer,
			})
		}
	}
	for _, c := range n.Crashes {
		if at := ago(c.AgeUS); c.ID != 0 && now-at < spreadTime {
			d.RecordCrash(Crash{ID: c.ID, Fingerprints: c.Fingerprints, Target: c.Target, SentAt: ago(c.SentAgeUS), At: at})
		}
	}
}

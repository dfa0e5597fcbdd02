package poison

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/claim"
	"lacewingwheel.example/lacewingwheel/pkg/clock"
)

// instance is a detector with its clock.
type instance struct {
	*Detector
	clock   *clock.Fake
	changes []Change
}

func newInstance() *instance {
	c := clock.NewFake(time.Unix(1_800_000_000, 0))
	c.Advance(time.Hour)
	x := &instance{Detector: NewDetector(c), clock: c}
	x.OnChange = func(c Change) { x.changes = append(x.changes, c) }
	return x
}

// crash records that a target crashes now on a request that was sent sentAgo before.
func (x *instance) crash(target uint64, sentAgo time.Duration, fingerprints ...Fingerprint) {
	now := x.clock.Elapsed()
	x.RecordCrash(Crash{Fingerprints: fingerprints, Target: target, SentAt: now - sentAgo, At: now})
}

// crashInSequence records crashes of different targets, one after the other, on
// different requests with the parts.
func (x *instance) crashInSequence(n int, parts ...Fingerprint) {
	for i := range n {
		x.advance(100 * time.Millisecond)
		x.crash(uint64(i), 50*time.Millisecond, append(parts[:len(parts):len(parts)], Fingerprint(fmt.Sprintf("request-%v-%d", parts, i)))...)
	}
}

func (x *instance) advance(d time.Duration) {
	x.clock.Advance(d)
	x.Update()
}

func (x *instance) isQuarantined(f Fingerprint) bool {
	_, ok := x.Find(f)
	return ok
}

// sendTo passes all notices to another instance and returns their number.
func (x *instance) sendTo(y *instance) int {
	notices := x.Notices()
	for _, n := range notices {
		y.HandleNotice(n)
	}
	return len(notices)
}

// A fingerprint must be quarantined after three crashes that followed one another.
// If fewer suffice, or crashes at the same time add up, sound requests are refused
// when targets crash for another reason; if more are needed, more targets crash.
func TestOnlyCrashesInSequenceCount(t *testing.T) {
	for _, tc := range []struct {
		name  string
		crash func(x *instance)
		want  bool
	}{
		{"two in sequence", func(x *instance) { x.crashInSequence(crashesToQuarantine-1, "p") }, false},
		{"three in sequence", func(x *instance) { x.crashInSequence(crashesToQuarantine, "p") }, true},
		{"many at the same time", func(x *instance) {
			for i := range 10 {
				x.crash(uint64(i), 50*time.Millisecond, "p", Fingerprint(fmt.Sprint("request-", i)))
			}
		}, false},
		{"one after the other, but all sent before the first", func(x *instance) {
			for i := range 10 {
				x.clock.Advance(10 * time.Millisecond)
				x.crash(uint64(i), 2*time.Second, "p", Fingerprint(fmt.Sprint("request-", i)))
			}
		}, false},
		{"the same request three times", func(x *instance) {
			for i := range crashesToQuarantine {
				x.clock.Advance(100 * time.Millisecond)
				x.crash(uint64(i), 50*time.Millisecond, "p")
			}
		}, true},
		{"one crash seen three times", func(x *instance) {
			for range crashesToQuarantine {
				x.clock.Advance(time.Millisecond)
				x.crash(1, 50*time.Millisecond, "p")
			}
		}, false},
		{"three far apart", func(x *instance) {
			for i := range crashesToQuarantine {
				x.advance(suspectWindow)
				x.crash(uint64(i), 50*time.Millisecond, "p")
			}
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			x := newInstance()
			tc.crash(x)
			x.advance(settleTime)
			assert.Equal(t, x.isQuarantined("p"), tc.want)
			assert.Assert(t, !x.isQuarantined("q"))
		})
	}
}

// Crashes that go on must not delay the quarantine.
func TestQuarantineComesWhileCrashesGoOn(t *testing.T) {
	x := newInstance()
	x.crashInSequence(crashesToQuarantine+int(settleTime/(100*time.Millisecond)), "p")
	assert.Assert(t, x.isQuarantined("p"))
}

// A success must end the suspicion and the quarantine, but only if its request was
// sent after the last crash. Otherwise sound parts are refused, or a part that
// crashes targets is cleared by a request that was sent before.
func TestSuccessEndsSuspicionAndQuarantine(t *testing.T) {
	x := newInstance()
	x.crashInSequence(crashesToQuarantine-1, "p")
	x.RecordSuccess(x.clock.Elapsed()+time.Millisecond, "p")
	x.crashInSequence(1, "p")
	x.advance(settleTime)
	assert.Assert(t, !x.isQuarantined("p"))

	x.crashInSequence(crashesToQuarantine, "q")
	sentBefore := x.clock.Elapsed() - time.Millisecond
	x.advance(settleTime)
	x.RecordSuccess(sentBefore, "q")
	assert.Assert(t, x.isQuarantined("q"))
	x.RecordSuccess(x.clock.Elapsed(), "q")
	assert.Assert(t, !x.isQuarantined("q"))
	assert.Equal(t, x.changes[len(x.changes)-1].Kind, ChangeLifted)
}

// Of the parts that all crashing requests share, only the most specific one may be
// quarantined. Otherwise a first part that all requests of a route have is refused
// with it.
func TestMostSpecificPartExplainsCrashes(t *testing.T) {
	x := newInstance()
	x.crashInSequence(crashesToQuarantine, "a-first", "deadly")
	// A sound request with the first part was in flight at the last crash.
	x.crash(crashesToQuarantine-1, 20*time.Millisecond, "a-first", "request-sound")
	x.advance(settleTime)
	assert.Assert(t, x.isQuarantined("deadly"))
	assert.Assert(t, !x.isQuarantined("a-first"))
}

// A sound request that was in flight beside the crashing ones, at every crash, must
// not be quarantined with them. Otherwise callers with bad luck are refused.
func TestRequestInFlightByChanceIsNotQuarantined(t *testing.T) {
	x := newInstance()
	for i := range crashesToQuarantine {
		x.advance(100 * time.Millisecond)
		x.crash(uint64(i), 60*time.Millisecond, "first", "deadly", Fingerprint(fmt.Sprint("request-", i)))
		x.crash(uint64(i), 50*time.Millisecond, "first", "session", "request-sound")
	}
	x.crash(3, 50*time.Millisecond, "first", "deadly", "request-last")
	x.advance(settleTime)
	assert.Assert(t, x.isQuarantined("deadly"))
	assert.Assert(t, !x.isQuarantined("request-sound"))
	assert.Assert(t, !x.isQuarantined("session"))
}

// If the first part is the one that crashes targets, it must be quarantined although
// each request has a more specific part.
func TestFirstPartIsQuarantined(t *testing.T) {
	x := newInstance()
	for i := range crashesToQuarantine {
		x.advance(100 * time.Millisecond)
		x.crash(uint64(i), 50*time.Millisecond, "deadly", Fingerprint(fmt.Sprint("session-", i)), Fingerprint(fmt.Sprint("request-", i)))
	}
	x.advance(settleTime)
	assert.Assert(t, x.isQuarantined("deadly"))
}

// A sound request that was in flight beside one with a suspect part must be sent to
// another target, the other one must not. Otherwise one crash fails all requests of
// the target, or one request crashes several.
func TestOnlySuspectRequestsAreNotRepeated(t *testing.T) {
	x := newInstance()
	x.crashInSequence(crashesToStopRetries+1, "first", "deadly")
	x.crash(9, 10*time.Millisecond, "first", "sound", "request-sound")
	assert.Assert(t, x.StopsRetries("first", "deadly", "request-new"))
	assert.Assert(t, !x.StopsRetries("first", "sound", "request-sound"))
}

// Crashes that different instances have seen must add up, and a success at one must
// clear the suspicion at all. Otherwise each instance lets a part crash three
// targets, or sound parts are refused where few requests have them.
func TestInstancesShareCrashesAndSuccesses(t *testing.T) {
	x, y := newInstance(), newInstance()
	y.clock.Advance(time.Minute) // other boot time
	step := func(d time.Duration) { x.advance(d); y.advance(d) }
	for i := range crashesToQuarantine {
		step(200 * time.Millisecond)
		at, from, to := uint64(i), x, y
		if i%2 == 1 {
			from, to = y, x
		}
		from.crash(at, 50*time.Millisecond, "shared", "deadly", Fingerprint(fmt.Sprint("request-", i)))
		from.crash(at, 50*time.Millisecond, "shared", "sound", Fingerprint(fmt.Sprint("request-sound-", i)))
		from.sendTo(to)
	}
	step(10 * time.Millisecond)
	y.RecordSuccess(y.clock.Elapsed(), "shared", "sound")
	y.sendTo(x)
	step(settleTime)
	for _, z := range []*instance{x, y} {
		assert.Assert(t, z.isQuarantined("deadly"))
		assert.Assert(t, !z.isQuarantined("sound"))
		assert.Assert(t, !z.isQuarantined("shared"))
	}
}

// An instance that has just started must learn of a quarantine whenever it began, and
// a lifted one must not come back from an instance that does not know it yet.
func TestQuarantinesAreRepeatedUntilLifted(t *testing.T) {
	x, y, late := newInstance(), newInstance(), newInstance()
	x.crashInSequence(crashesToQuarantine, "p")
	x.advance(settleTime)
	x.advance(QuarantineDuration / 2)
	x.sendTo(y)
	assert.Assert(t, y.isQuarantined("p"))
	y.advance(QuarantineDuration/2 + time.Second)
	assert.Assert(t, !y.isQuarantined("p"), "the quarantine is longer at the other instance")

	x.sendTo(late)
	late.RecordSuccess(late.clock.Elapsed(), "p")
	assert.Assert(t, !late.isQuarantined("p"))
	x.sendTo(late)
	assert.Assert(t, !late.isQuarantined("p"))
	late.sendTo(x)
	assert.Assert(t, !x.isQuarantined("p"))
}

// Crashes and lifted quarantines that instances pass on to each other must not count
// again when they return, although their ages grow by the time on the way.
// Otherwise one crash quarantines a sound part, or a lifted quarantine comes back.
func TestNoticesThatReturnDoNotCountAgain(t *testing.T) {
	const latency = 30 * time.Millisecond
	instances := []*instance{newInstance(), newInstance(), newInstance()}
	exchange := func(d time.Duration) {
		for range d / (200 * time.Millisecond) {
			notices := make([][][]byte, len(instances))
			for n, x := range instances {
				notices[n] = x.Notices()
			}
			for n, x := range instances {
				x.advance(latency)
				for _, payload := range notices[(n+1)%len(instances)] {
					x.HandleNotice(payload)
				}
				x.advance(200*time.Millisecond - latency)
			}
		}
	}
	instances[0].crash(1, 10*time.Millisecond, "sound", "request")
	exchange(suspectWindow / 10)
	for _, x := range instances {
		assert.Assert(t, !x.isQuarantined("sound"))
		assert.Assert(t, len(x.Notices()) == 0, "the crash is passed on for ever")
	}

	instances[0].crashInSequence(crashesToQuarantine, "lifted")
	afterLastCrash := instances[0].clock.Elapsed() + time.Millisecond
	exchange(2 * time.Second)
	for _, x := range instances {
		assert.Assert(t, x.isQuarantined("lifted"))
	}
	instances[0].RecordSuccess(afterLastCrash, "lifted")
	exchange(QuarantineDuration / 2)
	for _, x := range instances {
		assert.Assert(t, !x.isQuarantined("lifted"))
		quarantined := 0
		for _, c := range x.changes {
			if c.Kind == ChangeQuarantined && c.Quarantine.Fingerprint == "lifted" {
				quarantined++
			}
		}
		assert.Equal(t, quarantined, 1)
	}
}

// A quarantine must end, or a part that has been mended is refused for ever.
func TestQuarantineExpires(t *testing.T) {
	x := newInstance()
	x.crashInSequence(crashesToQuarantine, "p")
	x.advance(settleTime)
	assert.Assert(t, x.isQuarantined("p"))
	x.advance(QuarantineDuration)
	assert.Assert(t, !x.isQuarantined("p"))
	assert.Equal(t, len(x.Quarantines()), 0)
}

// Many different crashing requests must exhaust neither the memory nor the network,
// and each notice must fit into a packet.
func TestMemoryAndNoticesAreBounded(t *testing.T) {
	const maxPacketBytes = 1200
	x := newInstance()
	for i := range 3 * maxSuccesses {
		x.RecordSuccess(time.Duration(i+1), Fingerprint(fmt.Sprint("sound-", i)))
	}
	for i := range maxSuspects/2 + 200 {
		x.clock.Advance(time.Millisecond)
		part := Fingerprint(fmt.Sprintf("part-%032d", i))
		x.crash(uint64(i), 50*time.Millisecond, part, Fingerprint(fmt.Sprintf("request-%032d", i)))
		x.AddQuarantine(Quarantine{Fingerprint: part, Until: x.clock.Elapsed() + time.Minute, LastCrash: x.clock.Elapsed()})
	}
	assert.Assert(t, len(x.suspects) <= maxSuspects)
	assert.Assert(t, len(x.recent) <= maxRecent)
	assert.Assert(t, len(x.remembered) <= maxRemembered)
	assert.Assert(t, len(x.quarantined) <= maxQuarantined)
	assert.Assert(t, len(x.successes)+len(x.olderSuccesses) <= 2*maxSuccesses)
	notices := x.Notices()
	assert.Assert(t, len(notices) > 0 && len(notices) <= maxNotices)
	for _, n := range notices {
		assert.Assert(t, len(n) <= maxPacketBytes, "a notice has %d bytes", len(n))
	}
}

// A notice that cannot be decoded must change nothing.
func TestMalformedNoticesAreDropped(t *testing.T) {
	x, y := newInstance(), newInstance()
	x.crashInSequence(crashesToQuarantine, "p")
	x.advance(settleTime)
	for _, n := range x.Notices() {
		y.HandleNotice(n[:len(n)-1])
	}
	y.HandleNotice(nil)
	assert.Assert(t, !y.isQuarantined("p"))
	assert.Equal(t, len(y.changes), 0)
}

// Callers choose the IDs of parts. An ID that is long or has special characters must not
// become part of the name of a stored object.
func TestUnusualPartIDsAreDigested(t *testing.T) {
	assert.Equal(t, OfPart("5c1e07a2"), Fingerprint("part-5c1e07a2"))
	for _, id := range []string{"../x", "a/b", "a b", "\x00", "ä", strings.Repeat("a", maxPartIDBytes+1)} {
		f := string(OfPart(id))
		assert.Assert(t, strings.HasPrefix(f, digestPrefix) && len(f) == len(digestPrefix)+digestCharacters, "%q has the fingerprint %q", id, f)
	}
}

// A part must be quarantined however many requests with it are in flight at each
// crash and however fast crashes follow, or it crashes all targets one by one.
func TestBusyPartIsQuarantined(t *testing.T) {
	for _, c := range []struct {
		perCrash int
		interval time.Duration
	}{{1, 10 * time.Millisecond}, {1, 100 * time.Millisecond}, {4, 100 * time.Millisecond}, {8, 100 * time.Millisecond}, {40, 50 * time.Millisecond}} {
		x := newInstance()
		started := x.clock.Elapsed()
		for target, request := uint64(1), 0; !x.isQuarantined("part-bad"); target++ {
			x.advance(c.interval)
			for range c.perCrash {
				request++
				x.crash(target, c.interval/2, "part-shared", "part-bad", Fingerprint(fmt.Sprintf("request-%d", request)))
			}
			x.RecordSuccess(x.clock.Elapsed(), "part-shared")
			assert.Assert(t, x.clock.Elapsed()-started < 3*time.Second, "%d requests per crash, a crash every %v", c.perCrash, c.interval)
		}
		assert.Equal(t, len(x.Quarantines()), 1, "%v", x.Quarantines())
	}
}

// A request that is repeated and crashes targets must not hide that other requests
// with one of its parts do so too.
func TestQuarantinedRequestDoesNotExcuseItsPart(t *testing.T) {
	x := newInstance()
	x.AddQuarantine(Quarantine{Fingerprint: "request-1", Until: x.clock.Elapsed() + QuarantineDuration, LastCrash: x.clock.Elapsed(), Crashes: 3, Source: SourcePeer})
	for target := uint64(1); target <= crashesToQuarantine; target++ {
		x.advance(100 * time.Millisecond)
		x.crash(target, 50*time.Millisecond, "part-bad", "request-1")
		x.crash(target, 40*time.Millisecond, "part-bad", Fingerprint(fmt.Sprintf("request-%d", target+1)))
	}
	x.advance(settleTime)
	assert.Assert(t, x.isQuarantined("part-bad"))
}

// Many crashes must not keep later ones from being counted.
func TestManyCrashesDoNotStopDetection(t *testing.T) {
	x := newInstance()
	for n := range maxRemembered + 10 {
		x.crash(uint64(n), time.Millisecond, Fingerprint(fmt.Sprintf("request-other-%d", n)))
	}
	x.advance(time.Second) // those crashed together; the next ones do not
	x.crashInSequence(crashesToQuarantine, "part-bad")
	x.advance(settleTime)
	assert.Assert(t, x.isQuarantined("part-bad"))
}

// Sound parts that were in flight at any crash of a quarantined part must be excused,
// also if that part crashed many targets before it was found.
func TestManyCrashesOfOnePartExcuseAllBystanders(t *testing.T) {
	const crashes = 100 // as many as a fleet of about a hundred targets has
	x := newInstance()
	now := x.clock.Elapsed()
	x.AddQuarantine(Quarantine{Fingerprint: "part-bad", Until: now + QuarantineDuration, LastCrash: now, Crashes: crashesToQuarantine, Source: SourcePeer})
	for n := range crashes {
		x.advance(20 * time.Millisecond)
		x.crash(uint64(n), 10*time.Millisecond, "part-bad", Fingerprint(fmt.Sprintf("request-bad-%d", n)))
		if n >= 40 && n < 43 {
			x.crash(uint64(n), 10*time.Millisecond, "part-sound", Fingerprint(fmt.Sprintf("request-sound-%d", n)))
		}
	}
	x.advance(settleTime)
	assert.Assert(t, !x.isQuarantined("part-sound"))
}

// While many targets crash on a quarantined part, the crashes that it explains did not
// reach other instances among those of bystanders. They blamed bystanders, and sound
// requests were refused (tainted-hot, 79 instances).
func TestExplanationsReachOthersBeforeOtherCrashes(t *testing.T) {
	x, y := newInstance(), newInstance()
	x.crashInSequence(crashesToQuarantine, "deadly")
	x.advance(settleTime)
	assert.Assert(t, x.isQuarantined("deadly"))
	const targets = 30
	for i := range uint64(targets) {
		x.clock.Advance(time.Millisecond)
		y.clock.Advance(time.Millisecond)
		x.crash(1000+i, 50*time.Millisecond, "deadly", Fingerprint(fmt.Sprint("request-d-", i)))
	}
	for i := range uint64(300) { // other targets, so that nothing explains these
		x.crash(5000+i, 50*time.Millisecond, Fingerprint(fmt.Sprint("part-of-other-", i)), Fingerprint(fmt.Sprint("request-o-", i)))
	}
	for range 3 {
		x.sendTo(y)
	}
	known := 0
	for _, c := range y.suspects["deadly"] {
		if c.Target >= 1000 && c.Target < 1000+targets {
			known++
		}
	}
	assert.Equal(t, known, targets, "crashes that the quarantined part explains")
}

// An instance that knows the explanation of a part's crashes took the quarantine of the
// part over from one that did not, and refused sound requests.
func TestQuarantineOfAPartWithAnotherExplanationIsNotTakenOver(t *testing.T) {
	x := newInstance()
	for i := range uint64(crashesToQuarantine + 1) {
		x.advance(100 * time.Millisecond)
		x.crash(i, 50*time.Millisecond, "deadly", Fingerprint(fmt.Sprint("request-d-", i)))
		if i < crashesToQuarantine {
			x.crash(i, 50*time.Millisecond, "bystander", Fingerprint(fmt.Sprint("request-b-", i)))
		}
	}
	x.advance(settleTime)
	assert.Assert(t, x.isQuarantined("deadly"))
	now := x.clock.Elapsed()
	taken := x.AddQuarantine(Quarantine{Fingerprint: "bystander", Until: now + QuarantineDuration, LastCrash: now - settleTime, Crashes: 3, Source: SourcePeer})
	assert.Assert(t, !taken && !x.isQuarantined("bystander"))
	taken = x.AddQuarantine(Quarantine{Fingerprint: "unknown here", Until: now + QuarantineDuration, LastCrash: now - settleTime, Crashes: 3, Source: SourcePeer})
	assert.Assert(t, taken)
}

// All targets of a pool crash at about the same time for a reason of their own, and
// requests that break are repeated at targets that crash next. A part that succeeded before
// was quarantined, and sound requests were refused for ten minutes.
func TestOneOutageIsNoEvidenceAgainstPartsThatSucceeded(t *testing.T) {
	for _, c := range []struct {
		name    string
		targets int
		spread  time.Duration // between two crashes
	}{{"five within 120 ms", 5, 30 * time.Millisecond}, {"eighteen within 200 ms", 18, 12 * time.Millisecond}, {"eighteen at once", 18, 0}} {
		t.Run(c.name, func(t *testing.T) {
			x := newInstance()
			parts := []Fingerprint{"part-0", "part-1", "part-2", "part-3"}
			x.RecordSuccess(x.clock.Elapsed(), parts...)
			x.advance(time.Second)
			for target := range c.targets {
				// Each target runs a request with each part that was sent after the crash before.
				for n, part := range parts {
					x.crash(uint64(target), c.spread/2, part, Fingerprint(fmt.Sprintf("request-%d-%d", target, n)))
				}
				x.advance(c.spread)
			}
			x.advance(settleTime)
			x.advance(settleTime)
			assert.Equal(t, len(x.Quarantines()), 0, "%v", x.Quarantines())
		})
	}
}

// Repeated outages of all targets must not add up against a part of few requests,
// that was in flight at some of the crashes by chance and did not succeed in between.
func TestOutagesDoNotAddUpAgainstRarePart(t *testing.T) {
	x := newInstance()
	for outage := range uint64(10) {
		x.advance(2500 * time.Millisecond)
		for target := range uint64(18) {
			x.crash(100*outage+target, 50*time.Millisecond, Fingerprint(fmt.Sprintf("part-%d", target%9)), Fingerprint(fmt.Sprintf("request-%d-%d", outage, target)))
		}
		x.advance(settleTime)
		assert.Equal(t, len(x.Quarantines()), 0, "outage %d: %v", outage, x.Quarantines())
	}
}

// A request that is sent on a connection of a target that has just crashed fails too. That
// must not count as a second crash of the same incarnation.
func TestIncarnationCrashesOnce(t *testing.T) {
	x := newInstance()
	for range crashesToQuarantine {
		x.crash(1, 50*time.Millisecond, "part", "request")
		x.advance(200 * time.Millisecond)
	}
	x.advance(settleTime)
	assert.Equal(t, len(x.Quarantines()), 0, "%v", x.Quarantines())
}

// A part that succeeded before and crashes targets now, as with new weights, must be
// quarantined while targets crash one after the other, within the time that crashes of
// unknown parts take and a second more.
func TestPartThatSucceededBeforeIsQuarantined(t *testing.T) {
	x := newInstance()
	x.RecordSuccess(x.clock.Elapsed(), "part")
	x.advance(time.Second)
	started := x.clock.Elapsed()
	for target := uint64(1); !x.isQuarantined("part"); target++ {
		x.advance(100 * time.Millisecond)
		x.crash(target, 50*time.Millisecond, "part", Fingerprint(fmt.Sprint("request-", target)))
		assert.Assert(t, x.clock.Elapsed()-started < settleTime+1200*time.Millisecond)
	}
}

// Two parts that crash targets at the same time must both be quarantined, although each of
// them is missing at half of the crashes.
func TestTwoDeadlyPartsAreQuarantined(t *testing.T) {
	x := newInstance()
	started := x.clock.Elapsed()
	for target := uint64(1); !x.isQuarantined("part-a") || !x.isQuarantined("part-b"); target++ {
		x.advance(50 * time.Millisecond)
		x.crash(target, 20*time.Millisecond, []Fingerprint{"part-a", "part-b"}[target%2], Fingerprint(fmt.Sprint("request-", target)))
		assert.Assert(t, x.clock.Elapsed()-started < 4*time.Second)
	}
	assert.Equal(t, len(x.Quarantines()), 2, "%v", x.Quarantines())
}

// requestOf returns the fingerprint of a request of an organisation.
func requestOf(organisation string, n int) Fingerprint {
	return OfRequest(claim.DigestRequest(organisation, "POST", "/", fmt.Append(nil, n)), organisation)
}

// isRefused reports whether a request of an organisation with a part is refused.
func (x *instance) isRefused(organisation string, part Fingerprint) bool {
	_, refused := x.Find(WithOrganisation([]Fingerprint{part, requestOf(organisation, -1)})...)
	return refused
}

// One request that comes again and again crashed targets, and the part that it shares with
// sound requests was blamed: all of these were refused.
func TestRepeatedRequestIsBlamedInsteadOfItsPart(t *testing.T) {
	x := newInstance()
	for target := range uint64(2 * crashesToQuarantine) {
		x.advance(300 * time.Millisecond)
		x.crash(target, 50*time.Millisecond, "part-shared", requestOf("a", 1))
	}
	x.advance(settleTime)
	assert.Assert(t, x.isQuarantined(requestOf("a", 1)))
	assert.Assert(t, !x.isRefused("a", "part-shared"))
	assert.Assert(t, !x.isRefused("b", "part-shared"))
}

// Different requests of one organisation that crash targets must not get requests of
// others refused that share a part with them.
func TestPartIsRefusedOnlyForTheOrganisationWhoseRequestsCrashTargets(t *testing.T) {
	x := newInstance()
	for n := range 10 {
		x.advance(300 * time.Millisecond)
		x.crash(uint64(n), 50*time.Millisecond, "part-shared", requestOf("a", n))
		if n == 1 { // a sound request, in flight by chance
			x.crash(uint64(n), 20*time.Millisecond, "part-shared", requestOf("b", n))
		}
	}
	x.advance(settleTime)
	assert.Assert(t, x.isRefused("a", "part-shared"))
	assert.Assert(t, !x.isRefused("b", "part-shared"))
}

// A part that crashes targets in prompts of all organisations must be refused for all, and
// not be found for each of them anew, also if requests of all are in flight at each crash.
func TestPartOfManyOrganisationsIsRefusedForAll(t *testing.T) {
	for _, perCrash := range []int{1, 5} {
		x := newInstance()
		crashes := 0
		for ; !x.isQuarantined("part-shared"); crashes++ {
			x.advance(300 * time.Millisecond)
			for n := range perCrash {
				x.crash(uint64(crashes), 50*time.Millisecond, "part-shared", requestOf(fmt.Sprint("org-", (crashes+n)%5), 10*crashes+n))
			}
			assert.Assert(t, crashes < 2*crashesToQuarantine, "%d requests at each crash", perCrash)
		}
		for n := range 20 {
			assert.Assert(t, x.isRefused(fmt.Sprint("org-", n), "part-shared"))
		}
	}
}

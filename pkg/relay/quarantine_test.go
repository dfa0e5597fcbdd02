package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/claim"
	"lacewingwheel.example/lacewingwheel/pkg/poison"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// quarantine quarantines a fingerprint for a minute.
func (f *fixture) quarantine(fingerprint poison.Fingerprint) {
	f.detector.AddQuarantine(poison.Quarantine{Fingerprint: fingerprint, Until: f.detector.Clock.Elapsed() + time.Minute, LastCrash: f.detector.Clock.Elapsed(), Crashes: 3})
}

func promptParts(parts string) map[string]string {
	return map[string]string{platformtest.HeaderPromptParts: parts}
}

// A request with a quarantined part must reach no target, its quota must not be
// charged, and the caller must learn that it has not run. The last part of a prompt is
// not shared, so it must not be matched with parts of other requests.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	testTarget := startTarget(t, "i-1")
	f := newFixture(t, testTarget)
	f.tokens = 15
	f.quarantine(poison.OfPart("bad"))
	got := f.send(callerRequest{path: "/once/", header: promptParts("a1:10,bad:10,c1:10")})
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusUnprocessableEntity)
	assert.Equal(t, got.header.Get(apierr.HeaderOutcome), string(apierr.OutcomeNotRun))
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(testTarget.Requests()), 0)
	assert.Equal(t, f.tokens, int64(15))
	assert.Assert(t, strings.Contains(f.log.String(), "code=quarantined") && strings.Contains(f.log.String(), "part-bad"), f.log.String())
	assert.Equal(t, f.send(callerRequest{path: "/once/", header: promptParts("a1:10,c1:10,bad:10")}).status, http.StatusOK)
}

// A request whose part is quarantined while it runs must not be sent to a second
// target, and its status must not promise that it has not run.
func TestRequestIsRefusedBeforeItsNextAttempt(t *testing.T) {
	targets := []*platformtest.Target{startTarget(t, "i-1"), startTarget(t, "i-2")}
	f := newFixture(t, targets...)
	for _, r := range targets {
		r.SetFaults(func(int, string) platformtest.Fault {
			f.quarantine(poison.OfPart("bad"))
			return platformtest.Fault{Reset: true}
		})
	}
	got := f.send(callerRequest{path: "/idempotent/", header: promptParts("bad:10,c1:10")})
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusUnprocessableEntity)
	assert.Equal(t, got.header.Get(apierr.HeaderOutcome), string(apierr.OutcomeUnknown))
	assert.Equal(t, countRuns(targets...), 1)
}

// A request that comes again after it crashed targets must crash three at most. A
// connection that breaks without a crash must not count.
func TestRepeatedRequestCrashesFewTargets(t *testing.T) {
	for _, crash := range []bool{true, false} {
		t.Run(fmt.Sprintf("crash %v", crash), func(t *testing.T) {
			var targets []*platformtest.Target
			for i := range 8 {
				r := startTarget(t, fmt.Sprint("i-", i))
				r.SetFaults(func(int, string) platformtest.Fault { return platformtest.Fault{Crash: crash, Reset: !crash} })
				r.SetCrashes(time.Minute, nil)
				targets = append(targets, r)
			}
			f := newFixture(t, targets...)
			for n := range 6 {
				f.send(callerRequest{path: "/idempotent/", id: fmt.Sprint("id-", n), body: "the same"})
				if crash {
					time.Sleep(time.Second) // the quarantine waits for successes elsewhere
				}
				f.detector.Update()
			}
			if crash {
				assert.Equal(t, countRuns(targets...), 3)
			} else {
				assert.Assert(t, countRuns(targets...) >= 6)
				assert.Equal(t, len(f.detector.Quarantines()), 0)
			}
		})
	}
}

// A response must clear the suspicion against the shared parts of its request.
// Otherwise sound parts are refused after crashes that they did not cause.
func TestResponseClearsSuspicion(t *testing.T) {
	testTarget := startTarget(t, "i-1")
	f := newFixture(t, testTarget)
	for _, path := range []string{"/stream/once/", "/once/"} {
		now := f.detector.Clock.Elapsed()
		for n := range time.Duration(2) {
			request := poison.Fingerprint(fmt.Sprint("request-", path, n))
			f.detector.RecordCrash(poison.Crash{Fingerprints: []poison.Fingerprint{poison.OfPart("b"), request}, Target: uint64(n), SentAt: now - 4 + 2*n, At: now - 3 + 2*n})
		}
		assert.Assert(t, f.detector.StopsRetries(poison.OfPart("b")))
		assert.Equal(t, f.send(callerRequest{path: path, header: promptParts("b:10,c:10")}).status, http.StatusOK)
		assert.Assert(t, !f.detector.StopsRetries(poison.OfPart("b")))
	}
}

// The fingerprints of a request with very many parts must fit into one message to other
// instances.
func TestManyPartsAreBounded(t *testing.T) {
	const maxPacketBytes = 1200
	testTarget := startTarget(t, "i-1")
	testTarget.SetFaults(func(int, string) platformtest.Fault { return platformtest.Fault{Crash: true} })
	testTarget.SetCrashes(time.Minute, nil)
	f := newFixture(t, testTarget)
	parts := "c:1"
	for n := range 200 {
		parts = fmt.Sprintf("%032d:1,%s", n, parts)
	}
	f.send(callerRequest{path: "/once/", header: promptParts(parts)})
	notices := f.detector.Notices()
	assert.Equal(t, len(notices), 1)
	assert.Assert(t, len(notices[0]) <= maxPacketBytes, "the notice has %d bytes", len(notices[0]))
}

// A part that is quarantined within one organisation must be refused to that one only, and a
// success must end that quarantine. Otherwise an organisation gets another one's
// prompts refused.
func TestQuarantineOfOneOrganisation(t *testing.T) {
	testTarget := startTarget(t, "i-1")
	f := newFixture(t, testTarget)
	within := func(organisation string) poison.Fingerprint {
		return poison.WithOrganisation([]poison.Fingerprint{poison.OfPart("bad"), poison.OfRequest(claim.Digest{}, organisation)})[1]
	}
	request := callerRequest{path: "/once/", header: promptParts("a1:10,bad:10,c1:10")}
	f.quarantine(within("other"))
	assert.Equal(t, f.send(request).status, http.StatusOK)
	f.quarantine(within("one"))
	assert.Equal(t, f.send(request).status, http.StatusUnprocessableEntity)
}

package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

func streamCall(tokens int) string {
	return fmt.Sprintf(`{"model":"demo","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hi"}]}`, tokens)
}

// sequenceFaults sets the next faults each time the engine has received a
// request, so that each attempt of one request meets its own.
func sequenceFaults(f *keyFixture, faults ...standin.EngineFaults) {
	f.engine.SetFaults(faults[0])
	f.engine.OnReceive = func(n int) {
		if n < len(faults) {
			f.engine.SetFaults(faults[n])
		}
	}
}

// Guards G2: whatever an engine does in mid-stream, the caller must get each
// event once and in order.
func TestStreamIsWholeAndInOrder(t *testing.T) {
	const tokens = 30
	tests := []struct {
		name  string
		fault standin.EngineFaults
	}{
		{"connection cut", standin.EngineFaults{CutAfterEvents: 7}},
		{"event left out", standin.EngineFaults{SkipEvent: 9}},
		{"response of another request", standin.EngineFaults{WrongRequestID: true}},
		{"refused", standin.EngineFaults{Refuse: true}},
		{"cut before the response", standin.EngineFaults{CutBeforeAnswer: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newKeyFixture(t)
			f.addEngine("engine-2")
			sequenceFaults(f, test.fault, standin.EngineFaults{})
			resp := f.do(t, "/v1/chat/completions", streamCall(tokens), bearer(secretKey))
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			reader := engine.NewEventReader(resp.Body)
			for position := uint64(1); position <= tokens+1; position++ {
				event, err := reader.Next()
				assert.NilError(t, err)
				assert.Equal(t, event.Position, position)
				assert.Equal(t, event.Done(), position == tokens+1)
			}
			assert.Equal(t, len(f.engine.ReceivedRequests()), 2)
		})
	}
}

// Guards against a stream that goes on from an engine that cannot resume: its
// tokens need not continue those that the caller has. The stream must end with
// an error event.
func TestStreamIsNotResumedByEngineThatCannot(t *testing.T) {
	f := newKeyFixture(t)
	f.addEngine("engine-2")
	for _, other := range f.set.Targets {
		other.CanResume = false
	}
	f.engine.SetFaults(standin.EngineFaults{CutAfterEvents: 3})
	resp := f.do(t, "/v1/chat/completions", streamCall(10), bearer(secretKey))
	reader := engine.NewEventReader(resp.Body)
	var last engine.StreamEvent
	for {
		event, err := reader.Next()
		if err != nil {
			break
		}
		last = event
	}
	assert.Assert(t, strings.Contains(string(last.Data), string(apierr.CodeTargetFailed)), string(last.Data))
	assert.Equal(t, len(f.engine.ReceivedRequests()), 1)
}

// Guards against work that goes on for a caller that has gone.
func TestCallerThatLeavesCancelsWork(t *testing.T) {
	f := newKeyFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	resp := f.do(t, "/v1/chat/completions", streamCall(1_000_000), func(r *http.Request) {
		bearer(secretKey)(r)
		*r = *r.WithContext(ctx)
	})
	_, err := engine.NewEventReader(resp.Body).Next()
	assert.NilError(t, err)
	cancel()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.engine.Running() == 0 && f.set.ByID["engine-1"].Live.InFlight.Load() == 0 {
			return poll.Success()
		}
		return poll.Continue("the engine still runs the request")
	}, poll.WithTimeout(5*time.Second))
}

// Guards against a caller that stops reading: it must hold back the engine, and
// its request must end at the deadline instead of blocking for ever.
func TestCallerThatStopsReading(t *testing.T) {
	f := newKeyFixture(t)
	routes := strings.Replace(keyRoutes, "organisations = circle", "organisations = circle\ndeadline = 1s", 1)
	pools := fmt.Sprintf(keyPools, digestOf(secretKey), digestOf("key-of-other"))
	parsed, err := tables.Parse(tables.Source{Routes: []byte(routes), Pools: []byte(pools)})
	assert.NilError(t, err)
	f.snapshot.Store(tables.NewSnapshot(2, parsed))
	f.engine.SetTokenInterval(0)

	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	body := streamCall(100_000_000)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", secretKey, len(body), body)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.engine.ReceivedRequests()) == 1 {
			return poll.Success()
		}
		return poll.Continue("not received yet")
	}, poll.WithTimeout(5*time.Second))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.NilError(t, f.server.Config.Shutdown(ctx), "the request did not end")
}

// Guards against an engine that is cut off while it generates a long answer
// that is not streamed, and against one that is waited for after it died.
func TestSilentEngine(t *testing.T) {
	for _, alive := range []bool{true, false} {
		t.Run(fmt.Sprint("alive ", alive), func(t *testing.T) {
			f := newKeyFixture(t)
			f.sender.Targets = f
			pools := strings.Replace(fmt.Sprintf(keyPools, digestOf(secretKey), digestOf("key-of-other")),
				"model = demo\n", "model = demo\nstall_timeout = 20ms\n", 1)
			f.snapshot.Store(parseSnapshot(t, 2, pools))
			f.set.ByID["engine-1"].Incarnation = "1"
			f.engine.SetFaults(standin.EngineFaults{DelayMillis: 200})
			f.engine.OnReceive = func(int) {
				if !alive {
					f.setIncarnation("engine-1", "2")
				}
			}
			resp := f.do(t, "/v1/chat/completions", wholeCall, bearer(secretKey))
			want := http.StatusOK
			if !alive {
				want = http.StatusBadGateway
			}
			assert.Equal(t, resp.StatusCode, want)
		})
	}
}

// Guards against events that the caller gets twice, because the engine gives
// them no position to resume from.
func TestStreamWithoutPositionsIsNotRepeated(t *testing.T) {
	f := newKeyFixture(t)
	f.addEngine("engine-2")
	f.engine.SetFaults(standin.EngineFaults{CutAfterEvents: 3, OmitPositions: true})
	resp := f.do(t, "/v1/chat/completions", streamCall(10), bearer(secretKey))
	reader := engine.NewEventReader(resp.Body)
	tokens := 0
	for {
		event, err := reader.Next()
		if err != nil {
			break
		}
		if strings.Contains(string(event.Data), "chunk") {
			tokens++
		}
	}
	assert.Equal(t, tokens, 3)
	assert.Equal(t, len(f.engine.ReceivedRequests()), 1)
}

// Guards the objective: a long answer that is not streamed must not count as a
// late first token, and a late stream must.
func TestOnlyStreamsCanBeLate(t *testing.T) {
	for _, stream := range []bool{true, false} {
		f := newKeyFixture(t)
		routes := strings.Replace(keyRoutes, "organisations = circle", "objective_first_token = 1ms", 1)
		parsed, err := tables.Parse(tables.Source{Routes: []byte(routes), Pools: []byte(fmt.Sprintf(keyPools, digestOf(secretKey), digestOf("key-of-other")))})
		assert.NilError(t, err)
		f.snapshot.Store(tables.NewSnapshot(2, parsed))
		f.engine.SetFaults(standin.EngineFaults{DelayMillis: 20})
		body := wholeCall
		if stream {
			body = streamCall(3)
		}
		resp := f.do(t, "/v1/chat/completions", body, bearer(secretKey))
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		f.server.Close() // waits until the request is counted
		totals := f.recorder.Document("i", "z").Series[0].Totals
		assert.Equal(t, totals.Served, uint64(1))
		assert.Equal(t, totals.Late == 1, stream)
	}
}

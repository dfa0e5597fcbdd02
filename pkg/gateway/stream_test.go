package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// streamBody returns the body of a streaming request.
func streamBody(tokens int) string {
	return fmt.Sprintf(`{"model":"demo","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hi"}]}`, tokens)
}

// setFaultSequence makes the engine use faults[n] for its nth request, so that
// each attempt of one request has its own faults.
func setFaultSequence(f *gatewayFixture, faults ...standin.EngineFaults) {
	f.engine.SetFaults(faults[0])
	f.engine.OnReceive = func(n int) {
		if n < len(faults) {
			f.engine.SetFaults(faults[n])
		}
	}
}

// If the first attempt of a stream fails, the retry must continue it so that the
// caller gets each event once and in order.
func TestStreamIsCompleteAndInOrder(t *testing.T) {
	const tokens = 30
	tests := []struct {
		name  string
		fault standin.EngineFaults
	}{
		{"connection closed in the stream", standin.EngineFaults{CutAfterEvents: 7}},
		{"missing event", standin.EngineFaults{SkipEvent: 9}},
		{"response of another request", standin.EngineFaults{WrongRequestID: true}},
		{"request refused", standin.EngineFaults{Refuse: true}},
		{"connection closed before the response", standin.EngineFaults{CutBeforeAnswer: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newGatewayFixture(t)
			f.addEngine("engine-2")
			setFaultSequence(f, test.fault, standin.EngineFaults{})
			resp := f.do(t, "/v1/chat/completions", streamBody(tokens), bearer(secretKey))
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			reader := engine.NewEventReader(resp.Body)
			for position := uint64(1); position <= tokens+1; position++ {
				event, err := reader.Next()
				assert.NilError(t, err)
				assert.Equal(t, event.Position, position)
				assert.Equal(t, event.IsEndMarker(), position == tokens+1)
			}
			assert.Equal(t, len(f.engine.ReceivedRequests()), 2)
		})
	}
}

// An engine that cannot resume may generate tokens that do not continue those the
// caller has. If there is no other engine, the stream must end with an error event.
func TestStreamIsNotResumedWithoutEngineSupport(t *testing.T) {
	f := newGatewayFixture(t)
	f.addEngine("engine-2")
	for _, other := range f.set.Targets {
		other.CanResume = false
	}
	f.engine.SetFaults(standin.EngineFaults{CutAfterEvents: 3})
	resp := f.do(t, "/v1/chat/completions", streamBody(10), bearer(secretKey))
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

// When the caller disconnects, the request must be cancelled on the engine, or it
// generates tokens that nobody reads.
func TestCallerDisconnectCancelsEngineRequest(t *testing.T) {
	f := newGatewayFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	resp := f.do(t, "/v1/chat/completions", streamBody(1_000_000), func(r *http.Request) {
		bearer(secretKey)(r)
		*r = *r.WithContext(ctx)
	})
	_, err := engine.NewEventReader(resp.Body).Next()
	assert.NilError(t, err)
	cancel()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.engine.RunningRequests() == 0 && f.set.ByID["engine-1"].Live.InFlight.Load() == 0 {
			return poll.Success()
		}
		return poll.Continue("the engine still runs the request")
	}, poll.WithTimeout(5*time.Second))
}

// A request whose caller stops reading must end at the deadline. Its blocked write
// ignores the context, and without a write deadline it blocks for ever.
func TestCallerThatStopsReading(t *testing.T) {
	f := newGatewayFixture(t)
	routes := strings.Replace(fixtureRoutes, "organisations = circle", "organisations = circle\ndeadline = 1s", 1)
	pools := fmt.Sprintf(fixturePools, digestOf(secretKey), digestOf("key-of-other"))
	parsed, err := tables.Parse(tables.Source{Routes: []byte(routes), Pools: []byte(pools)})
	assert.NilError(t, err)
	f.snapshot.Store(tables.NewSnapshot(2, parsed))
	f.engine.SetTokenInterval(0)

	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	body := streamBody(100_000_000)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", secretKey, len(body), body)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.engine.ReceivedRequests()) == 1 {
			return poll.Success()
		}
		return poll.Continue("the engine has not received the request")
	}, poll.WithTimeout(5*time.Second))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.NilError(t, f.server.Config.Shutdown(ctx), "the request did not end at its deadline")
}

// An engine sends nothing while it generates a response that is not streamed. The
// stall timeout must not end the attempt while the engine is alive, and must end it
// once the engine has restarted.
func TestStallTimeoutOfSilentEngine(t *testing.T) {
	for _, alive := range []bool{true, false} {
		t.Run(fmt.Sprint("alive ", alive), func(t *testing.T) {
			f := newGatewayFixture(t)
			f.sender.Targets = f
			pools := strings.Replace(fmt.Sprintf(fixturePools, digestOf(secretKey), digestOf("key-of-other")),
				"model = demo\n", "model = demo\nstall_timeout = 20ms\n", 1)
			f.snapshot.Store(parseSnapshot(t, 2, pools))
			f.set.ByID["engine-1"].Incarnation = "1"
			f.engine.SetFaults(standin.EngineFaults{DelayMillis: 200})
			f.engine.OnReceive = func(int) {
				if !alive {
					f.setIncarnation("engine-1", "2")
				}
			}
			resp := f.do(t, "/v1/chat/completions", chatBody, bearer(secretKey))
			want := http.StatusOK
			if !alive {
				want = http.StatusBadGateway
			}
			assert.Equal(t, resp.StatusCode, want)
		})
	}
}

// Without positions a retry of a stream would repeat events that the caller has.
// The stream must fail instead.
func TestStreamWithoutPositionsIsNotRepeated(t *testing.T) {
	f := newGatewayFixture(t)
	f.addEngine("engine-2")
	f.engine.SetFaults(standin.EngineFaults{CutAfterEvents: 3, OmitPositions: true})
	resp := f.do(t, "/v1/chat/completions", streamBody(10), bearer(secretKey))
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

// A response that is not streamed must not count against the objective for the time
// to first token, because its first byte comes last. A late stream must count.
func TestOnlyStreamsCanBeLate(t *testing.T) {
	for _, stream := range []bool{true, false} {
		f := newGatewayFixture(t)
		routes := strings.Replace(fixtureRoutes, "organisations = circle", "objective_first_token = 1ms", 1)
		parsed, err := tables.Parse(tables.Source{Routes: []byte(routes), Pools: []byte(fmt.Sprintf(fixturePools, digestOf(secretKey), digestOf("key-of-other")))})
		assert.NilError(t, err)
		f.snapshot.Store(tables.NewSnapshot(2, parsed))
		f.engine.SetFaults(standin.EngineFaults{DelayMillis: 20})
		body := chatBody
		if stream {
			body = streamBody(3)
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

// When a stream is resumed, the error of the second engine must not be written into the
// stream of the first, also if it comes with status 200.
func TestErrorOfSecondEngineIsNotPartOfStream(t *testing.T) {
	for name, second := range map[string]func(w http.ResponseWriter){
		"error document": func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", "application/json")
			fmt.Fprint(w, `{"error":"SECOND"}`)
		},
		"text that looks like an event": func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", "text/plain")
			fmt.Fprint(w, "id: 3\ndata: SECOND\n\n")
		},
		"event without a position": func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", engine.ContentTypeEventStream)
			fmt.Fprint(w, "data: SECOND\n\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			handle := func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
				if requests.Add(1) > 1 {
					second(w)
					return
				}
				w.Header().Set("Content-Type", engine.ContentTypeEventStream)
				fmt.Fprint(w, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			var targets []*target.Target
			for _, id := range []string{"e-1", "e-2"} {
				e := newTarget(t, id, handle)
				e.CanResume = true
				targets = append(targets, e.Target)
			}
			r := newRouter(t, standin.NewPlatform(), targets...)
			r.serve()
			got := r.post(pathGenerate, "", streamBody(4))
			assert.Assert(t, requests.Load() >= 2)
			assert.Assert(t, strings.Contains(got.body, "two") && !strings.Contains(got.body, "SECOND"), got.body)
			assert.Assert(t, !strings.Contains(got.body, engine.EndMarker), got.body)
		})
	}
}

// A target that breaks off in the middle of the head of its answer has given none. The
// caller must not get a success, empty or short, that is framed as whole.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	for _, path := range []string{pathBook, pathLookup, pathGenerate} {
		for _, rest := range []string{"", "Content-Len", "Content-Length: 1", "Content-Length: 10\r\n", "Content-Type: text/event-stream\r\n\r"} {
			t.Run(fmt.Sprintf("%s %q", path, rest), func(t *testing.T) {
				x := newTarget(t, "x-1", func(w http.ResponseWriter, r *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					defer conn.Close()
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s", engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID), rest)
				})
				r := newRouter(t, standin.NewPlatform(), x.Target)
				r.serve()
				body := generateBody
				if path == pathGenerate {
					body = streamBody(4)
				}
				got := r.post(path, "key-1", body)
				assert.Equal(t, got.status, http.StatusBadGateway, got.body)
			})
		}
	}
}

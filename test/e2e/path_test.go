package e2e

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/test/harness"
)

// chatBody returns a streaming chat request.
func chatBody(content string, tokens int) string {
	return fmt.Sprintf(`{"model":"demo","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, content)
}

// readStream checks that a stream has exactly the tokens that a stand-in engine
// sends for body, in order, followed by the end marker.
func readStream(t *testing.T, body string, r io.Reader, tokens int) {
	t.Helper()
	reader := engine.NewEventReader(r)
	for position := uint64(1); ; position++ {
		event, err := reader.Next()
		assert.NilError(t, err, "after position %d", position-1)
		assert.Equal(t, event.Position, position)
		if event.IsEndMarker() {
			assert.Equal(t, position, uint64(tokens)+1)
			break
		}
		assert.Assert(t, strings.Contains(string(event.Data), standin.OutputToken([]byte(body), position)))
	}
	_, err := reader.Next()
	assert.Assert(t, errors.Is(err, io.EOF))
}

// Guards the path of a request through separate processes: each of two routers must
// deliver complete streams from its engines and the responses of a plain service.
func TestRequestsThroughEachRouter(t *testing.T) {
	f := harness.StartFleet(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine")
	f.StartTarget("engine-2", objectstore.RoleEngine, "engine")
	f.StartTarget("booking-1", objectstore.RoleService, "booking")
	for _, router := range []*harness.Process{f.StartReadyRouter("r1", 3), f.StartReadyRouter("r2", 3)} {
		body := chatBody("hello", 20)
		resp := f.Post(router, "/v1/chat/completions", body)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		readStream(t, body, resp.Body, 20)

		resp = f.Post(router, "/booking/slots", "slot 7")
		text, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(text), "POST /booking/slots: 6 bytes\n")
	}
}

// Guards against a stream that ends when its engine crashes: another engine must
// send the rest, without a missing or repeated event.
func TestStreamResumesAfterEngineCrash(t *testing.T) {
	f := harness.StartFleet(t)
	crashing := f.StartTarget("engine-1", objectstore.RoleEngine, "engine", "--token-interval", "5ms")
	f.StartTarget("engine-2", objectstore.RoleEngine, "engine", "--token-interval", "5ms")
	router := f.StartReadyRouter("r1", 2)
	f.SendAdminRequest(http.MethodPut, crashing.Addresses["address"], "/admin/faults", standin.EngineFaults{CrashAfterEvents: 7})
	// Several concurrent streams, so that each engine gets some.
	const streams, tokens = 8, 100
	var bodies []string
	var responses []*http.Response
	for n := range streams {
		bodies = append(bodies, chatBody(fmt.Sprint("stream ", n), tokens))
		responses = append(responses, f.Post(router, "/v1/chat/completions", bodies[n]))
	}
	for n, resp := range responses {
		readStream(t, bodies[n], resp.Body, tokens)
	}
	select {
	case <-crashing.Exited:
	default:
		t.Fatal("no stream was sent to the engine that crashes")
	}
}

// Guards against a router that interrupts running streams when it gets SIGTERM.
func TestGracefulStopCompletesStream(t *testing.T) {
	f := harness.StartFleet(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine", "--token-interval", "20ms")
	router := f.StartReadyRouter("r1", 1)
	body := chatBody("hello", 60)
	resp := f.Post(router, "/v1/chat/completions", body)
	router.Signal(t, syscall.SIGTERM)
	readStream(t, body, resp.Body, 60)
	<-router.Exited
	assert.Equal(t, router.Cmd.ProcessState.ExitCode(), 0)
}

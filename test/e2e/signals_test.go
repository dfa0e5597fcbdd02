package e2e

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/test/harness"
)

// Guards against a router that ends at once, with its requests cut, when SIGHUP
// arrives or when a supervisor repeats SIGTERM during the drain.
func TestRepeatedSignalsDoNotCutStreams(t *testing.T) {
	f := harness.StartFleet(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine", "--token-interval", "20ms")
	router := f.StartReadyRouter("r1", 1)
	body := chatBody("hello", 80)
	response := f.Post(router, "/v1/chat/completions", body)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		router.Signal(t, s)
		time.Sleep(50 * time.Millisecond)
	}
	readStream(t, body, response.Body, 80)
	<-router.Exited
	assert.Equal(t, router.Cmd.ProcessState.ExitCode(), 0)
}

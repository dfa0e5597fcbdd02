package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// The load of an engine must be updated from the headers of its responses, or it is
// as old as the last read of the state. An older report must not replace a newer
// one, invalid headers must be ignored, and callers must not get the headers.
func TestLoadFromResponses(t *testing.T) {
	server := httptest.NewServer(standin.NewEngine(standin.DefaultEngineOptions("m")).Handler())
	t.Cleanup(server.Close)
	e := &target.Target{
		ID: "e", Role: objectstore.RoleEngine, Address: server.Listener.Addr().String(), Reachable: true, Model: "m", Live: &target.LiveState{},
	}
	r := newRouter(t, standin.NewPlatform(), e)
	r.serve()
	before := time.Now()
	got := r.post(pathGenerate, testKey, generateBody)
	assert.Equal(t, got.status, http.StatusOK)
	load, observed := e.NewestLoad()
	assert.Equal(t, load, target.Load{Running: 1})
	assert.Assert(t, observed.After(before))
	assert.Equal(t, got.header.Get(engine.HeaderLoadRunning), "")

	e.Live.RecordLoad(target.Load{Running: 9}, before)
	load, _ = e.NewestLoad()
	assert.Equal(t, load.Running, 1)
	header := http.Header{}
	engine.SetLoadHeaders(header, target.Load{Running: 2, Waiting: 3, QueuedTokens: 4})
	load, ok := engine.ParseLoadHeaders(header)
	assert.Assert(t, ok)
	assert.Equal(t, load, target.Load{Running: 2, Waiting: 3, QueuedTokens: 4})
	header.Set(engine.HeaderLoadWaiting, "-1")
	_, ok = engine.ParseLoadHeaders(header)
	assert.Assert(t, !ok)
}

package daemon_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/daemon"
	"lacewingwheel.example/lacewingwheel/platform"
)

// startAgain starts a further instance as one that restarts, with the settings of x.
func (x *testDaemon) startAgain(name string) *testDaemon {
	x.t.Helper()
	sockets := newHeldSockets(x.t)
	settings := *x.settings
	settings.Instance, settings.FirstStart = name, false
	settings.CallerListen, settings.ReadyListen, settings.MetricsListen = sockets.tcpAddress(x.t), sockets.tcpAddress(x.t), sockets.tcpAddress(x.t)
	settings.GossipListen, settings.ExchangeListen = sockets.udpAddress(x.t), sockets.udpAddress(x.t)
	y := &testDaemon{t: x.t, store: x.store, targets: x.targets, settings: &settings, stopped: make(chan error, 1)}
	current := func() *daemon.Settings { return y.settings }
	ctx, cancel := context.WithCancel(context.Background())
	d := daemon.New(current, platform.New(current), hclog.NewNullLogger())
	d.UseSockets(sockets.listen, sockets.listenPacket)
	go func() { y.stopped <- d.Run(ctx) }()
	x.t.Cleanup(func() { cancel(); <-y.stopped })
	y.waitFor("ready", func() bool { return y.readyStatus() == http.StatusOK })
	return y
}

// A restore of the store undoes the revocation of a key until the operators write it again. No
// instance may accept the key meanwhile, not even one that starts then, and all must stay ready
// with the configuration that the store does not have.
func TestKeyStaysRevokedAcrossARestore(t *testing.T) {
	instances, _ := startTwoDaemons(t)
	x := instances[0]
	x.store.SetEra(1)
	saved := x.store.Copy()
	revoked, valid := x.apiKeys[0], "key-2"
	x.apiKeys = []string{valid}
	x.putConfiguration("/stream/")
	for _, y := range instances {
		y.waitFor("the revoked key is refused", func() bool { return y.sendStatus("/stream/", revoked) == http.StatusUnauthorized })
	}
	rewrite := x.store.Restore(saved)
	all := instances[:]
	hold := func(d time.Duration) {
		t.Helper()
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for _, y := range all {
				assert.Equal(t, y.sendStatus("/stream/", revoked), http.StatusUnauthorized, "%s", y.settings.Instance)
				// An instance that starts has no tokens at first.
				status := y.sendStatus("/stream/", valid)
				assert.Assert(t, status == http.StatusOK || status == http.StatusTooManyRequests, "%s: %d", y.settings.Instance, status)
				assert.Equal(t, y.readyStatus(), http.StatusOK, "%s", y.settings.Instance)
			}
		}
	}
	hold(time.Second)
	all = append(all, x.startAgain("edge-3"))
	hold(x.settings.MaxRevocationDelay + time.Second)
	rewrite()
	hold(time.Second)
	x.apiKeys = []string{"key-3"}
	x.putConfiguration("/stream/")
	for _, y := range all {
		y.waitFor("the next key is accepted", func() bool { return y.sendStatus("/stream/", "key-3") == http.StatusOK })
		y.waitFor("the key before is refused", func() bool { return y.sendStatus("/stream/", valid) == http.StatusUnauthorized })
	}
}

package harness

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lacewingwheel.example/lacewingwheel/pkg/certs"
	"lacewingwheel.example/lacewingwheel/pkg/certs/certstest"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
	"lacewingwheel.example/lacewingwheel/pkg/server"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// RouterOptions describe a router.
type RouterOptions struct {
	ID              string
	Authority       *certstest.Authority // signs the router's certificate
	PlatformAddress string               // default: the fleet's platform
	PeerListen      string               // default: a port chosen by the kernel
	Seeds           []string
	ServerSettings  string            // settings lines of the section [server]
	TLSSettings     map[string]string // additional settings of the section [tls]
}

const routerSettingsFormat = `[instance]
id = %s
zone = a
caller_listen = 127.0.0.1:0
operator_listen = 127.0.0.1:0
peer_listen = %s

[platform]
address = http://%s

[peers]
%s

[server]
%s

[tls]
`

// StartRouter starts a router and waits until it is listening, not until it is
// ready.
func (f *Fleet) StartRouter(o RouterOptions) *Process {
	f.T.Helper()
	if o.PlatformAddress == "" {
		o.PlatformAddress = f.Platform.Addresses["address"]
	}
	if o.PeerListen == "" {
		o.PeerListen = "127.0.0.1:0"
	}
	files := o.Authority.Issue(o.ID)
	seeds := ""
	if len(o.Seeds) > 0 {
		seeds = "seeds = " + strings.Join(o.Seeds, ", ")
	}
	text := fmt.Sprintf(routerSettingsFormat, o.ID, o.PeerListen, o.PlatformAddress, seeds, o.ServerSettings)
	text += fmt.Sprintf("peer_cert = %s\npeer_key = %s\npeer_ca = %s\n", files.Cert, files.Key, o.Authority.CertFile)
	for key, value := range o.TLSSettings {
		text += key + " = " + value + "\n"
	}
	path := filepath.Join(f.T.TempDir(), o.ID+".ini")
	assert.NilError(f.T, os.WriteFile(path, []byte(text), 0o600))
	return StartProcess(f.T, "lacewingwheel", "serve", "--settings", path)
}

// UnusedAddress returns an address on which no process listens, so that
// connections to it are refused.
func UnusedAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

var statusClient = &http.Client{Timeout: 2 * time.Second}

// ReadStatus gets the status document of a router. It fails after 2 s without a
// response.
func ReadStatus(p *Process) (server.Status, error) {
	var status server.Status
	resp, err := statusClient.Get("http://" + p.Addresses["operator"] + "/status.json")
	if err != nil {
		return status, err
	}
	defer resp.Body.Close()
	return status, json.NewDecoder(resp.Body).Decode(&status)
}

// WaitStatus waits until holds returns true for the status of a router, and
// returns that status. After limit the test fails; condition is the text for its
// message, which begins with "not".
func WaitStatus(t testing.TB, p *Process, limit time.Duration, condition string, holds func(server.Status) bool) server.Status {
	t.Helper()
	var last server.Status
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, err := ReadStatus(p)
		if err != nil {
			return poll.Continue("%v", err)
		}
		if last = status; holds(status) {
			return poll.Success()
		}
		return poll.Continue("not %s: %+v", condition, status)
	}, poll.WithTimeout(limit), poll.WithDelay(5*time.Millisecond))
	return last
}

// WaitReady waits until a router is ready and reaches the first of its targets.
func WaitReady(t testing.TB, p *Process) {
	t.Helper()
	WaitStatus(t, p, 20*time.Second, "ready with its target", func(s server.Status) bool {
		return s.Ready && len(s.Targets) > 0 && s.Targets[0].Reachable
	})
}

// WaitGeneration waits until a router has exactly this configuration generation
// in force.
func WaitGeneration(t testing.TB, p *Process, generation uint64, limit time.Duration) {
	t.Helper()
	WaitStatus(t, p, limit, fmt.Sprint("at generation ", generation), func(s server.Status) bool { return s.Generation == generation })
}

// WaitPeers waits until a router has exchanged messages with at least the given
// number of peers.
func WaitPeers(t testing.TB, p *Process, peers int) {
	t.Helper()
	WaitStatus(t, p, 20*time.Second, "in contact with its peers", func(s server.Status) bool {
		contacted := 0
		for _, remote := range s.Peers {
			if remote.Incarnation != "" {
				contacted++
			}
		}
		return contacted >= peers
	})
}

// SetPlatformDown makes the platform refuse all calls, or serve them again.
func (f *Fleet) SetPlatformDown(down bool) {
	f.T.Helper()
	f.SendAdminRequest(http.MethodPut, f.Platform.Addresses["address"], "/admin/faults", standin.PlatformFaults{Down: down})
}

// PoolsWithKey returns the pools table in which key is the only key of the
// organisation circle.
func PoolsWithKey(key string) string {
	return fmt.Sprintf(PoolsTableFormat, tables.FormatDigest(tables.HashKey(key)))
}

// StartFakePeer starts a peer transport in the test process that answers with the
// handlers of registry and has a certificate signed by authority.
func StartFakePeer(t testing.TB, authority *certstest.Authority, registry *peer.Registry) *peer.Transport {
	t.Helper()
	files := authority.Issue("fake")
	pair, err := certs.LoadKeyPair(files.Cert, files.Key, hclog.NewNullLogger())
	assert.NilError(t, err)
	caBundle, err := certs.LoadCABundle(authority.CertFile, hclog.NewNullLogger())
	assert.NilError(t, err)
	transport, err := peer.Listen("127.0.0.1:0", &peer.Identity{KeyPair: pair, CABundle: caBundle}, registry, hclog.NewNullLogger())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = transport.Close() })
	go transport.Serve()
	return transport
}

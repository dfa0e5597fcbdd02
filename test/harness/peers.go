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

// RouterOptions describe a router that talks to other instances.
type RouterOptions struct {
	ID              string
	Authority       *certstest.Authority // signs the certificate of the router
	PlatformAddress string               // default: the fleet's
	PeerListen      string               // for peers; default: a port from the kernel
	Seeds           []string
	ServerSettings  string            // lines of the section [server]
	TLSSettings     map[string]string // more keys of the section [tls]
}

const peerSettingsText = `[instance]
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

// StartRouter starts a router with peers and does not wait until it is ready.
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
	text := fmt.Sprintf(peerSettingsText, o.ID, o.PeerListen, o.PlatformAddress, seeds, o.ServerSettings)
	text += fmt.Sprintf("peer_cert = %s\npeer_key = %s\npeer_ca = %s\n", files.Cert, files.Key, o.Authority.CertFile)
	for key, value := range o.TLSSettings {
		text += key + " = " + value + "\n"
	}
	path := filepath.Join(f.T.TempDir(), o.ID+".ini")
	assert.NilError(f.T, os.WriteFile(path, []byte(text), 0o600))
	return StartProcess(f.T, "lacewingwheel", "serve", "--settings", path)
}

// UnusedAddress returns an address that refuses connections.
func UnusedAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

var statusClient = &http.Client{Timeout: 2 * time.Second}

// ReadStatus reads the status of a router.
func ReadStatus(p *Process) (server.Status, error) {
	var status server.Status
	resp, err := statusClient.Get("http://" + p.Addresses["operator"] + "/status.json")
	if err != nil {
		return status, err
	}
	defer resp.Body.Close()
	return status, json.NewDecoder(resp.Body).Decode(&status)
}

// WaitStatus waits until the status of a router fulfils a condition.
func WaitStatus(t testing.TB, p *Process, limit time.Duration, what string, done func(server.Status) bool) server.Status {
	t.Helper()
	var last server.Status
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, err := ReadStatus(p)
		if err != nil {
			return poll.Continue("%v", err)
		}
		if last = status; done(status) {
			return poll.Success()
		}
		return poll.Continue("not %s: %+v", what, status)
	}, poll.WithTimeout(limit), poll.WithDelay(5*time.Millisecond))
	return last
}

// WaitReady waits until a router is ready and reaches a target.
func WaitReady(t testing.TB, p *Process) {
	t.Helper()
	WaitStatus(t, p, 20*time.Second, "ready with its target", func(s server.Status) bool {
		return s.Ready && len(s.Targets) > 0 && s.Targets[0].Reachable
	})
}

// WaitGeneration waits until a router has a generation in force.
func WaitGeneration(t testing.TB, p *Process, generation uint64, limit time.Duration) {
	t.Helper()
	WaitStatus(t, p, limit, fmt.Sprint("at generation ", generation), func(s server.Status) bool { return s.Generation == generation })
}

// WaitPeers waits until an instance has had contact with as many others.
func WaitPeers(t testing.TB, p *Process, peers int) {
	t.Helper()
	WaitStatus(t, p, 20*time.Second, "the peers are not known", func(s server.Status) bool {
		contacts := 0
		for _, other := range s.Peers {
			if other.Incarnation != "" {
				contacts++
			}
		}
		return contacts >= peers
	})
}

// SetPlatformDown takes the platform down or brings it back.
func (f *Fleet) SetPlatformDown(down bool) {
	f.T.Helper()
	f.SendAdminRequest(http.MethodPut, f.Platform.Addresses["address"], "/admin/faults", standin.PlatformFaults{Down: down})
}

// PoolsWithKey returns the pools table with one key of the organisation.
func PoolsWithKey(key string) string {
	return fmt.Sprintf(PoolsTableFormat, tables.FormatDigest(tables.HashKey(key)))
}

// StartFakePeer is an endpoint of the test itself with a certificate of the authority.
func StartFakePeer(t testing.TB, authority *certstest.Authority, registry *peer.Registry) *peer.Transport {
	t.Helper()
	files := authority.Issue("fake")
	pair, err := certs.LoadKeyPair(files.Cert, files.Key, hclog.NewNullLogger())
	assert.NilError(t, err)
	trusted, err := certs.LoadCABundle(authority.CertFile, hclog.NewNullLogger())
	assert.NilError(t, err)
	transport, err := peer.Listen("127.0.0.1:0", &peer.Identity{KeyPair: pair, CABundle: trusted}, registry, hclog.NewNullLogger())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = transport.Close() })
	go transport.Serve()
	return transport
}

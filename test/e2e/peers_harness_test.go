package e2e

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

// peerOptions describe a router that talks to other instances.
type peerOptions struct {
	id        string
	authority *certstest.Authority // signs the certificate of the router
	platform  string               // default: the fleet's
	listen    string               // for peers; default: a port from the kernel
	seeds     []string
	server    string            // lines of the section [server]
	tls       map[string]string // more keys of the section [tls]
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

// peerRouter starts a router with peers and does not wait until it is ready.
func (f *fleet) peerRouter(o peerOptions) *process {
	f.t.Helper()
	if o.platform == "" {
		o.platform = f.platform.addresses["address"]
	}
	if o.listen == "" {
		o.listen = "127.0.0.1:0"
	}
	files := o.authority.Issue(o.id)
	seeds := ""
	if len(o.seeds) > 0 {
		seeds = "seeds = " + strings.Join(o.seeds, ", ")
	}
	text := fmt.Sprintf(peerSettingsText, o.id, o.listen, o.platform, seeds, o.server)
	text += fmt.Sprintf("peer_cert = %s\npeer_key = %s\npeer_ca = %s\n", files.Cert, files.Key, o.authority.File)
	for key, value := range o.tls {
		text += key + " = " + value + "\n"
	}
	path := filepath.Join(f.t.TempDir(), o.id+".ini")
	assert.NilError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return start(f.t, "lacewingwheel", "serve", "--settings", path)
}

// closedPort returns an address that refuses connections.
func closedPort(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

var statusClient = &http.Client{Timeout: 2 * time.Second}

func readStatus(p *process) (server.Status, error) {
	var status server.Status
	resp, err := statusClient.Get("http://" + p.addresses["operator"] + "/status.json")
	if err != nil {
		return status, err
	}
	defer resp.Body.Close()
	return status, json.NewDecoder(resp.Body).Decode(&status)
}

// waitStatus waits until the status of a router fulfils a condition.
func waitStatus(t testing.TB, p *process, limit time.Duration, what string, done func(server.Status) bool) server.Status {
	t.Helper()
	var last server.Status
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, err := readStatus(p)
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

func waitReady(t testing.TB, p *process) {
	t.Helper()
	waitStatus(t, p, 20*time.Second, "ready with its target", func(s server.Status) bool {
		return s.Ready && len(s.Targets) > 0 && s.Targets[0].Reachable
	})
}

func waitGeneration(t testing.TB, p *process, generation uint64, limit time.Duration) {
	t.Helper()
	waitStatus(t, p, limit, fmt.Sprint("at generation ", generation), func(s server.Status) bool { return s.Generation == generation })
}

// waitPeers waits until an instance has had contact with as many others.
func waitPeers(t testing.TB, p *process, peers int) {
	t.Helper()
	waitStatus(t, p, 20*time.Second, "the peers are not known", func(s server.Status) bool {
		contacts := 0
		for _, other := range s.Peers {
			if other.Incarnation != "" {
				contacts++
			}
		}
		return contacts >= peers
	})
}

// outage takes the platform down or brings it back.
func (f *fleet) outage(down bool) {
	f.t.Helper()
	f.admin(http.MethodPut, f.platform.addresses["address"], "/admin/faults", standin.PlatformFaults{Down: down})
}

// poolsWithKey returns the pools table with one key of the organisation.
func poolsWithKey(key string) string {
	return fmt.Sprintf(testPools, tables.FormatDigest(tables.DigestKey(key)))
}

// fakePeer is an endpoint of the test itself with a certificate of the authority.
func fakePeer(t testing.TB, authority *certstest.Authority, registry *peer.Registry) *peer.Transport {
	t.Helper()
	files := authority.Issue("fake")
	pair, err := certs.LoadPair(files.Cert, files.Key, hclog.NewNullLogger())
	assert.NilError(t, err)
	trusted, err := certs.LoadAuthority(authority.File, hclog.NewNullLogger())
	assert.NilError(t, err)
	transport, err := peer.Listen("127.0.0.1:0", &peer.Identity{Pair: pair, Authority: trusted}, registry, hclog.NewNullLogger())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = transport.Close() })
	go transport.Serve()
	return transport
}

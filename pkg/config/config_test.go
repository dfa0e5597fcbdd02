package config

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const validSettings = `[instance]
id = r1
zone = a
caller_listen = 0.0.0.0:8443
operator_listen = 10.0.0.1:8444
peer_listen = 0.0.0.0:7443
peer_address = 10.0.0.1:7443

[platform]
address = https://10.0.0.9:7000

[peers]
seeds = 10.0.0.2:7443, 10.0.0.3:7443

[tls]
caller_cert = caller.pem
caller_key = caller.key
peer_cert = peer.pem
peer_key = peer.key
peer_ca = ca.pem

[server]
ready_grace = 5s
`

// Every key must set its own field of Settings, and a missing key the default.
// Otherwise a process listens on the wrong address or uses the wrong file.
func TestParse(t *testing.T) {
	s, err := Parse("s.ini", []byte(validSettings))
	assert.NilError(t, err)
	assert.DeepEqual(t, s, &Settings{
		Instance: Instance{"r1", "a", "0.0.0.0:8443", "10.0.0.1:8444", "0.0.0.0:7443", "10.0.0.1:7443"},
		Platform: Platform{"https://10.0.0.9:7000"},
		Peers:    Peers{[]string{"10.0.0.2:7443", "10.0.0.3:7443"}},
		TLS:      TLS{CallerCert: "caller.pem", CallerKey: "caller.key", PeerCert: "peer.pem", PeerKey: "peer.key", PeerCA: "ca.pem"},
		Server:   Server{DrainTimeout: 2 * time.Minute, ReadyGrace: 5 * time.Second},
	})
}

// Settings with these mistakes must be refused. Otherwise a process starts and
// fails later, or runs without TLS or without messages between instances and
// logs nothing about it.
func TestParseReportsEveryMistake(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"no id", "id = r1\n", "", "s.ini:1: [instance] id: the key is missing; add a line id = 1 to 63 letters"},
		{"no platform", "[platform]\naddress = https://10.0.0.9:7000\n", "", "s.ini: [platform] address: the key is missing; add a line address = http://ip:port"},
		{"host name", "0.0.0.0:8443", "localhost:8443", `s.ini:4: [instance] caller_listen: "localhost:8443" is not ip:port`},
		{"no port", "10.0.0.1:8444", "10.0.0.1", `"10.0.0.1" is not ip:port`},
		{"same listener", "10.0.0.1:8444", "10.0.0.1:8443", "s.ini:5: [instance] operator_listen: the address collides with caller_listen"},
		{"unspecified peer address", "peer_address = 10.0.0.1:7443", "peer_address = 0.0.0.0:7443", "other instances cannot connect to 0.0.0.0:7443"},
		{"no peer address", "peer_address = 10.0.0.1:7443\n", "", "other instances cannot connect to 0.0.0.0; add peer_address"},
		{"platform by host name", "https://10.0.0.9:7000", "https://platform:7000", `"platform:7000" is not ip:port`},
		{"platform without scheme", "https://10.0.0.9:7000", "10.0.0.9:7000", "is not an http or https URL"},
		{"platform with path", ":7000", ":7000/", "more than a scheme, address and port"},
		{"seed with port 0", "10.0.0.3:7443", "10.0.0.3:0", "other instances cannot connect to 10.0.0.3:0"},
		{"seed twice", "10.0.0.3", "10.0.0.2", `the list has "10.0.0.2:7443" twice`},
		{"certificate without key", "caller_key = caller.key\n", "", "s.ini:16: [tls] caller_cert: caller_key is missing"},
		{"key without certificate", "caller_cert = caller.pem\n", "", "caller_key: caller_cert is missing"},
		{"no CA file", "peer_ca = ca.pem\n", "", "peer_cert: peer_ca is missing; set peer_cert, peer_key and peer_ca, or none of them"},
		{"peer listener without certificate files", "peer_cert = peer.pem\npeer_key = peer.key\npeer_ca = ca.pem\n", "", "peer_listen: messages between instances need mutual TLS"},
		{"seeds without listener", "peer_listen = 0.0.0.0:7443\n", "", "[peers] seeds: the key has no effect without peer_listen"},
		{"drain timeout", "ready_grace = 5s", "drain_timeout = 0s", "drain_timeout: 0s is out of range"},
		{"unknown key", "ready_grace", "readygrace", `the nearest known key is "ready_grace"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("s.ini", []byte(strings.Replace(validSettings, tt.old, tt.new, 1)))
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

// Operators must find every key that they can set in docs/configuration.md.
func TestKeysAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/configuration.md")
	assert.NilError(t, err)
	for _, spec := range sectionSpecs(&Settings{}) {
		assert.Assert(t, strings.Contains(string(page), "### `["+spec.keyword+"]`"), "docs/configuration.md lacks section [%s]", spec.keyword)
		for _, field := range spec.fields {
			assert.Assert(t, strings.Contains(string(page), "`"+field.Key+"`"), "docs/configuration.md lacks key %s", field.Key)
		}
	}
}

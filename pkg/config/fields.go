package config

import (
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

// Sections of the settings.
const (
	sectionInstance = "instance"
	sectionPlatform = "platform"
	sectionPeers    = "peers"
	sectionTLS      = "tls"
	sectionServer   = "server"
)

// Keys that checks refer to.
const (
	keyCallerListen   = "caller_listen"
	keyOperatorListen = "operator_listen"
	keyPeerListen     = "peer_listen"
	keyPeerAddress    = "peer_address"
	keySeeds          = "seeds"
	keyPeerCert       = "peer_cert"
	keyPeerKey        = "peer_key"
	keyPeerCA         = "peer_ca"
)

const (
	defaultDrainTimeout = 2 * time.Minute
	// minDrainTimeout: a shorter wait cuts off requests on every stop.
	minDrainTimeout = 100 * time.Millisecond
	maxDrainTimeout = 24 * time.Hour
	maxReadyGrace   = 10 * time.Minute
)

// group is a section with its fields.
type group struct {
	word   string
	fields []inifile.Field
}

func groups(s *Settings) []group {
	return []group{
		{sectionInstance, []inifile.Field{
			inifile.Text("id", &s.Instance.ID, nameRule),
			inifile.Text("zone", &s.Instance.Zone, nameRule),
			inifile.Text(keyCallerListen, &s.Instance.CallerListen, requiredListenRule),
			inifile.Text(keyOperatorListen, &s.Instance.OperatorListen, requiredListenRule),
			inifile.Text(keyPeerListen, &s.Instance.PeerListen, listenRule),
			inifile.Text(keyPeerAddress, &s.Instance.PeerAddress, contactRule),
		}},
		{sectionPlatform, []inifile.Field{
			inifile.Text("address", &s.Platform.Address, platformRule),
		}},
		{sectionPeers, []inifile.Field{
			inifile.List(keySeeds, &s.Peers.Seeds, seedsRule),
		}},
		{sectionTLS, []inifile.Field{
			inifile.Text("caller_cert", &s.TLS.CallerCert, fileRule),
			inifile.Text("caller_key", &s.TLS.CallerKey, fileRule),
			inifile.Text("operator_cert", &s.TLS.OperatorCert, fileRule),
			inifile.Text("operator_key", &s.TLS.OperatorKey, fileRule),
			inifile.Text(keyPeerCert, &s.TLS.PeerCert, fileRule),
			inifile.Text(keyPeerKey, &s.TLS.PeerKey, fileRule),
			inifile.Text(keyPeerCA, &s.TLS.PeerCA, fileRule),
		}},
		{sectionServer, []inifile.Field{
			inifile.Duration("drain_timeout", &s.Server.DrainTimeout, inifile.Range[time.Duration]{Default: defaultDrainTimeout, Min: minDrainTimeout, Max: maxDrainTimeout}),
			inifile.Duration("ready_grace", &s.Server.ReadyGrace, inifile.Range[time.Duration]{Max: maxReadyGrace}),
		}},
	}
}

func kinds() []inifile.SectionKind {
	var kinds []inifile.SectionKind
	for _, group := range groups(&Settings{}) {
		kinds = append(kinds, inifile.SectionKind{Keyword: group.word})
	}
	return kinds
}

package config

import (
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

// Keywords of the sections.
const (
	sectionInstance = "instance"
	sectionPlatform = "platform"
	sectionPeers    = "peers"
	sectionTLS      = "tls"
	sectionServer   = "server"
)

// Keys that consistencyChecker refers to.
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
	// A drain timeout below minDrainTimeout would cut off requests on every stop.
	minDrainTimeout = 100 * time.Millisecond
	maxDrainTimeout = 24 * time.Hour
	maxReadyGrace   = 10 * time.Minute
	// An idle process takes about 25 MB and 50 descriptors.
	minMemoryLimit     = 64 << 20
	maxMemoryLimit     = 1 << 40
	minDescriptorLimit = 256
	maxDescriptorLimit = 1 << 20
)

// sectionSpec lists the fields of a section.
type sectionSpec struct {
	keyword string
	fields  []inifile.Field
}

// sectionSpecs returns all sections, with fields that set the variables of s.
func sectionSpecs(s *Settings) []sectionSpec {
	return []sectionSpec{
		{sectionInstance, []inifile.Field{
			inifile.Text("id", &s.Instance.ID, nameRule),
			inifile.Text("zone", &s.Instance.Zone, nameRule),
			inifile.Text(keyCallerListen, &s.Instance.CallerListen, requiredListenAddressRule),
			inifile.Text(keyOperatorListen, &s.Instance.OperatorListen, requiredListenAddressRule),
			inifile.Text(keyPeerListen, &s.Instance.PeerListen, listenAddressRule),
			inifile.Text(keyPeerAddress, &s.Instance.PeerAddress, connectAddressRule),
		}},
		{sectionPlatform, []inifile.Field{
			inifile.Text("address", &s.Platform.Address, platformAddressRule),
		}},
		{sectionPeers, []inifile.Field{
			inifile.List(keySeeds, &s.Peers.Seeds, seedsRule),
		}},
		{sectionTLS, []inifile.Field{
			inifile.Text("caller_cert", &s.TLS.CallerCert, pemFileRule),
			inifile.Text("caller_key", &s.TLS.CallerKey, pemFileRule),
			inifile.Text("operator_cert", &s.TLS.OperatorCert, pemFileRule),
			inifile.Text("operator_key", &s.TLS.OperatorKey, pemFileRule),
			inifile.Text(keyPeerCert, &s.TLS.PeerCert, pemFileRule),
			inifile.Text(keyPeerKey, &s.TLS.PeerKey, pemFileRule),
			inifile.Text(keyPeerCA, &s.TLS.PeerCA, pemFileRule),
		}},
		{sectionServer, []inifile.Field{
			inifile.Duration("drain_timeout", &s.Server.DrainTimeout, inifile.Range[time.Duration]{Default: defaultDrainTimeout, Min: minDrainTimeout, Max: maxDrainTimeout}),
			inifile.Duration("ready_grace", &s.Server.ReadyGrace, inifile.Range[time.Duration]{Max: maxReadyGrace}),
			inifile.Size("memory_limit", &s.Server.MemoryLimit, inifile.Range[int64]{Min: minMemoryLimit, Max: maxMemoryLimit}),
			inifile.Int("descriptor_limit", &s.Server.DescriptorLimit, inifile.Range[int]{Min: minDescriptorLimit, Max: maxDescriptorLimit}),
		}},
	}
}

func sectionKinds() []inifile.SectionKind {
	var kinds []inifile.SectionKind
	for _, spec := range sectionSpecs(&Settings{}) {
		kinds = append(kinds, inifile.SectionKind{Keyword: spec.keyword})
	}
	return kinds
}

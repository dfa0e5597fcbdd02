package server

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"lacewingwheel.example/lacewingwheel/pkg/certs"
	"lacewingwheel.example/lacewingwheel/pkg/config"
	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// peerNetwork sends requests to other instances and serves theirs.
type peerNetwork struct {
	transport               *peer.Transport
	registry                *peer.Registry // message handlers; complete before run
	tracker                 *control.PeerTracker
	configurationReplicator *control.ConfigurationReplicator
	targetStateReplicator   *control.TargetStateReplicator
}

// errIncompletePeerSettings means that some of the settings for peers are missing.
var errIncompletePeerSettings = errors.New("[instance] peer_listen and [tls] peer_cert, peer_key and peer_ca: give all four, or none to run without peers")

// peersConfigured reports whether the settings for peers are given. It returns
// errIncompletePeerSettings if only some are.
func peersConfigured(s *config.Settings) (bool, error) {
	given := 0
	values := []string{s.Instance.PeerListen, s.TLS.PeerCert, s.TLS.PeerKey, s.TLS.PeerCA}
	for _, value := range values {
		if value != "" {
			given++
		}
	}
	if given != 0 && given != len(values) {
		return false, errIncompletePeerSettings
	}
	return given > 0, nil
}

// newPeerNetwork opens the socket for peers and connects the controllers to it.
// Errors name the setting to change.
func newPeerNetwork(settings *config.Settings, incarnation string, configuration *control.ConfigurationController, instanceList *control.InstanceListCache, log hclog.Logger) (*peerNetwork, error) {
	identity, err := loadIdentity(settings, log)
	if err != nil {
		return nil, err
	}
	p := &peerNetwork{registry: peer.NewRegistry()}
	p.transport, err = peer.Listen(settings.Instance.PeerListen, identity, p.registry, log.Named("peer"))
	if err != nil {
		return nil, eris.Wrap(err, "peer_listen: choose another address or end the process that uses it")
	}
	address, err := peerAddress(settings, p.transport)
	if err != nil {
		return nil, errors.Join(err, p.transport.Close())
	}
	p.tracker = &control.PeerTracker{
		Self: control.InstanceIdentity{
			ID: settings.Instance.ID, Zone: settings.Instance.Zone, Address: address, Incarnation: incarnation,
		},
		Seeds: settings.Peers.Seeds, Transport: p.transport,
		Generation: configuration.Generation, Log: log.Named("instances"),
	}
	p.configurationReplicator = control.NewConfigurationReplicator(configuration, p.tracker, p.transport, log.Named("spread"))
	p.connectControllers(configuration, instanceList)
	return p, nil
}

// connectControllers connects the controllers with each other and registers their
// message handlers.
func (p *peerNetwork) connectControllers(configuration *control.ConfigurationController, instanceList *control.InstanceListCache) {
	instanceList.Caller, instanceList.Peers = p.transport, p.tracker.RandomPeers
	instanceList.PeersReadPlatform, configuration.PeersReadPlatform = p.tracker.PeersReadPlatform, p.tracker.PeersReadPlatform
	instanceList.OnChange(p.tracker.MergeInstanceList)
	p.tracker.OnContact(instanceList.NotifyContact)
	configuration.OnChange(func(*tables.Snapshot, *control.AcceptedConfiguration) { p.configurationReplicator.NotifyChanged() })
	p.tracker.Register(p.registry)
	p.configurationReplicator.Register(p.registry)
	instanceList.Register(p.registry)
	p.tracker.MergeInstanceList(nil)
}

// loadIdentity loads the certificate of this instance and the authority that signs
// the certificates of peers.
func loadIdentity(settings *config.Settings, log hclog.Logger) (*peer.Identity, error) {
	pair, err := certs.LoadKeyPair(settings.TLS.PeerCert, settings.TLS.PeerKey, log.Named("certs"))
	if err != nil {
		return nil, eris.Wrap(err, "[tls] peer_cert: give a certificate and its key in PEM")
	}
	authority, err := certs.LoadCABundle(settings.TLS.PeerCA, log.Named("certs"))
	if err != nil {
		return nil, eris.Wrap(err, "[tls] peer_ca: give the authority's certificate in PEM")
	}
	return &peer.Identity{KeyPair: pair, CABundle: authority}, nil
}

// peerAddress returns the address at which other instances reach this one.
func peerAddress(settings *config.Settings, transport *peer.Transport) (string, error) {
	if settings.Instance.PeerAddress != "" {
		return settings.Instance.PeerAddress, nil
	}
	host, _, err := net.SplitHostPort(transport.Address())
	if err != nil {
		return "", err
	}
	if ip := net.ParseIP(host); ip == nil || ip.IsUnspecified() {
		return "", fmt.Errorf("peer_listen %s names no address of this instance: set peer_address to the one that other instances use", settings.Instance.PeerListen)
	}
	return transport.Address(), nil
}

// run replicates configurations until ctx ends. Requests of peers are served until
// the transport is closed.
func (p *peerNetwork) run(ctx context.Context) {
	go p.transport.Serve()
	p.configurationReplicator.Run(ctx)
}

// failingCount returns the number of peers that did not answer the last request.
func (p *peerNetwork) failingCount() int {
	n := 0
	for _, other := range p.tracker.PeerSet().Peers {
		if !other.FailedSince.IsZero() {
			n++
		}
	}
	return n
}

// servingCount returns the number of peers that answer and are not leaving.
func (p *peerNetwork) servingCount() int {
	n := 0
	for _, other := range p.tracker.PeerSet().Peers {
		if other.Incarnation != "" && other.FailedSince.IsZero() && !other.Leaving {
			n++
		}
	}
	return n
}

// incarnationEnded reports whether a peer is known under another incarnation, so
// that no request of the given incarnation can still be running.
func (s *Server) incarnationEnded(instance, incarnation string) bool {
	if s.peers == nil {
		return false
	}
	for _, other := range s.peers.tracker.PeerSet().Peers {
		if other.ID == instance && other.Incarnation != "" {
			return other.Incarnation != incarnation
		}
	}
	return false
}

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

// peers is the part of a router that talks to other instances.
type peers struct {
	transport *peer.Transport
	registry  *peer.Registry // other parts register their messages before Run
	instances *control.PeerTracker
	spread    *control.ConfigurationReplicator
	targets   *control.TargetStateReplicator
}

// errPeerSettings means that only some of the settings for peers are given.
var errPeerSettings = errors.New("[instance] peer_listen and [tls] peer_cert, peer_key and peer_ca: give all four, or none to run without peers")

// peersWanted reports whether the settings ask for peers.
func peersWanted(s *config.Settings) (bool, error) {
	given := 0
	values := []string{s.Instance.PeerListen, s.TLS.PeerCert, s.TLS.PeerKey, s.TLS.PeerCA}
	for _, value := range values {
		if value != "" {
			given++
		}
	}
	if given != 0 && given != len(values) {
		return false, errPeerSettings
	}
	return given > 0, nil
}

// newPeers opens the socket for peers and connects the controllers to it.
func newPeers(settings *config.Settings, incarnation string, configuration *control.ConfigurationController, listing *control.InstanceListCache, log hclog.Logger) (*peers, error) {
	identity, err := loadIdentity(settings, log)
	if err != nil {
		return nil, err
	}
	p := &peers{registry: peer.NewRegistry()}
	p.transport, err = peer.Listen(settings.Instance.PeerListen, identity, p.registry, log.Named("peer"))
	if err != nil {
		return nil, eris.Wrap(err, "peer_listen: choose another address or end the process that uses it")
	}
	address, err := peerAddress(settings, p.transport)
	if err != nil {
		return nil, errors.Join(err, p.transport.Close())
	}
	p.instances = &control.PeerTracker{
		Self: control.InstanceIdentity{
			ID: settings.Instance.ID, Zone: settings.Instance.Zone, Address: address, Incarnation: incarnation,
		},
		Seeds: settings.Peers.Seeds, Transport: p.transport,
		Generation: configuration.Generation, Log: log.Named("instances"),
	}
	p.spread = control.NewConfigurationReplicator(configuration, p.instances, p.transport, log.Named("spread"))
	p.connect(configuration, listing)
	return p, nil
}

// connect registers the controllers with each other.
func (p *peers) connect(configuration *control.ConfigurationController, listing *control.InstanceListCache) {
	listing.Caller, listing.Peers = p.transport, p.instances.RandomPeers
	listing.PeersReadPlatform, configuration.PeersReadPlatform = p.instances.PeersReadPlatform, p.instances.PeersReadPlatform
	listing.OnChange(p.instances.MergeInstanceList)
	p.instances.OnContact(listing.NotifyContact)
	configuration.OnChange(func(*tables.Snapshot, *control.AcceptedConfiguration) { p.spread.NotifyChanged() })
	p.instances.Register(p.registry)
	p.spread.Register(p.registry)
	listing.Register(p.registry)
	p.instances.MergeInstanceList(nil)
}

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

// peerAddress returns the address that other instances use.
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

// run spreads configurations until ctx ends. Requests of peers are answered
// until the transport is closed.
func (p *peers) run(ctx context.Context) {
	go p.transport.Serve()
	p.spread.Run(ctx)
}

// failing returns the number of peers that did not answer the last time.
func (p *peers) failing() int {
	n := 0
	for _, other := range p.instances.PeerSet().Peers {
		if !other.FailedSince.IsZero() {
			n++
		}
	}
	return n
}

// serving returns the number of peers that answer and are not leaving.
func (p *peers) serving() int {
	n := 0
	for _, other := range p.instances.PeerSet().Peers {
		if other.Incarnation != "" && other.FailedSince.IsZero() && !other.Leaving {
			n++
		}
	}
	return n
}

// incarnationEnded reports whether another incarnation of an instance has
// answered since, so that a request of the old one cannot still be running.
func (s *Server) incarnationEnded(instance, incarnation string) bool {
	if s.peers == nil {
		return false
	}
	for _, other := range s.peers.instances.PeerSet().Peers {
		if other.ID == instance && other.Incarnation != "" {
			return other.Incarnation != incarnation
		}
	}
	return false
}

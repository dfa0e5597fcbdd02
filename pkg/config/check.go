package config

import (
	"fmt"
	"net/netip"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

// checker checks keys against each other.
type checker struct {
	settings *Settings
	sections map[string]*inifile.Section
}

func (c checker) check() {
	c.checkPair("caller_cert", "caller_key")
	c.checkPair("operator_cert", "operator_key")
	c.checkListeners()
	c.checkPeerFiles()
	c.checkPeers()
}

// checkPair reports a certificate without its key and the reverse. The
// listener would otherwise speak plain HTTP without notice.
func (c checker) checkPair(cert, key string) {
	tls := c.sections[sectionTLS]
	if tls.Has(cert) == tls.Has(key) {
		return
	}
	given, missing := cert, key
	if tls.Has(key) {
		given, missing = key, cert
	}
	tls.Report(given, fmt.Sprintf("%s is missing", missing), fmt.Sprintf("add %s, or remove %s", missing, given))
}

// checkListeners reports equal addresses. Both listeners use TCP; the one for
// peers uses UDP and may share a port with them.
func (c checker) checkListeners() {
	instance := c.sections[sectionInstance]
	if !instance.HasValid(keyCallerListen) || !instance.HasValid(keyOperatorListen) {
		return
	}
	caller, _ := netip.ParseAddrPort(c.settings.Instance.CallerListen)
	operator, _ := netip.ParseAddrPort(c.settings.Instance.OperatorListen)
	if caller.Port() == 0 || caller.Port() != operator.Port() {
		return
	}
	if caller.Addr() == operator.Addr() || caller.Addr().IsUnspecified() || operator.Addr().IsUnspecified() {
		instance.Report(keyOperatorListen, fmt.Sprintf("the address collides with %s", keyCallerListen), "choose another port")
	}
}

func (c checker) checkPeerFiles() {
	tls := c.sections[sectionTLS]
	files := []string{keyPeerCert, keyPeerKey, keyPeerCA}
	given := ""
	for _, key := range files {
		if given == "" && tls.Has(key) {
			given = key
		}
	}
	if given == "" {
		return
	}
	for _, key := range files {
		if !tls.Has(key) {
			tls.Report(given, fmt.Sprintf("%s is missing", key), fmt.Sprintf("set %s, %s and %s, or none of them", keyPeerCert, keyPeerKey, keyPeerCA))
		}
	}
}

// checkPeers checks that the settings for messages between instances are
// complete: a listener, files for mutual TLS and an address to announce.
func (c checker) checkPeers() {
	instance, tls := c.sections[sectionInstance], c.sections[sectionTLS]
	listens, haveFiles := instance.Has(keyPeerListen), tls.Has(keyPeerCert)
	if listens && !haveFiles && !tls.Has(keyPeerKey) && !tls.Has(keyPeerCA) {
		instance.Report(keyPeerListen, "instances talk only over mutual TLS, and there are no files for it", "set peer_cert, peer_key and peer_ca in [tls], or remove peer_listen")
	}
	if !listens {
		c.reportNeedsListener(instance, keyPeerAddress)
		c.reportNeedsListener(c.sections[sectionPeers], keySeeds)
		c.reportNeedsListener(tls, keyPeerCert)
	}
	c.checkAnnounced(instance)
}

func (c checker) reportNeedsListener(section *inifile.Section, key string) {
	if section.Has(key) {
		section.Report(key, "the key has no effect without peer_listen", "set peer_listen in [instance], or remove the key")
	}
}

// checkAnnounced reports a listener on all addresses without an address that
// other instances can use.
func (c checker) checkAnnounced(instance *inifile.Section) {
	if !instance.HasValid(keyPeerListen) || instance.Has(keyPeerAddress) {
		return
	}
	address, _ := netip.ParseAddrPort(c.settings.Instance.PeerListen)
	if address.Addr().IsUnspecified() {
		instance.Report(keyPeerListen, "other instances cannot connect to "+address.Addr().String(), "add peer_address = ip:port with an address of this instance")
	}
}

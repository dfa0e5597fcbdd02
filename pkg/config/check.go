package config

import (
	"fmt"
	"net/netip"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

// consistencyChecker checks settings that depend on each other.
type consistencyChecker struct {
	settings *Settings
	sections map[string]*inifile.Section
}

func (c consistencyChecker) check() {
	c.checkCertificateAndKey("caller_cert", "caller_key")
	c.checkCertificateAndKey("operator_cert", "operator_key")
	c.checkListeners()
	c.checkPeerFiles()
	c.checkPeerSettings()
}

// checkCertificateAndKey reports a certificate without its key or a key without
// its certificate. The listener would otherwise serve plain HTTP unnoticed.
func (c consistencyChecker) checkCertificateAndKey(cert, key string) {
	tls := c.sections[sectionTLS]
	if tls.Has(cert) == tls.Has(key) {
		return
	}
	present, missing := cert, key
	if tls.Has(key) {
		present, missing = key, cert
	}
	tls.Report(present, fmt.Sprintf("%s is missing", missing), fmt.Sprintf("add %s, or remove %s", missing, present))
}

// checkListeners reports caller and operator listeners with the same address.
// Both use TCP. The peer listener uses UDP and may share a port with either.
func (c consistencyChecker) checkListeners() {
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

// checkPeerFiles reports a [tls] section with some but not all peer files.
func (c consistencyChecker) checkPeerFiles() {
	tls := c.sections[sectionTLS]
	files := []string{keyPeerCert, keyPeerKey, keyPeerCA}
	present := ""
	for _, key := range files {
		if present == "" && tls.Has(key) {
			present = key
		}
	}
	if present == "" {
		return
	}
	for _, key := range files {
		if !tls.Has(key) {
			tls.Report(present, fmt.Sprintf("%s is missing", key), fmt.Sprintf("set %s, %s and %s, or none of them", keyPeerCert, keyPeerKey, keyPeerCA))
		}
	}
}

// checkPeerSettings checks that the settings for messages between instances are
// complete: a listener, files for mutual TLS and an address to connect to.
func (c consistencyChecker) checkPeerSettings() {
	instance, tls := c.sections[sectionInstance], c.sections[sectionTLS]
	hasListener, hasCertificate := instance.Has(keyPeerListen), tls.Has(keyPeerCert)
	if hasListener && !hasCertificate && !tls.Has(keyPeerKey) && !tls.Has(keyPeerCA) {
		instance.Report(keyPeerListen, "messages between instances need mutual TLS, but no certificate files are set", "set peer_cert, peer_key and peer_ca in [tls], or remove peer_listen")
	}
	if !hasListener {
		c.reportWithoutListener(instance, keyPeerAddress)
		c.reportWithoutListener(c.sections[sectionPeers], keySeeds)
		c.reportWithoutListener(tls, keyPeerCert)
	}
	c.checkPeerAddress(instance)
}

// reportWithoutListener reports a key that is set although it has no effect
// without peer_listen. It is called if peer_listen is not set.
func (c consistencyChecker) reportWithoutListener(section *inifile.Section, key string) {
	if section.Has(key) {
		section.Report(key, "the key has no effect without peer_listen", "set peer_listen in [instance], or remove the key")
	}
}

// checkPeerAddress reports a peer listener on all addresses (0.0.0.0 or [::])
// without a peer_address that other instances can connect to.
func (c consistencyChecker) checkPeerAddress(instance *inifile.Section) {
	if !instance.HasValid(keyPeerListen) || instance.Has(keyPeerAddress) {
		return
	}
	address, _ := netip.ParseAddrPort(c.settings.Instance.PeerListen)
	if address.Addr().IsUnspecified() {
		instance.Report(keyPeerListen, "other instances cannot connect to "+address.Addr().String(), "add peer_address = ip:port with an address of this instance")
	}
}

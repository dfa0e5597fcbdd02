package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
)

// KeyPair is a certificate with its private key. It is safe for concurrent use.
type KeyPair struct {
	reloader *reloader[*tls.Certificate]
}

// LoadKeyPair reads a certificate and its key from PEM files. It fails if they
// cannot be loaded or do not match.
func LoadKeyPair(certFile, keyFile string, log hclog.Logger) (*KeyPair, error) {
	load := func() (*tls.Certificate, error) {
		pair, err := tls.LoadX509KeyPair(certFile, keyFile)
		if err != nil {
			return nil, eris.Wrapf(err, "certificate %s with key %s", certFile, keyFile)
		}
		return &pair, nil
	}
	r, err := newReloader([]string{certFile, keyFile}, load, log)
	if err != nil {
		return nil, err
	}
	return &KeyPair{reloader: r}, nil
}

// Certificate returns the pair last loaded. Changed files take effect within
// checkInterval; while they cannot be loaded, the previous pair stays in use.
func (p *KeyPair) Certificate() *tls.Certificate { return p.reloader.get() }

// CABundle is a set of trusted CA certificates. It is safe for concurrent use.
type CABundle struct {
	reloader *reloader[*x509.CertPool]
}

// LoadCABundle reads CA certificates from a PEM file. It fails if the file has none.
func LoadCABundle(file string, log hclog.Logger) (*CABundle, error) {
	load := func() (*x509.CertPool, error) {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("%s contains no certificate in PEM", file)
		}
		return pool, nil
	}
	r, err := newReloader([]string{file}, load, log)
	if err != nil {
		return nil, err
	}
	return &CABundle{reloader: r}, nil
}

// Pool returns the certificates last loaded. A changed file takes effect within
// checkInterval; while it cannot be loaded, the previous certificates stay in use.
func (a *CABundle) Pool() *x509.CertPool { return a.reloader.get() }

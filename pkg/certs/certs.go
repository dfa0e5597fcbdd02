package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
)

// KeyPair is a certificate with its private key.
type KeyPair struct {
	reloader *reloader[*tls.Certificate]
}

// LoadKeyPair reads a certificate and its key from PEM files.
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

// Certificate returns the newest pair that loaded.
func (p *KeyPair) Certificate() *tls.Certificate { return p.reloader.get() }

// CABundle is a set of certificates that sign others.
type CABundle struct {
	reloader *reloader[*x509.CertPool]
}

// LoadCABundle reads the certificates of an authority from a PEM file.
func LoadCABundle(file string, log hclog.Logger) (*CABundle, error) {
	load := func() (*x509.CertPool, error) {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("%s holds no certificate in PEM", file)
		}
		return pool, nil
	}
	r, err := newReloader([]string{file}, load, log)
	if err != nil {
		return nil, err
	}
	return &CABundle{reloader: r}, nil
}

// Pool returns the newest set that loaded.
func (a *CABundle) Pool() *x509.CertPool { return a.reloader.get() }

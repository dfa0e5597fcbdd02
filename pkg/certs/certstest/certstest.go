// Package certstest creates certificate authorities and certificates for tests.
package certstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const validity = 24 * time.Hour

// Authority is a certificate authority that issues certificates for 127.0.0.1.
type Authority struct {
	t    testing.TB
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// CertFile is the path of the CA certificate in PEM.
	CertFile string
}

// NewAuthority creates an authority. Its files are removed when the test ends.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	a := &Authority{t: t, CertFile: filepath.Join(t.TempDir(), "ca.pem")}
	template := newTemplate(t, "test authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	var der []byte
	a.key, der = newCertificate(t, template, template, nil)
	var err error
	a.cert, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	writePEM(t, a.CertFile, "CERTIFICATE", der)
	return a
}

// KeyPairFiles has the paths of a certificate and its private key in PEM.
type KeyPairFiles struct {
	Cert string
	Key  string
}

// Issue creates a certificate with the common name for servers and clients, in new
// files.
func (a *Authority) Issue(name string) KeyPairFiles {
	a.t.Helper()
	dir := a.t.TempDir()
	pair := KeyPairFiles{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	a.Renew(pair, name)
	return pair
}

// Renew replaces the files of a pair by a new key and certificate.
func (a *Authority) Renew(pair KeyPairFiles, name string) {
	a.t.Helper()
	template := newTemplate(a.t, name)
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	key, der := newCertificate(a.t, template, a.cert, a.key)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(a.t, err)
	writePEM(a.t, pair.Cert, "CERTIFICATE", der)
	writePEM(a.t, pair.Key, "PRIVATE KEY", keyDER)
}

// Pool returns a certificate pool with the CA certificate.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

func newTemplate(t testing.TB, name string) *x509.Certificate {
	t.Helper()
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	assert.NilError(t, err)
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
}

// newCertificate creates a key and a certificate for it in DER. Without a parent key
// the certificate is self-signed.
func newCertificate(t testing.TB, template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*ecdsa.PrivateKey, []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	if parentKey == nil {
		parentKey = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	assert.NilError(t, err)
	return key, der
}

func writePEM(t testing.TB, path, blockType string, der []byte) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	assert.NilError(t, os.WriteFile(path, data, 0o600))
}

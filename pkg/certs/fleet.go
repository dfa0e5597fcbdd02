package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"math/big"
	"time"

	"github.com/rotisserie/eris"
)

// The validity of generated certificates does not bound anything: a process
// makes its own at each start, and the time of day may jump on some machines.
var (
	notBefore = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC)
	notAfter  = time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC)
)

// serialBits is the size of random serial numbers.
const serialBits = 120

// InstanceCA is an authority that all instances share. Whoever can read it is an
// instance.
type InstanceCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// fleetText is the form in which a Fleet is kept.
type fleetText struct {
	Certificate []byte `json:"certificate"` // DER
	Key         []byte `json:"key"`         // PKCS #8
}

// NewInstanceCA makes an authority.
func NewInstanceCA() (*InstanceCA, error) {
	template, err := newTemplate("lacewingwheel instances")
	if err != nil {
		return nil, err
	}
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	key, der, err := sign(template, template, nil)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "certificate of the authority")
	}
	return &InstanceCA{certificate: certificate, key: key}, nil
}

// ParseInstanceCA decodes what Encode returned.
func ParseInstanceCA(text []byte) (*InstanceCA, error) {
	var t fleetText
	if err := json.Unmarshal(text, &t); err != nil {
		return nil, eris.Wrap(err, "authority of the instances")
	}
	certificate, err := x509.ParseCertificate(t.Certificate)
	if err != nil {
		return nil, eris.Wrap(err, "certificate of the authority")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(t.Key)
	if err != nil {
		return nil, eris.Wrap(err, "key of the authority")
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, eris.New("key of the authority: it is not an ECDSA key")
	}
	return &InstanceCA{certificate: certificate, key: key}, nil
}

// Encode returns the authority with its key.
func (f *InstanceCA) Encode() ([]byte, error) {
	key, err := x509.MarshalPKCS8PrivateKey(f.key)
	if err != nil {
		return nil, eris.Wrap(err, "key of the authority")
	}
	return json.Marshal(fleetText{Certificate: f.certificate.Raw, Key: key})
}

// CABundle returns the certificates to trust.
func (f *InstanceCA) CABundle() *CABundle {
	pool := x509.NewCertPool()
	pool.AddCert(f.certificate)
	return &CABundle{reloader: fixed(pool)}
}

// Issue makes a certificate with a new key for an instance.
func (f *InstanceCA) Issue(name string) (*KeyPair, error) {
	template, err := newTemplate(name)
	if err != nil {
		return nil, err
	}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, der, err := sign(template, f.certificate, f.key)
	if err != nil {
		return nil, err
	}
	return &KeyPair{reloader: fixed(&tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key})}, nil
}

// fixed returns a reloader without files, whose value never changes.
func fixed[T any](value T) *reloader[T] { return &reloader[T]{value: value, now: time.Now} }

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    notBefore, NotAfter: notAfter,
		KeyUsage: x509.KeyUsageDigitalSignature,
	}, nil
}

// sign makes a key and a certificate for it; without a parent key it signs itself.
func sign(template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*ecdsa.PrivateKey, []byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, eris.Wrap(err, "key")
	}
	if parentKey == nil {
		parentKey = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	return key, der, eris.Wrap(err, "certificate")
}

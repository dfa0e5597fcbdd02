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

// The validity of generated certificates is practically unlimited: each process
// creates its own at start, and the time of day may jump on some machines.
var (
	notBefore = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC)
	notAfter  = time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC)
)

// serialBits is the size of random serial numbers in bits.
const serialBits = 120

// InstanceCA is the certificate authority that all instances share, with its
// private key. A process that can read it can issue itself a certificate of an
// instance.
type InstanceCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// instanceCAJSON is the stored form of an InstanceCA.
type instanceCAJSON struct {
	Certificate []byte `json:"certificate"` // DER
	Key         []byte `json:"key"`         // PKCS #8
}

// NewInstanceCA creates a CA with a new key.
func NewInstanceCA() (*InstanceCA, error) {
	template, err := newTemplate("lacewingwheel instances")
	if err != nil {
		return nil, err
	}
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	key, der, err := newCertificate(template, template, nil)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "parse the certificate of the instances' CA")
	}
	return &InstanceCA{certificate: certificate, key: key}, nil
}

// ParseInstanceCA decodes the result of InstanceCA.Encode.
func ParseInstanceCA(text []byte) (*InstanceCA, error) {
	var encoded instanceCAJSON
	if err := json.Unmarshal(text, &encoded); err != nil {
		return nil, eris.Wrap(err, "decode the CA of the instances")
	}
	certificate, err := x509.ParseCertificate(encoded.Certificate)
	if err != nil {
		return nil, eris.Wrap(err, "parse the certificate of the instances' CA")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(encoded.Key)
	if err != nil {
		return nil, eris.Wrap(err, "parse the key of the instances' CA")
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, eris.New("the key of the instances' CA is not an ECDSA key")
	}
	return &InstanceCA{certificate: certificate, key: key}, nil
}

// Encode returns the certificate and the private key for storage.
func (c *InstanceCA) Encode() ([]byte, error) {
	key, err := x509.MarshalPKCS8PrivateKey(c.key)
	if err != nil {
		return nil, eris.Wrap(err, "encode the key of the instances' CA")
	}
	return json.Marshal(instanceCAJSON{Certificate: c.certificate.Raw, Key: key})
}

// CABundle returns the CA certificate for the verification of instances.
func (c *InstanceCA) CABundle() *CABundle {
	pool := x509.NewCertPool()
	pool.AddCert(c.certificate)
	return &CABundle{reloader: fixedReloader(pool)}
}

// Issue creates a key and a certificate for the instance name. The certificate is
// valid for servers and clients.
func (c *InstanceCA) Issue(name string) (*KeyPair, error) {
	template, err := newTemplate(name)
	if err != nil {
		return nil, err
	}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, der, err := newCertificate(template, c.certificate, c.key)
	if err != nil {
		return nil, err
	}
	return &KeyPair{reloader: fixedReloader(&tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key})}, nil
}

// fixedReloader returns a reloader whose value never changes, because it has no
// files.
func fixedReloader[T any](value T) *reloader[T] { return &reloader[T]{value: value, now: time.Now} }

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "generate a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    notBefore, NotAfter: notAfter,
		KeyUsage: x509.KeyUsageDigitalSignature,
	}, nil
}

// newCertificate creates a key and a certificate for it in DER. Without a parent key
// the certificate is self-signed.
func newCertificate(template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*ecdsa.PrivateKey, []byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, eris.Wrap(err, "generate a key")
	}
	if parentKey == nil {
		parentKey = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	return key, der, eris.Wrap(err, "create a certificate")
}

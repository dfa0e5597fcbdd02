package peer

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"

	"github.com/quic-go/quic-go"

	"lacewingwheel.example/lacewingwheel/pkg/certs"
)

// Protocol is the ALPN name of the messages between instances.
const Protocol = "lacewingwheel/1"

// Identity holds the certificate of an instance and the CA certificates that sign
// the certificates of all instances.
type Identity struct {
	KeyPair  *certs.KeyPair
	CABundle *certs.CABundle
}

// errNoCertificate means that a peer presented no certificate.
var errNoCertificate = errors.New("the peer presented no certificate")

func (i *Identity) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return i.KeyPair.Certificate(), nil
		},
		VerifyConnection:       i.verify(x509.ExtKeyUsageClientAuth),
		SessionTicketsDisabled: true, // each handshake proves the certificate again
	}
}

func (i *Identity) clientTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return i.KeyPair.Certificate(), nil
		},
		// The built-in check also requires a host name. Instances have only
		// addresses, which change at any time, so verify checks just the chain
		// to the CA, which signs nothing but instance certificates.
		InsecureSkipVerify: true,
		VerifyConnection:   i.verify(x509.ExtKeyUsageServerAuth),
	}
}

// verify returns a check that the CA has signed the peer's certificate for the
// given use. It runs in full and in resumed handshakes.
func (i *Identity) verify(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errNoCertificate
		}
		intermediates := x509.NewCertPool()
		for _, certificate := range state.PeerCertificates[1:] {
			intermediates.AddCert(certificate)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots: i.CABundle.Pool(), Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
		})
		return err
	}
}

// resetKey derives the key of stateless resets from the private key. With the same
// key after a restart, an instance resets the connections of its previous process
// at the same address; otherwise peers would wait for their timeouts.
func (i *Identity) resetKey() (*quic.StatelessResetKey, error) {
	der, err := x509.MarshalPKCS8PrivateKey(i.KeyPair.Certificate().PrivateKey)
	if err != nil {
		return nil, err
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("lacewingwheel stateless reset\n"), der...)))
	return &key, nil
}

package certs

import (
	"crypto/x509"
	"testing"

	"gotest.tools/v3/assert"
)

// Instances that have read the same stored CA must trust each other as server and
// as client, and must not trust certificates of another CA.
func TestInstanceCAIssuesTrustedCertificates(t *testing.T) {
	created, err := NewInstanceCA()
	assert.NilError(t, err)
	text, err := created.Encode()
	assert.NilError(t, err)
	decoded, err := ParseInstanceCA(text)
	assert.NilError(t, err)
	other, err := NewInstanceCA()
	assert.NilError(t, err)

	pair, err := decoded.Issue("edge-1")
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(pair.Certificate().Certificate[0])
	assert.NilError(t, err)
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		options := x509.VerifyOptions{Roots: created.CABundle().Pool(), KeyUsages: []x509.ExtKeyUsage{usage}}
		_, err = certificate.Verify(options)
		assert.NilError(t, err)
		options.Roots = other.CABundle().Pool()
		_, err = certificate.Verify(options)
		assert.Assert(t, err != nil, "a certificate of one CA is trusted by another")
	}
	_, err = ParseInstanceCA([]byte(`{"certificate":"","key":""}`))
	assert.Assert(t, err != nil)
}

package certs

import (
	"crypto/x509"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against instances that do not trust each other although they share an
// authority, and against those of another fleet that are trusted.
func TestFleetSignsInstances(t *testing.T) {
	made, err := NewInstanceCA()
	assert.NilError(t, err)
	text, err := made.Encode()
	assert.NilError(t, err)
	read, err := ParseInstanceCA(text)
	assert.NilError(t, err)
	other, err := NewInstanceCA()
	assert.NilError(t, err)

	pair, err := read.Issue("edge-1")
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(pair.Certificate().Certificate[0])
	assert.NilError(t, err)
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		options := x509.VerifyOptions{Roots: made.CABundle().Pool(), KeyUsages: []x509.ExtKeyUsage{usage}}
		_, err = certificate.Verify(options)
		assert.NilError(t, err)
		options.Roots = other.CABundle().Pool()
		_, err = certificate.Verify(options)
		assert.Assert(t, err != nil, "a certificate of another fleet is trusted")
	}
	_, err = ParseInstanceCA([]byte(`{"certificate":"","key":""}`))
	assert.Assert(t, err != nil)
}

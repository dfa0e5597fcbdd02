package certs

import (
	"os"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/certs/certstest"
)

// A renewed certificate must take effect without a restart. Files that are missing
// or half written during a renewal must not replace the pair in use. The files must
// not be checked in each handshake.
func TestKeyPairReload(t *testing.T) {
	authority := certstest.NewAuthority(t)
	files := authority.Issue("first")
	pair, err := LoadKeyPair(files.Cert, files.Key, hclog.NewNullLogger())
	assert.NilError(t, err)
	now := time.Now()
	pair.reloader.now = func() time.Time { return now }
	commonName := func() string { return pair.Certificate().Leaf.Subject.CommonName }

	authority.Renew(files, "second")
	assert.Equal(t, commonName(), "first", "the files were checked again within checkInterval")
	now = now.Add(checkInterval)
	assert.Equal(t, commonName(), "second")

	assert.NilError(t, os.WriteFile(files.Key, []byte("half a fi"), 0o600))
	now = now.Add(checkInterval)
	assert.Equal(t, commonName(), "second")
	assert.NilError(t, os.Remove(files.Cert))
	now = now.Add(checkInterval)
	assert.Equal(t, commonName(), "second")

	authority.Renew(files, "third")
	now = now.Add(checkInterval)
	assert.Equal(t, commonName(), "third")
}

// An instance must not start with a key that does not match or a CA file without
// certificates: the error must name the cause.
func TestLoadRejectsInvalidFiles(t *testing.T) {
	files := certstest.NewAuthority(t).Issue("first")
	_, err := LoadKeyPair(files.Cert, files.Cert, hclog.NewNullLogger())
	assert.ErrorContains(t, err, files.Cert)
	_, err = LoadCABundle(files.Key, hclog.NewNullLogger())
	assert.ErrorContains(t, err, "no certificate")
}

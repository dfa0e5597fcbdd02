package certs

import (
	"os"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/certs/certstest"
)

// Guards against a renewed certificate that needs a restart, against losing the
// last good pair to files that do not load, and against a check of the files in
// each handshake.
func TestPairReload(t *testing.T) {
	authority := certstest.NewAuthority(t)
	files := authority.Issue("first")
	pair, err := LoadKeyPair(files.Cert, files.Key, hclog.NewNullLogger())
	assert.NilError(t, err)
	now := time.Now()
	pair.reloader.now = func() time.Time { return now }
	name := func() string { return pair.Certificate().Leaf.Subject.CommonName }

	authority.Renew(files, "second")
	assert.Equal(t, name(), "first", "the files were checked twice within the interval")
	now = now.Add(checkInterval)
	assert.Equal(t, name(), "second")

	assert.NilError(t, os.WriteFile(files.Key, []byte("half a fi"), 0o600))
	now = now.Add(checkInterval)
	assert.Equal(t, name(), "second")
	assert.NilError(t, os.Remove(files.Cert))
	now = now.Add(checkInterval)
	assert.Equal(t, name(), "second")

	authority.Renew(files, "third")
	now = now.Add(checkInterval)
	assert.Equal(t, name(), "third")
}

// Guards against a start with files that cannot serve.
func TestLoadFails(t *testing.T) {
	files := certstest.NewAuthority(t).Issue("first")
	_, err := LoadKeyPair(files.Cert, files.Cert, hclog.NewNullLogger())
	assert.ErrorContains(t, err, files.Cert)
	_, err = LoadCABundle(files.Key, hclog.NewNullLogger())
	assert.ErrorContains(t, err, "no certificate")
}

package tablestore

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/inifile"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore/httpapi"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
)

const (
	testRoutes = "[route chat]\npath = /chat\npool = demo\n"
	testPools  = "[pool demo]\ntargets = app=engine\nmodel = demo\n"
)

// fixture is a platform over HTTP.
type fixture struct {
	t        *testing.T
	platform *standin.Platform
	store    *httpapi.Client
}

func newFixture(t *testing.T) *fixture {
	p := standin.NewPlatform()
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return &fixture{t, p, httpapi.New(server.URL)}
}

func (f *fixture) editor(name string) *Editor {
	return &Editor{Store: f.store, OperatorName: name, Log: hclog.NewNullLogger(), InitialReadBackDelay: time.Millisecond}
}

// checkout returns a new directory with the accepted tables.
func (f *fixture) checkout(e *Editor) Dir {
	f.t.Helper()
	dir := Dir(f.t.TempDir())
	_, err := e.Get(f.t.Context(), dir, GetOptions{})
	assert.NilError(f.t, err)
	return dir
}

// edit writes tables that differ by the deadline of their route.
func (f *fixture) edit(dir Dir, seconds int) {
	f.t.Helper()
	routes := fmt.Sprintf("%sdeadline = %ds\n", testRoutes, seconds)
	assert.NilError(f.t, os.WriteFile(dir.RoutesPath(), []byte(routes), tableMode))
	assert.NilError(f.t, os.WriteFile(dir.PoolsPath(), []byte(testPools), tableMode))
}

func (f *fixture) accepted() *control.AcceptedConfiguration {
	f.t.Helper()
	object, err := f.platform.Store.Get(f.t.Context(), control.KindConfiguration, control.NameAccepted)
	assert.NilError(f.t, err)
	a, err := control.DecodeAcceptedConfiguration(object.Value)
	assert.NilError(f.t, err)
	return a
}

// files returns the content of every file in dir.
func (f *fixture) files(dir Dir) map[string]string {
	f.t.Helper()
	paths, err := filepath.Glob(filepath.Join(string(dir), "*"))
	assert.NilError(f.t, err)
	content := make(map[string]string)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		assert.NilError(f.t, err)
		content[path] = string(text)
	}
	return content
}

// Guards against an edit that is lost when operators race: of all edits from
// one version exactly one is accepted, and the others learn whose it was.
func TestRace(t *testing.T) {
	f := newFixture(t)
	const operators = 8
	for round := range 3 {
		errs := make([]error, operators)
		dirs := make([]Dir, operators)
		for i := range operators {
			dirs[i] = f.checkout(f.editor("any"))
			f.edit(dirs[i], 100*round+i+1)
		}
		before := f.files(dirs[0])
		var group sync.WaitGroup
		for i := range operators {
			group.Go(func() { _, errs[i] = f.editor(fmt.Sprint("op", i)).Put(t.Context(), dirs[i]) })
		}
		group.Wait()
		now := f.accepted()
		assert.Equal(t, now.Generation, uint64(round+1))
		accepted := 0
		for i, err := range errs {
			if err == nil {
				accepted++
				assert.Equal(t, now.Editor, fmt.Sprint("op", i))
				continue
			}
			var typed *Error
			assert.Assert(t, errors.As(err, &typed) && typed.Kind == KindConflict, "%v", err)
			assert.ErrorContains(t, err, fmt.Sprintf("generation %d by %s", now.Generation, now.Editor))
			if i == 0 {
				assert.DeepEqual(t, f.files(dirs[0]), before)
			}
		}
		assert.Equal(t, accepted, 1)
	}
}

// Guards against a write that took effect and is reported as a failure, and
// against a second write that would count the edit twice.
func TestLostAnswer(t *testing.T) {
	f := newFixture(t)
	e := f.editor("anna")
	dir := f.checkout(e)
	for generation := uint64(1); generation <= 2; generation++ { // a create, then an update
		f.edit(dir, int(generation))
		f.platform.SetFaults(standin.PlatformFaults{LoseAnswers: 1})
		a, err := e.Put(t.Context(), dir)
		assert.NilError(t, err)
		assert.Equal(t, a.Generation, generation)
		assert.Equal(t, f.accepted().Nonce, a.Nonce)
	}
	f.edit(dir, 3)
	_, err := e.Put(t.Context(), dir)
	assert.NilError(t, err, "the state file must hold the version that was read back")
}

// hookStore runs a function in place of the next update.
type hookStore struct {
	objectstore.Store
	update func(value []byte, version uint64) error
}

func (s *hookStore) Update(ctx context.Context, kind, name string, value []byte, version uint64) (objectstore.Object, error) {
	if s.update == nil {
		return s.Store.Update(ctx, kind, name, value, version)
	}
	return objectstore.Object{}, s.update(value, version)
}

// Guards against a wrong verdict on a write whose answer was lost while another
// operator's edit arrived before or after it, or while nothing changed.
func TestLostAnswerAndAnotherEdit(t *testing.T) {
	lost := &objectstore.Error{Kind: objectstore.KindUnknown, Call: "update", Cause: errors.New("connection reset")}
	tests := []struct {
		name   string
		lands  bool // the write takes effect
		others int  // edits by another operator after it
		want   ErrorKind
	}{
		{"lost before it arrived", false, 0, KindUnknown},
		{"another edit took its place", false, 1, KindConflict},
		{"two other edits took its place", false, 2, KindConflict},
		{"arrived, then replaced, not in the history", true, 1, KindUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			e, other := f.editor("anna"), f.editor("bea")
			dir := f.checkout(e)
			f.edit(dir, 1)
			_, err := e.Put(t.Context(), dir)
			assert.NilError(t, err)
			f.edit(dir, 2)
			before := f.files(dir)
			e.Store = &hookStore{Store: f.store, update: func(value []byte, version uint64) error {
				if tt.lands {
					_, err := f.store.Update(t.Context(), control.KindConfiguration, control.NameAccepted, value, version)
					assert.NilError(t, err)
				}
				for i := range tt.others {
					otherDir := f.checkout(other)
					f.edit(otherDir, 50+i)
					_, err := other.Put(t.Context(), otherDir)
					assert.NilError(t, err)
				}
				return lost
			}}
			_, err = e.Put(t.Context(), dir)
			assert.Equal(t, KindOf(err), tt.want, "%v", err)
			assert.DeepEqual(t, f.files(dir), before)
		})
	}
}

// Guards against a file that changes although the platform was down, and
// against a write that an outage makes look accepted.
func TestPlatformDown(t *testing.T) {
	f := newFixture(t)
	e := f.editor("anna")
	dir := f.checkout(e)
	f.edit(dir, 1)
	_, err := e.Put(t.Context(), dir)
	assert.NilError(t, err)
	f.edit(dir, 2)
	before := f.files(dir)
	f.platform.SetFaults(standin.PlatformFaults{Down: true})
	_, err = e.Put(t.Context(), dir)
	assert.Equal(t, KindOf(err), KindUnavailable, "%v", err)
	_, err = e.Get(t.Context(), dir, GetOptions{Force: true})
	assert.Equal(t, KindOf(err), KindUnavailable, "%v", err)
	assert.DeepEqual(t, f.files(dir), before)
	f.platform.SetFaults(standin.PlatformFaults{})
	assert.Equal(t, f.accepted().Generation, uint64(1))
}

// Guards against tables with mistakes, or without a known version, that reach
// the platform.
func TestPutRefusesInvalidInput(t *testing.T) {
	f := newFixture(t)
	e := f.editor("anna")
	dir := f.checkout(e)
	_, err := e.Put(t.Context(), dir)
	assert.ErrorContains(t, err, "the table has no route")
	f.edit(dir, 0)
	_, err = e.Put(t.Context(), dir)
	assert.ErrorContains(t, err, "the tables have mistakes:\n"+dir.RoutesPath()+":4: [route chat] deadline: 0s is out of range")
	var mistakes *inifile.Error
	assert.Assert(t, errors.As(err, &mistakes) && len(mistakes.Issues) == 1)
	f.edit(dir, 1)
	assert.NilError(t, os.Remove(dir.statePath()))
	_, err = e.Put(t.Context(), dir)
	assert.Equal(t, KindOf(err), KindInvalid)
	assert.ErrorContains(t, err, "the state file cannot be read")
	assert.Equal(t, f.platform.Counts().Writes, int64(0))
}

// Guards against local edits that get overwrites.
func TestGetKeepsLocalEdits(t *testing.T) {
	f := newFixture(t)
	e := f.editor("anna")
	dir := f.checkout(e)
	f.edit(dir, 1)
	before := f.files(dir)
	_, err := e.Get(t.Context(), dir, GetOptions{})
	assert.ErrorContains(t, err, "has edits that were not put")
	assert.DeepEqual(t, f.files(dir), before)
	_, err = e.Get(t.Context(), dir, GetOptions{Force: true})
	assert.NilError(t, err)
}

// Guards against a history that grows without bound, and against an old
// generation that cannot be put back.
func TestHistory(t *testing.T) {
	f := newFixture(t)
	e := f.editor("anna")
	dir := f.checkout(e)
	for i := range HistoryLength + 3 {
		f.edit(dir, i+1)
		_, err := e.Put(t.Context(), dir)
		assert.NilError(t, err)
	}
	entries, err := e.History(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(entries), HistoryLength)
	assert.Equal(t, entries[0].Generation, uint64(HistoryLength+3))
	_, err = e.Get(t.Context(), dir, GetOptions{Generation: 3})
	assert.Equal(t, KindOf(err), KindInvalid, "%v", err)

	_, err = e.Get(t.Context(), dir, GetOptions{Generation: 5})
	assert.NilError(t, err)
	changes, from, err := e.Diff(t.Context(), dir, 0)
	assert.NilError(t, err)
	assert.Equal(t, from, uint64(HistoryLength+3))
	assert.Equal(t, len(changes), 1)
	a, err := e.Put(t.Context(), dir)
	assert.NilError(t, err)
	assert.Equal(t, a.Generation, uint64(HistoryLength+4))
	assert.Assert(t, strings.Contains(f.accepted().Routes, "deadline = 5s"))
}

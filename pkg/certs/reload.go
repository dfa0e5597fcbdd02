// Package certs loads certificates from files, reloads them when the files change,
// and issues the certificates with which instances authenticate to each other.
package certs

import (
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
)

// checkInterval is the shortest time between two checks of the files. Without it,
// each TLS handshake would check them.
const checkInterval = time.Second

// reloader holds the value last loaded from its files and reloads it when they
// change. It is safe for concurrent use.
type reloader[T any] struct {
	paths []string
	load  func() (T, error)
	log   hclog.Logger
	now   func() time.Time

	mu          sync.Mutex
	value       T
	stamps      []fileStamp
	lastCheck   time.Time
	lastFailure string // the last failure that was logged; empty after a reload
}

// fileStamp detects changes of a file. It includes the size, because two writes
// within one tick of the file system's clock get the same modification time.
type fileStamp struct {
	modified time.Time
	size     int64
}

// newReloader loads the files and fails if they cannot be loaded.
func newReloader[T any](paths []string, load func() (T, error), log hclog.Logger) (*reloader[T], error) {
	r := &reloader[T]{paths: paths, load: load, log: log, now: time.Now}
	stamps, err := r.readStamps()
	if err != nil {
		return nil, err
	}
	if r.value, err = load(); err != nil {
		return nil, err
	}
	r.stamps, r.lastCheck = stamps, r.now()
	return r, nil
}

// get returns the value last loaded. It first reloads changed files, at most once
// per checkInterval.
func (r *reloader[T]) get() T {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if now.Sub(r.lastCheck) < checkInterval {
		return r.value
	}
	r.lastCheck = now
	if err := r.reloadIfChanged(); err != nil {
		r.logFailure(err)
	}
	return r.value
}

// reloadIfChanged reloads the files if they have changed. If loading fails, it keeps
// the old stamps, so that the next check tries again: a file may be half written.
func (r *reloader[T]) reloadIfChanged() error {
	stamps, err := r.readStamps()
	if err != nil {
		return err
	}
	if equalStamps(stamps, r.stamps) {
		return nil
	}
	value, err := r.load()
	if err != nil {
		return err
	}
	r.value, r.stamps, r.lastFailure = value, stamps, ""
	r.log.Info("certificate files reloaded", "files", r.paths)
	return nil
}

func (r *reloader[T]) logFailure(err error) {
	if err.Error() == r.lastFailure {
		return
	}
	r.lastFailure = err.Error()
	r.log.Error("certificate files cannot be loaded; the last valid ones stay in use", "files", r.paths, "cause", err)
}

func (r *reloader[T]) readStamps() ([]fileStamp, error) {
	stamps := make([]fileStamp, 0, len(r.paths))
	for _, path := range r.paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, eris.Wrap(err, "check a certificate file")
		}
		stamps = append(stamps, fileStamp{modified: info.ModTime(), size: info.Size()})
	}
	return stamps, nil
}

func equalStamps(a, b []fileStamp) bool {
	for i := range a {
		if a[i].size != b[i].size || !a[i].modified.Equal(b[i].modified) {
			return false
		}
	}
	return true
}

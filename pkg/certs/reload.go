// Package certs reads certificate files and reads them again when they change.
package certs

import (
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
)

// checkInterval bounds how often the files are examined, because a check runs
// in each TLS handshake.
const checkInterval = time.Second

// reloader keeps the last value that loaded from its files.
type reloader[T any] struct {
	paths []string
	load  func() (T, error)
	log   hclog.Logger
	now   func() time.Time

	mu      sync.Mutex
	value   T
	stamps  []stamp
	checked time.Time
	failure string // last logged failure
}

// stamp tells one state of a file from another. The size is part of it because
// two writes within one tick of the file system's clock have the same time.
type stamp struct {
	modified time.Time
	size     int64
}

// newReloader loads the files once. It fails if they do not load.
func newReloader[T any](paths []string, load func() (T, error), log hclog.Logger) (*reloader[T], error) {
	r := &reloader[T]{paths: paths, load: load, log: log, now: time.Now}
	stamps, err := r.readStamps()
	if err != nil {
		return nil, err
	}
	if r.value, err = load(); err != nil {
		return nil, err
	}
	r.stamps, r.checked = stamps, r.now()
	return r, nil
}

// get returns the newest value that loaded.
func (r *reloader[T]) get() T {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if now.Sub(r.checked) < checkInterval {
		return r.value
	}
	r.checked = now
	if err := r.refresh(); err != nil {
		r.logFailure(err)
	}
	return r.value
}

// refresh loads the files if they changed. The stamps of files that do not load
// are not kept, so the next check tries them again: they may be half written.
func (r *reloader[T]) refresh() error {
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
	r.value, r.stamps, r.failure = value, stamps, ""
	r.log.Info("certificate files loaded again", "files", r.paths)
	return nil
}

func (r *reloader[T]) logFailure(err error) {
	if err.Error() == r.failure {
		return
	}
	r.failure = err.Error()
	r.log.Error("certificate files do not load; the last good ones stay in use", "files", r.paths, "cause", err)
}

func (r *reloader[T]) readStamps() ([]stamp, error) {
	stamps := make([]stamp, 0, len(r.paths))
	for _, path := range r.paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, eris.Wrap(err, "certificate file")
		}
		stamps = append(stamps, stamp{modified: info.ModTime(), size: info.Size()})
	}
	return stamps, nil
}

func equalStamps(a, b []stamp) bool {
	for i := range a {
		if a[i].size != b[i].size || !a[i].modified.Equal(b[i].modified) {
			return false
		}
	}
	return true
}

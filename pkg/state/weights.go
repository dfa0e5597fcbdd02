package state

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/follow"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

// Weights follows the names of the newest weights.
type Weights struct {
	Store objectstore.Store
	Kind  string
	Parse func([]byte) (model, version string, err error)
	// Named gets each name and how long ago it may have been given.
	Named func(model, version string, age time.Duration)
	// FirstAge is the age of names that were there when the process started.
	FirstAge time.Duration
	Link     *follow.Link
	Log      hclog.Logger

	listed bool
}

// Run follows until ctx ends.
func (w *Weights) Run(ctx context.Context) {
	f := follow.Follower{
		Store: w.Store, Kind: w.Kind, Link: w.Link, Log: w.Log,
		Replace: func(objects []objectstore.Object) {
			age := time.Duration(0)
			if !w.listed {
				age = w.FirstAge
			}
			w.listed = true
			for _, o := range objects {
				w.take(o, age)
			}
		},
		Apply: func(e objectstore.Event) {
			if !e.Deleted {
				w.take(e.Object, 0)
			}
		},
	}
	f.Run(ctx)
}

func (w *Weights) take(o objectstore.Object, age time.Duration) {
	model, version, err := w.Parse(o.Value)
	if err != nil {
		w.Log.Warn("name of weights cannot be read", "entry", o.Name, "revision", o.Version, "cause", err)
		return
	}
	w.Named(model, version, age)
}

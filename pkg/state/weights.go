package state

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/follow"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

// Weights follows the names of the newest weights.
type Weights struct {
	Store objectstore.Store
	Kind  string
	Parse func([]byte) (model, version string, err error)
	// Named gets each name.
	Named func(model, version string)
	Link  *follow.Link
	Log   hclog.Logger
}

// Run follows until ctx ends.
func (w *Weights) Run(ctx context.Context) {
	f := follow.Follower{
		Store: w.Store, Kind: w.Kind, Link: w.Link, Log: w.Log,
		Replace: func(objects []objectstore.Object) {
			for _, o := range objects {
				w.take(o)
			}
		},
		Apply: func(e objectstore.Event) {
			if !e.Deleted {
				w.take(e.Object)
			}
		},
	}
	f.Run(ctx)
}

func (w *Weights) take(o objectstore.Object) {
	model, version, err := w.Parse(o.Value)
	if err != nil {
		w.Log.Warn("name of weights cannot be read", "entry", o.Name, "revision", o.Version, "cause", err)
		return
	}
	w.Named(model, version)
}

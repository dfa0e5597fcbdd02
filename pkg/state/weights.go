package state

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/follow"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

// WeightsWatcher follows the names of the newest weights.
type WeightsWatcher struct {
	Store objectstore.Store
	Kind  string
	Parse func([]byte) (model, version string, err error)
	// OnAnnounced gets each name and how long ago it may have been given.
	OnAnnounced func(model, version string, age time.Duration)
	// InitialAge is the age of names that were there when the process started.
	InitialAge time.Duration
	// FedByPeer reports whether other instances pass on the changes; nil means never.
	FedByPeer func() bool
	// OnChange is called after each change of the names.
	OnChange    func()
	Clock       clock.Clock
	StoreHealth *follow.StoreHealth
	Log         hclog.Logger

	listed   bool
	once     sync.Once
	follower *follow.Follower
}

// Run follows until ctx ends.
func (w *WeightsWatcher) Run(ctx context.Context) { w.Follower().Run(ctx) }

// weightsMaxAge is the age from which an instance reads names of weights itself
// although others pass them on. Source: a watch of them waits for eight seconds.
const weightsMaxAge = 10 * time.Second

// Follower returns what follows the names.
func (w *WeightsWatcher) Follower() *follow.Follower {
	w.once.Do(func() {
		w.follower = &follow.Follower{
			Store: w.Store, Kind: w.Kind, FedByPeer: w.FedByPeer, MaxViewAge: weightsMaxAge, OnChange: w.OnChange, Clock: w.Clock, StoreHealth: w.StoreHealth, Log: w.Log,
			Replace: w.replace,
			Apply: func(events []objectstore.Event) {
				for _, e := range events {
					if !e.Deleted {
						w.take(e.Object, 0)
					}
				}
			},
		}
	})
	return w.follower
}

func (w *WeightsWatcher) replace(objects []objectstore.Object) {
	age := time.Duration(0)
	if !w.listed {
		age = w.InitialAge
	}
	w.listed = true
	for _, o := range objects {
		w.take(o, age)
	}
}

func (w *WeightsWatcher) take(o objectstore.Object, age time.Duration) {
	model, version, err := w.Parse(o.Value)
	if err != nil {
		w.Log.Warn("name of weights cannot be read", "entry", o.Name, "revision", o.Version, "cause", err)
		return
	}
	w.OnAnnounced(model, version, age)
}

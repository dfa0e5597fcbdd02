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

// WeightsWatcher watches the announcements of new weights. The fields must be set
// before Run.
type WeightsWatcher struct {
	Store objectstore.Store
	Kind  string
	Parse func([]byte) (model, version string, err error)
	// OnNewest is called with the newest version of a model and the boot time up to
	// which the version before it is known to have been the newest. That time is
	// assumed, not known, for the first list. The same version may be passed again.
	OnNewest func(model, version string, before time.Duration, isAssumed bool)
	// InitialAge is the age assumed for announcements in the first list.
	InitialAge time.Duration
	// WatchWait is how long the store holds a watch without changes.
	WatchWait time.Duration
	// FedByPeer reports whether other instances relay the changes; nil means never.
	FedByPeer func() bool
	// OnChange is called after each change of the announcements; nil means no call.
	OnChange    func()
	Clock       clock.Clock
	StoreHealth *follow.StoreHealth
	Log         hclog.Logger

	once     sync.Once
	follower *follow.Follower
}

// Run watches the announcements until ctx ends.
func (w *WeightsWatcher) Run(ctx context.Context) { w.Follower().Run(ctx) }

// weightsMaxAge is the age of the view from which an instance reads announcements
// itself although others relay them. It is a few waits of their watches.
const weightsMaxAge = 4 * time.Second

// Follower returns the follower of the announcements, the same one on each call.
func (w *WeightsWatcher) Follower() *follow.Follower {
	w.once.Do(func() {
		w.follower = &follow.Follower{
			Store: w.Store, Kind: w.Kind, FedByPeer: w.FedByPeer, MaxViewAge: weightsMaxAge, WatchWait: w.WatchWait, OnChange: w.OnChange, Clock: w.Clock, StoreHealth: w.StoreHealth, Log: w.Log,
			Replace: w.replace,
			Apply: func(events []objectstore.Event) {
				for _, e := range events {
					if !e.Deleted {
						w.announce(e.Object)
					}
				}
			},
		}
	})
	return w.follower
}

func (w *WeightsWatcher) replace(objects []objectstore.Object) {
	for _, o := range objects {
		w.announce(o)
	}
}

func (w *WeightsWatcher) announce(o objectstore.Object) {
	model, version, err := w.Parse(o.Value)
	if err != nil {
		w.Log.Warn("announcement of weights cannot be decoded and is ignored", "entry", o.Name, "revision", objectstore.FormatRevision(o.Version), "cause", err)
		return
	}
	before := w.follower.CompleteUntil()
	isAssumed := before == 0
	if isAssumed {
		before = w.Clock.Elapsed() - w.InitialAge
	}
	w.OnNewest(model, version, before, isAssumed)
}

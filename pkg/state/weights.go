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
	// OnAnnounced is called with each announced version and the age of the
	// announcement. Unless isExact is set, that is the greatest age that it may
	// have. The same version may be passed again.
	OnAnnounced func(model, version string, age time.Duration, isExact bool)
	// InitialAge is the age assumed for announcements in the first list.
	InitialAge time.Duration
	// FedByPeer reports whether other instances relay the changes; nil means never.
	FedByPeer func() bool
	// OnChange is called after each change of the announcements; nil means no call.
	OnChange    func()
	Clock       clock.Clock
	StoreHealth *follow.StoreHealth
	Log         hclog.Logger

	listed   bool
	once     sync.Once
	follower *follow.Follower
}

// Run watches the announcements until ctx ends.
func (w *WeightsWatcher) Run(ctx context.Context) { w.Follower().Run(ctx) }

// weightsMaxAge is the age of the view from which an instance reads announcements
// itself although others relay them. A watch waits for up to eight seconds.
const weightsMaxAge = 10 * time.Second

// Follower returns the follower of the announcements, the same one on each call.
func (w *WeightsWatcher) Follower() *follow.Follower {
	w.once.Do(func() {
		w.follower = &follow.Follower{
			Store: w.Store, Kind: w.Kind, FedByPeer: w.FedByPeer, MaxViewAge: weightsMaxAge, OnChange: w.OnChange, Clock: w.Clock, StoreHealth: w.StoreHealth, Log: w.Log,
			Replace: w.replace,
			Apply: func(events []objectstore.Event) {
				for _, e := range events {
					if !e.Deleted {
						delay := w.follower.MaxDelay()
						w.announce(e.Object, delay, delay == 0)
					}
				}
			},
		}
	})
	return w.follower
}

func (w *WeightsWatcher) replace(objects []objectstore.Object) {
	age := w.follower.MaxDelay()
	if !w.listed {
		age = w.InitialAge
	}
	w.listed = true
	for _, o := range objects {
		w.announce(o, age, false)
	}
}

func (w *WeightsWatcher) announce(o objectstore.Object, age time.Duration, isExact bool) {
	model, version, err := w.Parse(o.Value)
	if err != nil {
		w.Log.Warn("announcement of weights cannot be decoded and is ignored", "entry", o.Name, "revision", o.Version, "cause", err)
		return
	}
	w.OnAnnounced(model, version, age, isExact)
}

package daemon

import (
	"context"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
)

const (
	// compareTimeout bounds how long a process that starts waits to ask other instances for
	// a newer configuration than that of the store. They are usually known and reached
	// within a few hundred milliseconds.
	compareTimeout = 1500 * time.Millisecond
	// compareCheckInterval is the time between checks whether others are known.
	compareCheckInterval = 20 * time.Millisecond
	// restoredAskDelay is the mean delay of the request for newer configurations after a
	// restore of the store, so that not all instances ask at the same moment.
	restoredAskDelay = 200 * time.Millisecond
	// authorityDuty is the duty of the instances that write the certificate authority again:
	// the first authorityWriters.
	authorityDuty    = "authority"
	authorityWriters = 2
)

// notifyRestored wakes handleRestores.
func (d *Daemon) notifyRestored() {
	select {
	case d.restored <- struct{}{}:
	default:
	}
}

// handleRestores asks other instances for a newer configuration than that of the store, at the
// start before one is in force, and after each restore of the store, until ctx ends.
func (d *Daemon) handleRestores(ctx context.Context) {
	if d.configuration.AwaitsOthers && d.awaitOthers(ctx) {
		d.feed.Configurations.AskOthers(ctx)
	}
	d.configuration.ComparedWithOthers()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.restored:
		}
		clock.Sleep(ctx, clock.Jitter(restoredAskDelay))
		if d.ranking.rank(authorityDuty) < authorityWriters {
			d.peerEndpoint.restoreAuthority(ctx, d.platformStore)
		}
		d.feed.Configurations.AskOthers(ctx)
	}
}

// awaitOthers waits until other instances are known and can be asked. It returns false if the
// store has no eras or they are not known in time.
func (d *Daemon) awaitOthers(ctx context.Context) bool {
	for d.clock.Elapsed()-d.startedAt < compareTimeout {
		if era, ok := d.storeHealth.Era(); ok && era == 0 {
			return false
		}
		if d.peerEndpoint.canExchange() && len(d.ranking.changeSources().Addresses) > 0 {
			return true
		}
		if !clock.Sleep(ctx, compareCheckInterval) {
			return false
		}
	}
	return false
}

// recordNewestVersions records the weights that another instance knows as the newest. When they
// superseded those before is not known: at a start that is assumed as for the first list, and
// later they are taken as named now.
func (d *Daemon) recordNewestVersions(versions map[string]string) {
	before, isAssumed := d.clock.Elapsed(), false
	if d.configuration.Snapshot() == nil {
		before, isAssumed = before-d.weights.InitialAge, true
	}
	for model, version := range versions {
		d.targets.RecordNewestVersion(model, version, before, isAssumed)
	}
}

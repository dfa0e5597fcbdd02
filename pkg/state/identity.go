package state

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/certs"
	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

const (
	// kindAuthority and nameAuthority name the object with the authority that
	// signs the instances' certificates.
	kindAuthority = "lacewingwheel-authority"
	nameAuthority = "main"
	// authoritySpread is the time over which the instances of a fleet that start
	// together ask for the authority, so that the first one makes it and the
	// others find it.
	authoritySpread = time.Second
	// authorityRetry is the time between tries while the store does not answer.
	authorityRetry = time.Second
)

// LoadOrCreateAuthority reads the authority of the instances from the store, and makes
// it if this is the first instance. It returns when it has one or ctx ends.
func LoadOrCreateAuthority(ctx context.Context, store objectstore.Store, firstStart bool, log hclog.Logger) (*certs.Fleet, error) {
	wait := time.Duration(0)
	if firstStart {
		wait = rand.N(authoritySpread)
	}
	for ; clock.Sleep(ctx, wait); wait = clock.Jitter(authorityRetry) {
		fleet, err := readAuthority(ctx, store)
		if objectstore.IsKind(err, objectstore.KindNotFound) {
			fleet, err = makeAuthority(ctx, store)
		}
		if err == nil {
			return fleet, nil
		}
		if ctx.Err() == nil {
			log.Info("no certificate for exchanges with other instances yet", "cause", err)
		}
	}
	return nil, ctx.Err()
}

func readAuthority(ctx context.Context, store objectstore.Store) (*certs.Fleet, error) {
	object, err := store.Get(ctx, kindAuthority, nameAuthority)
	if err != nil {
		return nil, err
	}
	return certs.ParseFleet(object.Value)
}

// makeAuthority creates the authority. An answer that is lost, or another
// instance that was faster, ends in an error, and the next try reads it.
func makeAuthority(ctx context.Context, store objectstore.Store) (*certs.Fleet, error) {
	fleet, err := certs.NewFleet()
	if err != nil {
		return nil, err
	}
	value, err := fleet.Encode()
	if err != nil {
		return nil, err
	}
	_, err = store.Create(ctx, kindAuthority, nameAuthority, value)
	return fleet, err
}

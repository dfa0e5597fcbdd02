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
	// kindAuthority and nameAuthority are the kind and the name of the object with
	// the certificate authority of the instances.
	kindAuthority = "lacewingwheel-authority"
	nameAuthority = "main"
	// authorityMaxDelay bounds the random delay of the first read when all
	// instances start together, so that usually one creates the authority and the
	// others find it.
	authorityMaxDelay = time.Second
	// authorityRetryInterval is the time between attempts after a failed one.
	authorityRetryInterval = time.Second
	// missingAuthorityReads is the number of reads that find no authority before an instance
	// that does not start with all others creates one: a restored store may have lost it, and
	// the instances that use it write it again.
	missingAuthorityReads = 3
)

// LoadOrCreateInstanceCA reads the instances' certificate authority from the store
// and creates it if there is none. It retries until it succeeds or ctx ends, and
// then returns the error of ctx. firstStart is true if all instances start now.
func LoadOrCreateInstanceCA(ctx context.Context, store objectstore.Store, firstStart bool, log hclog.Logger) (*certs.InstanceCA, error) {
	wait := time.Duration(0)
	if firstStart {
		wait = rand.N(authorityMaxDelay)
	}
	missing := 0
	for ; clock.Sleep(ctx, wait); wait = clock.Jitter(authorityRetryInterval) {
		ca, err := readAuthority(ctx, store)
		if objectstore.IsKind(err, objectstore.KindNotFound) {
			if missing++; !firstStart && objectstore.EraOf(err) > 0 && missing < missingAuthorityReads {
				continue
			}
			ca, err = createAuthority(ctx, store)
		}
		if objectstore.IsKind(err, objectstore.KindExists) {
			// Another instance was faster.
			ca, err = readAuthority(ctx, store)
		}
		if err == nil {
			return ca, nil
		}
		if ctx.Err() == nil {
			log.Info("certificate authority not loaded; no exchanges with other instances yet", "cause", err)
		}
	}
	return nil, ctx.Err()
}

func readAuthority(ctx context.Context, store objectstore.Store) (*certs.InstanceCA, error) {
	object, err := store.Get(ctx, kindAuthority, nameAuthority)
	if err != nil {
		return nil, err
	}
	return certs.ParseInstanceCA(object.Value)
}

// createAuthority creates the authority in the store. If the response is lost or
// another instance was faster it returns an error, and the next attempt reads the
// stored authority.
func createAuthority(ctx context.Context, store objectstore.Store) (*certs.InstanceCA, error) {
	ca, err := certs.NewInstanceCA()
	if err != nil {
		return nil, err
	}
	value, err := ca.Encode()
	if err != nil {
		return nil, err
	}
	_, err = store.Create(ctx, kindAuthority, nameAuthority, value)
	return ca, err
}

// RestoreInstanceCA creates the authority in the store again if a restore has undone it.
func RestoreInstanceCA(ctx context.Context, store objectstore.Store, ca *certs.InstanceCA) (isRestored bool, err error) {
	value, err := ca.Encode()
	if err != nil {
		return false, err
	}
	_, err = store.Create(ctx, kindAuthority, nameAuthority, value)
	if objectstore.IsKind(err, objectstore.KindExists) {
		return false, nil
	}
	return err == nil, err
}

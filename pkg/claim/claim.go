package claim

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

const (
	// outcomeTimeout bounds all attempts to store one outcome.
	outcomeTimeout = 5 * time.Second
	// outcomeAttempts bounds the attempts to store one outcome. Losing an
	// outcome is safe: duplicates then get DecisionOutcomeUnknown.
	outcomeAttempts = 5
	// outcomeBackoff is the mean wait before the second attempt. It doubles with
	// each further one.
	outcomeBackoff = 50 * time.Millisecond
)

// errClaimLost is returned when the stored object is not that of the claim.
var errClaimLost = errors.New("the claim's object is gone or belongs to another request")

// Claim is the right to run one request. Exactly one of Complete, MarkUnknown
// and Release must be called, once, when the request has ended. Each retries
// with backoff for up to outcomeTimeout, also when its context is cancelled, and
// returns the last error of the object store.
type Claim struct {
	manager           *Manager
	kind              string
	name              string
	nonce             string
	record            record
	version           uint64
	createUnconfirmed bool // the response to a create was lost
}

// Complete stores the response for duplicates. For a nil response, or one over
// MaxResponseBytes, it stores only that the request is done.
func (c *Claim) Complete(ctx context.Context, response *Response) error {
	if response != nil && response.size() > MaxResponseBytes {
		response = nil
	}
	c.record.State = StateDone
	c.record.Response = response
	return c.storeOutcome(ctx)
}

// MarkUnknown records that the request may have run and has no response.
func (c *Claim) MarkUnknown(ctx context.Context) error {
	c.record.State = StateUnknown
	return c.storeOutcome(ctx)
}

// Release removes the claim of a request that certainly did not run, so that
// the caller can send it again. If the removal fails, the manager repeats it in
// the background.
func (c *Claim) Release(ctx context.Context) error {
	defer c.manager.clearRunning(c.nonce)
	err := c.retryWithBackoff(ctx, c.deleteObject)
	// The object may still exist, or appear when an unconfirmed create takes
	// effect late.
	if err != nil || c.createUnconfirmed {
		c.manager.markAbandoned(c)
	}
	return err
}

func (c *Claim) storeOutcome(ctx context.Context) error {
	defer c.manager.clearRunning(c.nonce)
	return c.retryWithBackoff(ctx, c.updateObject)
}

// updateObject writes the record to the claim's object, without retries.
func (c *Claim) updateObject(ctx context.Context) error {
	store := c.manager.options.Store
	_, err := store.Update(ctx, c.kind, c.name, c.record.encode(), c.version)
	switch {
	case err == nil:
		return nil
	case objectstore.IsKind(err, objectstore.KindNotFound):
		return errClaimLost
	case objectstore.IsKind(err, objectstore.KindConflict):
		// An earlier update of this claim took effect but its response was lost:
		// nobody else updates a claim in StateClaimed.
		return c.confirmUpdate(ctx)
	}
	return err
}

// confirmUpdate returns nil if the stored object has the nonce and the state of
// the record.
func (c *Claim) confirmUpdate(ctx context.Context) error {
	object, err := c.manager.options.Store.Get(ctx, c.kind, c.name)
	if objectstore.IsKind(err, objectstore.KindNotFound) {
		return errClaimLost
	}
	if err != nil {
		return err
	}
	found, err := decodeRecord(object.Value)
	if err != nil || found.Nonce != c.nonce || found.State != c.record.State {
		return errClaimLost
	}
	return nil
}

// deleteObject deletes the claim's object, without retries. The version keeps it
// from deleting a later claim on the same key: the store does not reuse versions.
func (c *Claim) deleteObject(ctx context.Context) error {
	err := c.manager.options.Store.Delete(ctx, c.kind, c.name, c.version)
	if objectstore.IsKind(err, objectstore.KindNotFound) || objectstore.IsKind(err, objectstore.KindConflict) {
		return nil // deleted by an earlier call whose response was lost
	}
	return err
}

// retryWithBackoff calls write until it succeeds, returns errClaimLost or
// outcomeAttempts is reached. It ignores the cancellation of ctx: a caller that
// disconnected is likely to send the request again and needs the outcome.
func (c *Claim) retryWithBackoff(ctx context.Context, write func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()
	wait := outcomeBackoff
	for attempt := 1; ; attempt++ {
		err := write(ctx)
		if err == nil || errors.Is(err, errClaimLost) || attempt == outcomeAttempts {
			return err
		}
		if !clock.Sleep(ctx, wait/2+rand.N(wait)) {
			return err
		}
		wait *= 2
	}
}

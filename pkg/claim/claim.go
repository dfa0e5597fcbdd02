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
	// storeTimeout bounds the writes of one outcome.
	storeTimeout = 5 * time.Second
	// storeAttempts bounds the writes of one outcome. A lost outcome is safe:
	// duplicates are then told that it is unknown.
	storeAttempts = 5
	// storeWait is the first wait between two writes. It doubles each time.
	storeWait = 50 * time.Millisecond
)

// errNotOurs means that the object no longer belongs to the claim.
var errNotOurs = errors.New("the claim's object is gone or belongs to another request")

// Claim is the right to run one request. Exactly one of its methods must be
// called when the request has ended.
type Claim struct {
	manager *Manager
	kind    string
	name    string
	nonce   string
	record  record
	version uint64
	unsure  bool // a create was sent whose answer was lost
}

// Complete stores the response, which duplicates then receive. A response over
// MaxResponseBytes, or nil, is stored as done without its content.
func (c *Claim) Complete(ctx context.Context, response *Response) error {
	if response != nil && response.size() > MaxResponseBytes {
		response = nil
	}
	c.record.State = StateDone
	c.record.Response = response
	return c.store(ctx)
}

// MarkUnknown records that the request may have run and has no response.
func (c *Claim) MarkUnknown(ctx context.Context) error {
	c.record.State = StateUnknown
	return c.store(ctx)
}

// Release removes the claim of a request that surely did not run, so that the
// caller can send it again.
func (c *Claim) Release(ctx context.Context) error {
	defer c.manager.endRunning(c.nonce)
	err := c.retry(ctx, c.remove)
	// The manager goes on to remove what could not be removed here, and a lost
	// create that takes effect only now.
	if err != nil || c.unsure {
		c.manager.abandon(c)
	}
	return err
}

func (c *Claim) store(ctx context.Context) error {
	defer c.manager.endRunning(c.nonce)
	return c.retry(ctx, c.update)
}

// update writes the record once.
func (c *Claim) update(ctx context.Context) error {
	store := c.manager.options.Store
	_, err := store.Update(ctx, c.kind, c.name, c.record.encode(), c.version)
	switch {
	case err == nil:
		return nil
	case objectstore.IsKind(err, objectstore.KindNotFound):
		return errNotOurs
	case objectstore.IsKind(err, objectstore.KindConflict):
		// An earlier update of ours has taken effect although its answer was
		// lost: nobody else writes a claim in the state claimed.
		return c.confirm(ctx)
	}
	return err
}

// confirm checks that the object carries the state of the record.
func (c *Claim) confirm(ctx context.Context) error {
	object, err := c.manager.options.Store.Get(ctx, c.kind, c.name)
	if objectstore.IsKind(err, objectstore.KindNotFound) {
		return errNotOurs
	}
	if err != nil {
		return err
	}
	found, err := decodeRecord(object.Value)
	if err != nil || found.Nonce != c.nonce || found.State != c.record.State {
		return errNotOurs
	}
	return nil
}

// remove deletes the object once. The version guards against the removal of a
// later claim on the same key, because the store does not reuse versions.
func (c *Claim) remove(ctx context.Context) error {
	err := c.manager.options.Store.Delete(ctx, c.kind, c.name, c.version)
	if objectstore.IsKind(err, objectstore.KindNotFound) || objectstore.IsKind(err, objectstore.KindConflict) {
		return nil // removed by an earlier delete whose answer was lost
	}
	return err
}

// retry calls write until it succeeds, a few times. It goes on when ctx is
// cancelled, because the outcome matters most when the caller is gone.
func (c *Claim) retry(ctx context.Context, write func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	wait := storeWait
	for attempt := 1; ; attempt++ {
		err := write(ctx)
		if err == nil || errors.Is(err, errNotOurs) || attempt == storeAttempts {
			return err
		}
		if !clock.Sleep(ctx, wait/2+rand.N(wait)) {
			return err
		}
		wait *= 2
	}
}

package delivery

import (
	"context"
	"encoding/json"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

const (
	// kindStarts is the kind of the objects that hold when an order was first seen, for a
	// restart of all instances. Their names are those of the pools.
	kindStarts = "lacewingwheel-deliveries"
	// storeInterval is the time between checks for something to write or read.
	storeInterval = 150 * time.Millisecond
	// storeCallTimeout bounds the calls of one write.
	storeCallTimeout = 1500 * time.Millisecond
	// viewDelay is the time after a write in which the view of the orders may not show it.
	viewDelay = 2 * time.Second
	// retryPause is the time after a write that failed.
	retryPause = 400 * time.Millisecond
	// startReadTime is how long an instance that does not know the age of an order waits for
	// another one to tell it.
	startReadTime = time.Second
)

// storedStart is the value of an object of kindStarts.
type storedStart struct {
	OrderID uint64    `json:"order_id"`
	At      time.Time `json:"at"`
	// IsInForce is set if only the ordered version was in use before the order.
	IsInForce bool `json:"in_force,omitempty"`
}

// statusKey identifies a status that was written.
type statusKey struct {
	orderID uint64
	phase   Phase
}

// statusWrite is a status that is to be written.
type statusWrite struct {
	order Order
	id    uint64
	phase Phase
}

// writeStore writes the statuses that differ from what this instance knows, and the times
// of orders, until ctx ends.
func (c *Controller) writeStore(ctx context.Context) {
	notBefore := make(map[statusKey]time.Duration)
	for clock.Sleep(ctx, clock.Jitter(storeInterval)) {
		if c.StoreHealth.IsLost() {
			continue
		}
		for _, w := range c.dueWrites() {
			key := statusKey{w.id, w.phase}
			if c.Clock.Elapsed() < notBefore[key] {
				continue
			}
			pause := retryPause
			if c.writeStatus(ctx, w) {
				pause = viewDelay
			}
			notBefore[key] = c.Clock.Elapsed() + pause
		}
		for _, order := range c.ordersWithoutTime() {
			c.readStart(ctx, order)
		}
	}
}

// dueWrites returns the statuses that this instance has to write now. The next instance in
// the ranking writes one that the one before has not written in time.
func (c *Controller) dueWrites() []statusWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Elapsed()
	var writes []statusWrite
	for _, p := range c.pools {
		d := p.delivery
		if d == nil || d.missingAt > 0 {
			continue
		}
		phase, since := PhaseTrial, d.orderedAt
		switch {
		case d.phase.IsFinal():
			phase, since = d.phase, d.finalAt
		case d.wantsComplete:
			phase, since = PhaseCompleted, 0 // Decide has waited for the rank
		}
		isWritten := d.status.Version == d.order.Version && d.status.Phase >= phase
		if !isWritten && now-since >= time.Duration(c.Rank(d.order.Pool))*rankDelay {
			writes = append(writes, statusWrite{order: d.order, id: d.id, phase: phase})
		}
	}
	return writes
}

// writeStatus writes a status, on the condition that the object still has the one that was
// read before. It reports whether the status is in the store.
func (c *Controller) writeStatus(ctx context.Context, w statusWrite) bool {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	object, err := c.Store.Get(ctx, c.Kind, w.order.Pool)
	if err != nil {
		c.logWrite(w, err)
		return false
	}
	if order, err := c.Parse(object.Value); err != nil || order != w.order {
		return false // replaced; the view shows it soon
	}
	stored := c.ParseStatus(object.Status)
	if stored.Version == w.order.Version && (stored.Phase.IsFinal() || stored.Phase == w.phase) {
		c.confirm(w.id, stored.Phase)
		return true
	}
	if !c.mayWrite(w) {
		return false
	}
	if w.phase == PhaseTrial {
		c.storeStart(ctx, w)
	}
	status, err := c.EncodeStatus(Status{Version: w.order.Version, Phase: w.phase})
	if err == nil {
		_, err = c.Store.UpdateStatus(ctx, c.Kind, w.order.Pool, status, object.Version)
	}
	if err != nil {
		c.logWrite(w, err)
		return false // the next attempt reads whether it took effect
	}
	c.Log.Info("status of a delivery written", "pool", w.order.Pool, "version", w.order.Version, "phase", w.phase)
	c.confirm(w.id, w.phase)
	return true
}

// mayWrite checks right before the write that the status is still the wanted one: the
// version may have been found bad while the object was read.
func (c *Controller) mayWrite(w statusWrite) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.deliveryOf(w.id)
	return d != nil && d.missingAt == 0 && d.phase <= w.phase && (w.phase != PhaseCompleted || d.phase != PhaseRolledBack)
}

func (c *Controller) logWrite(w statusWrite, cause error) {
	c.Metrics.Add("delivery_status_failed", 1)
	c.Log.Info("status of a delivery not written; the next attempt follows", "pool", w.order.Pool, "version", w.order.Version, "phase", w.phase, "cause", cause)
}

// confirm takes over a phase that the store has.
func (c *Controller) confirm(id uint64, phase Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.deliveryOf(id); d != nil {
		c.raise(d, phase, "status in the store")
	}
}

// storeStart stores when the order was given, unless that is stored.
func (c *Controller) storeStart(ctx context.Context, w statusWrite) {
	c.mu.Lock()
	d := c.deliveryOf(w.id)
	if d == nil || d.timeSource < timeTold {
		c.mu.Unlock()
		return
	}
	start := storedStart{OrderID: w.id, IsInForce: d.isInForce && !d.sawOld, At: c.Clock.Now().Add(-d.age(c.Clock.Elapsed()))}
	c.mu.Unlock()
	value, err := json.Marshal(start)
	if err == nil {
		_, err = c.Store.Create(ctx, kindStarts, w.order.Pool, value)
	}
	if objectstore.IsKind(err, objectstore.KindExists) {
		var object objectstore.Object
		if object, err = c.Store.Get(ctx, kindStarts, w.order.Pool); err == nil {
			_, err = c.Store.Update(ctx, kindStarts, w.order.Pool, value, object.Version)
		}
	}
	if err != nil {
		c.Log.Info("time of a delivery's order not stored; it is only needed if all instances restart", "pool", w.order.Pool, "cause", err)
	}
}

// ordersWithoutTime returns the orders of open deliveries whose age neither this instance
// nor, in startReadTime, another one knows.
func (c *Controller) ordersWithoutTime() []Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	var orders []Order
	for _, p := range c.pools {
		d := p.delivery
		if d == nil || d.phase.IsFinal() || d.timeSource != timeUnknown {
			continue
		}
		if d.unknownSince == 0 {
			d.unknownSince = c.Clock.Elapsed()
		}
		if c.Clock.Elapsed()-d.unknownSince >= startReadTime {
			orders = append(orders, d.order)
		}
	}
	return orders
}

// readStart reads when an order was given. If nobody has stored it, the order counts from
// now.
func (c *Controller) readStart(ctx context.Context, order Order) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	object, err := c.Store.Get(objectstore.AllowStale(ctx), kindStarts, order.Pool)
	if err != nil && !objectstore.IsKind(err, objectstore.KindNotFound) {
		c.Log.Info("time of a delivery's order not read; the next attempt follows", "pool", order.Pool, "cause", err)
		return
	}
	var start storedStart
	age := time.Duration(0)
	if err == nil && json.Unmarshal(object.Value, &start) == nil && start.OrderID == order.ID() {
		age = min(max(0, c.Clock.Now().Sub(start.At)), order.Duration)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.deliveryOf(order.ID()); d != nil {
		d.setTime(c.Clock.Elapsed()-age, timeOfDay)
		d.isInForce = d.isInForce || start.OrderID == d.id && start.IsInForce
		c.Log.Info("time of a delivery's order read", "pool", order.Pool, "version", order.Version, "age", age)
	}
}

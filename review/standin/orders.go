//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// restartAfter is the time between the first order of a rollout and the start of the
	// router that was killed before it.
	restartAfter = 2200 * time.Millisecond
	// darkFor is the longest time between its kill and its start.
	darkFor = 3400 * time.Millisecond
	// secondBump is the time between the first order of a rollout and the next version.
	secondBump = 500 * time.Millisecond
	// turnAwayAfter is the time between the first order of a rollout and the store turning
	// its sender away. turnedAwayFor is the time between the last order and the end of that.
	turnAwayAfter = 900 * time.Millisecond
	turnedAwayFor = 1450 * time.Millisecond
	// lastBump is the latest time after the last order of a rollout at which the
	// operator names the next version.
	lastBump    = 2800 * time.Millisecond
	orderCycles = 6
	runFor      = 115 * time.Second
	cycleTime   = 18 * time.Second
)

// runOrders kills the router that usually gives orders and names new weights, lets the
// store turn the router away that gives the orders now, for two seconds around its last
// order, and names the next weights when the first router is back. Without trouble no
// router is killed and none is turned away. Rule: ONE.
func runOrders(f *fleet, trouble bool) ([]string, error) {
	f.putConfiguration()
	if _, err := f.startRunner("i-7f3a91c2", engineService); err != nil {
		return nil, err
	}
	if err := f.startRouters("edge-th-north-a-1", "edge-th-north-a-2"); err != nil {
		return nil, err
	}
	time.Sleep(leadTime - time.Since(f.startedAt))
	stop := make(chan struct{})
	defer close(stop)
	clients, turn := newCaller(f), 0
	go clients.run(40*time.Millisecond, "/lepu270/2f", 4*time.Second, func() *router {
		turn++
		x := f.routers[turn%len(f.routers)]
		if !isReady(x) {
			return nil
		}
		return x
	}, stop)
	// The first rollout shows which router gives the orders.
	version := 2
	f.putVersion(version)
	if err := f.awaitVersion(version); err != nil {
		return nil, err
	}
	first := f.lastOrder().Holder
	f.awaitLeaseFree(time.Now().Add(10 * time.Second))
	for cycle := 0; cycle < orderCycles && time.Since(f.startedAt) < runFor-cycleTime; cycle++ {
		if len(f.judgeOrders()) > 0 {
			break
		}
		if err := f.playOrderCycle(f.routerNamed(first), &version, trouble); err != nil {
			return nil, err
		}
	}
	return f.judgeOrders(), nil
}

func (f *fleet) playOrderCycle(leader *router, version *int, trouble bool) error {
	killedAt := time.Now()
	if trouble {
		leader.signal(syscall.SIGKILL)
		if err := leader.awaitExit(graceTime); err != nil {
			return err
		}
	}
	*version++
	f.putVersion(*version)
	if err := f.awaitOrder(*version); err != nil {
		return err
	}
	first := f.lastOrder()
	if trouble {
		time.AfterFunc(min(restartAfter, time.Until(killedAt.Add(darkFor))), func() { _ = leader.start() }) // a failed start shows in awaitReady
	}
	time.Sleep(secondBump)
	*version++
	f.putVersion(*version)
	time.Sleep(time.Until(first.at.Add(turnAwayAfter)))
	holder := f.routerNamed(first.Holder)
	if trouble {
		holder.turnAway(true)
	}
	if err := f.awaitOrder(*version); err != nil {
		return err
	}
	last := f.lastOrder()
	time.Sleep(time.Until(last.at.Add(turnedAwayFor)))
	if trouble {
		holder.turnAway(false)
	}
	f.awaitLeaseFree(last.at.Add(lastBump))
	*version++
	f.putVersion(*version)
	if err := f.awaitVersion(*version); err != nil {
		return err
	}
	f.awaitLeaseFree(time.Now().Add(10 * time.Second))
	return leader.awaitReady()
}

func isReady(x *router) bool {
	client := http.Client{Timeout: 200 * time.Millisecond}
	response, err := client.Get("http://" + x.ready + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *fleet) routerNamed(name string) *router {
	for _, x := range f.routers {
		if x.name == name {
			return x
		}
	}
	return f.routers[0]
}

// lastOrder returns the newest accepted order at any runner.
func (f *fleet) lastOrder() order {
	var last order
	for _, r := range f.runners {
		r.mu.Lock()
		for _, o := range r.orders {
			if o.status == http.StatusAccepted && o.at.After(last.at) {
				last = o
			}
		}
		r.mu.Unlock()
	}
	return last
}

// awaitOrder waits until a runner has accepted an order for a version.
func (f *fleet) awaitOrder(version int) error {
	for end := time.Now().Add(17 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f.lastOrder().Version == version {
			return nil
		}
	}
	return fmt.Errorf("no order for version %d", version)
}

// awaitVersion waits until all runners have a version.
func (f *fleet) awaitVersion(version int) error {
	return f.await(fmt.Sprintf("version %d", version), func(r *runner) bool { return r.version >= version })
}

func (f *fleet) await(what string, done func(r *runner) bool) error {
	for end := time.Now().Add(17 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		all := true
		for _, r := range f.runners {
			r.mu.Lock()
			all = all && done(r)
			r.mu.Unlock()
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("runners did not get %s", what)
}

// awaitLeaseFree waits until no router holds the right to give orders, as far as its
// object in the store shows, or until end. It only chooses the moment at which the
// operator names the next version.
func (f *fleet) awaitLeaseFree(end time.Time) {
	client := http.Client{Timeout: time.Second}
	for time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
		response, err := client.Get("http://" + f.storeAddress + "/objects/lease/orders")
		if err != nil {
			continue
		}
		var object struct {
			Spec struct {
				Holder string `json:"holder"`
			} `json:"spec"`
		}
		err = json.NewDecoder(response.Body).Decode(&object)
		response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && object.Spec.Holder == "" {
			return
		}
	}
}

// judgeOrders returns the turns of two holders at one runner within the lease time, and
// fencing tokens that fall or are used by two holders.
func (f *fleet) judgeOrders() []string {
	var violations []string
	for _, r := range f.runners {
		r.mu.Lock()
		for i := 1; i < len(r.orders); i++ {
			before, o := r.orders[i-1], r.orders[i]
			if o.Holder == before.Holder {
				continue
			}
			if gap := o.at.Sub(before.at); gap < leaseTime {
				violations = append(violations, fmt.Sprintf("ONE: %s got an order of %s (fence %d) %d ms after one of %s (fence %d); lease_ms is %d",
					r.id, o.Holder, o.Fence, gap.Milliseconds(), before.Holder, before.Fence, leaseTime.Milliseconds()))
			}
			if o.Fence == before.Fence || o.Fence < before.Fence {
				violations = append(violations, fmt.Sprintf("ONE: %s got fence %d of %s after fence %d of %s", r.id, o.Fence, o.Holder, before.Fence, before.Holder))
			}
		}
		r.mu.Unlock()
	}
	return violations
}

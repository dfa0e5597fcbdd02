package daemon

import (
	"lacewingwheel.example/lacewingwheel/pkg/delivery"
)

// DeliveryPlatform has the names and parsers of orders to deliver a software version.
type DeliveryPlatform struct {
	Kind         string // of the orders' objects
	Parse        func([]byte) (delivery.Order, error)
	ParseStatus  func([]byte) delivery.Status
	EncodeStatus func(delivery.Status) ([]byte, error)
}

// deliveryDuty is the duty of the instance that acts first in the delivery of a pool.
// The name of the pool follows.
const deliveryDuty = "delivery of "

// newDelivery returns the controller of deliveries, or nil if the settings do not bound
// the exposure of new versions.
func (d *Daemon) newDelivery(p Platform, incarnation string) *delivery.Controller {
	if d.settings().MaxExposureShare <= 0 {
		return nil
	}
	return &delivery.Controller{
		Store: p.Store, Kind: p.Deliveries.Kind, Parse: p.Deliveries.Parse, ParseStatus: p.Deliveries.ParseStatus, EncodeStatus: p.Deliveries.EncodeStatus,
		Limits: func() delivery.Limits {
			s := d.settings()
			return delivery.Limits{Share: s.MaxExposureShare, Slack: s.ExposureSlack}
		},
		InstanceCount: d.members.KnownCount, Incarnations: d.liveIncarnations, Incarnation: incarnation,
		Rank:    func(pool string) int { return d.ranking.rank(deliveryDuty + pool) },
		Targets: d.targets.InPool, WatchWait: p.WatchWait(p.Deliveries.Kind), FedByPeer: d.feed.FedByPeer, OnChange: d.feed.NotifyChanged,
		Clock: d.clock, StoreHealth: d.storeHealth, Metrics: d.metrics, Log: d.log,
	}
}

// liveIncarnations returns the incarnations of the instances that are known to live.
func (d *Daemon) liveIncarnations() []string {
	var out []string
	for _, m := range d.members.List() {
		out = append(out, m.Incarnation)
	}
	return out
}

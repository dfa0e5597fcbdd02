package feed

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
)

const (
	// askedInstances is the number of instances that are asked for a newer configuration.
	// The first ones in order read the store and have what they passed on.
	askedInstances = 4
	// askTimeout bounds one such request, with the handshake.
	askTimeout = 700 * time.Millisecond
	// askGrace is how long the others may take after the first answer: one that has ended
	// must not delay a process that starts.
	askGrace = 100 * time.Millisecond
)

// ConfigurationKeeper gives access to the configuration in force.
type ConfigurationKeeper interface {
	// NewerThan returns the configuration in force and its generation if that is above the
	// given one.
	NewerThan(generation uint64) (objectstore.Object, uint64, bool)
	// MergeNewer puts the configuration of another instance in force if it is newer.
	MergeNewer(revision uint64, value []byte)
}

// ConfigurationClient requests the configuration of another instance.
type ConfigurationClient interface {
	FetchConfiguration(ctx context.Context, address string, body peer.ConfigurationBody) (peer.ConfigurationResponse, error)
}

// ConfigurationExchange gets newer configurations and named weights from other instances,
// after a restore of the store that may have undone them.
type ConfigurationExchange struct {
	Keeper ConfigurationKeeper
	Client ConfigurationClient
	// NewestVersions returns the newest named weights by model, and OnNewestVersions is
	// called with those of another instance.
	NewestVersions   func() map[string]string
	OnNewestVersions func(map[string]string)
	// Sources returns the instances from which this one gets changes.
	Sources func() Sources
	Log     hclog.Logger
}

// AskOthers asks the first instances among the sources for what is newer. It returns when all
// have answered, askGrace after the first answer, or after askTimeout.
func (x *ConfigurationExchange) AskOthers(ctx context.Context) {
	answers := make(chan bool, askedInstances)
	asked := 0
	for _, address := range x.Sources().Addresses {
		if address == "" || asked == askedInstances {
			continue
		}
		asked++
		go func() { answers <- x.ask(ctx, address) }()
	}
	var graceEnds <-chan time.Time
	for range asked {
		select {
		case answered := <-answers:
			if answered && graceEnds == nil {
				graceEnds = time.After(askGrace)
			}
		case <-graceEnds:
			return
		}
	}
}

// ask requests a newer configuration from one instance and puts it in force. It reports whether
// the instance has answered.
func (x *ConfigurationExchange) ask(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	response, err := x.Client.FetchConfiguration(ctx, address, peer.ConfigurationBody{Generation: x.generation()})
	if err != nil {
		x.Log.Info("instance not asked for a newer configuration", "instance", address, "cause", err)
		return false
	}
	x.OnNewestVersions(response.Weights)
	if response.Generation > x.generation() {
		x.Log.Info("another instance has a newer configuration than the store", "instance", address, "version", response.Generation, "revision", objectstore.FormatRevision(response.Revision))
		x.Keeper.MergeNewer(response.Revision, response.Value)
	}
	return true
}

// generation returns the generation in force, or 0.
func (x *ConfigurationExchange) generation() uint64 {
	_, generation, _ := x.Keeper.NewerThan(0)
	return generation
}

// fetchIfNewer requests the configuration of an instance whose response tells that it has a
// newer one although all changes of the store were merged.
func (x *ConfigurationExchange) fetchIfNewer(ctx context.Context, address string, response peer.StoreChangesResponse) {
	if x != nil && objectstore.Era(response.ConfigurationRevision) > 0 && response.ConfigurationGeneration > x.generation() {
		x.ask(ctx, address)
	}
}

// Serve answers the request of another instance.
func (x *ConfigurationExchange) Serve(_ context.Context, body peer.ConfigurationBody) (peer.ConfigurationResponse, error) {
	response := peer.ConfigurationResponse{Weights: x.NewestVersions()}
	if object, generation, ok := x.Keeper.NewerThan(body.Generation); ok {
		response.Generation, response.Revision, response.Value = generation, object.Version, object.Value
	}
	return response, nil
}

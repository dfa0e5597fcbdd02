package server

import (
	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/control"
)

// shareTargets divides the reads of the targets' states with the peers.
func (p *peers) shareTargets(targets *control.TargetController, log hclog.Logger) {
	p.targets = control.NewTargetStateReplicator(p.instances, p.transport, log.Named("targets"))
	p.targets.Register(p.registry)
	targets.Replicator = p.targets
}

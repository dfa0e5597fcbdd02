package server

import (
	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/control"
)

// replicateTargetStates divides reading the targets' states among the peers, which
// send each other what they have read.
func (p *peerNetwork) replicateTargetStates(targets *control.TargetController, log hclog.Logger) {
	p.targetStateReplicator = control.NewTargetStateReplicator(p.tracker, p.transport, log.Named("targets"))
	p.targetStateReplicator.Register(p.registry)
	targets.Replicator = p.targetStateReplicator
}

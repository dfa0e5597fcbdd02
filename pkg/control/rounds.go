package control

import (
	"context"
	"sync"
)

// maxRounds bounds the rounds of messages that run at a time; a round with a
// frozen neighbour lasts as long as its timeout.
const maxRounds = 4

// runRounds starts a round each time wake is signalled, until ctx ends.
func runRounds(ctx context.Context, wake <-chan struct{}, round func(context.Context)) {
	var group sync.WaitGroup
	defer group.Wait()
	slots := make(chan struct{}, maxRounds)
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		group.Go(func() {
			defer func() { <-slots }()
			round(ctx)
		})
	}
}

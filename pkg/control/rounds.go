package control

import (
	"context"
	"sync"
)

// maxConcurrentRounds bounds the rounds that run concurrently. A round that
// sends to an unresponsive peer lasts as long as the timeout.
const maxConcurrentRounds = 4

// runRounds starts a round in its own goroutine for each signal on wake, until
// ctx ends. It returns when all rounds have ended.
func runRounds(ctx context.Context, wake <-chan struct{}, round func(context.Context)) {
	var group sync.WaitGroup
	defer group.Wait()
	slots := make(chan struct{}, maxConcurrentRounds)
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

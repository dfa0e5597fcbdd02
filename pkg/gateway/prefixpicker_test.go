package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/choice"
	"lacewingwheel.example/lacewingwheel/pkg/prefix"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

type fixedTargets struct{ set *target.Set }

func (f *fixedTargets) TargetSet() *target.Set { return f.set }

func testTargets(n int) *fixedTargets {
	var targets []*target.Target
	for i := range n {
		targets = append(targets, &target.Target{
			ID: fmt.Sprint("engine-", i), Model: "m", Incarnation: "1", Reachable: true, Live: &target.LiveState{},
		})
	}
	return &fixedTargets{set: target.NewSet(targets)}
}

func testPicker(targets TargetSource) *PrefixPicker {
	index := prefix.NewIndex(prefix.DefaultIndexParams())
	return &PrefixPicker{Targets: targets, Chooser: choice.New(choice.DefaultParams(), "router-1", "a", index)}
}

var testPool = &tables.Pool{Name: "p", Kind: tables.PoolEngine, Model: "m", PieceTokens: 1000, BytesPerToken: 4, TargetLimit: 2, QueueLimit: 2}

func testExchange(organisation, prompt string) *Exchange {
	return &Exchange{
		Request: httptest.NewRequest("POST", "/", nil), Pool: testPool,
		Organisation:   &tables.Organisation{Name: organisation, Weight: 1},
		Generation:     GenerationRequest{Model: "m", Prompt: bytes.Repeat([]byte(prompt), 12000/len(prompt))},
		ReservedTokens: 1000, Deadline: time.Now().Add(time.Minute),
	}
}

// A prompt must go to the target that has its prefix cached, unless the request
// has failed there or the target is leaving.
func TestPrefixPicker(t *testing.T) {
	targets := testTargets(8)
	p := testPicker(targets)
	first := p.Pick(testExchange("a", "x"), nil)
	assert.Equal(t, p.Pick(testExchange("a", "x"), nil), first)
	other := p.Pick(testExchange("a", "x"), map[string]bool{first.ID: true})
	assert.Assert(t, other != nil && other != first)

	var changed []*target.Target
	for _, old := range targets.set.Targets {
		next := *old
		next.Leaving = old.ID == first.ID
		changed = append(changed, &next)
	}
	targets.set = target.NewSet(changed)
	for range 20 {
		assert.Assert(t, p.Pick(testExchange("a", "x"), nil).ID != first.ID)
	}
}

// Picks run concurrently with changes of the set. Under -race this finds data
// races, and picks from an old set after its index slots were reused.
func TestPickWhileTargetsChange(t *testing.T) {
	targets := &replaceableTargets{current: make(chan *target.Set, 1)}
	targets.current <- testTargets(8).set
	p := testPicker(targets)
	var group sync.WaitGroup
	for n := range 8 {
		group.Go(func() {
			for i := range 50 {
				if n == 0 {
					<-targets.current
					targets.current <- testTargets(1 + i%8).set
				}
				ex := testExchange("a", fmt.Sprint(i))
				ex.Target = p.Pick(ex, nil)
				assert.Check(t, ex.Target != nil)
				p.ObserveResult(ex, nil)
			}
		})
	}
	group.Wait()
}

// The circuit breaker must open after repeated failures of a target, or it keeps
// getting requests. Disconnects of callers must not count as failures.
func TestCircuitBreakerFollowsResults(t *testing.T) {
	p := testPicker(testTargets(1))
	choose := &TargetSelection{Picker: p}
	failed := &apierr.Error{Code: apierr.CodeTargetFailed}
	for range 10 {
		ex := testExchange("a", "x")
		ctx, cancel := context.WithCancel(ex.Context())
		cancel()
		ex.Request = ex.Request.WithContext(ctx)
		assert.Equal(t, choose.Handle(ex, func(*Exchange) error { return failed }), error(failed))
	}
	for range choice.DefaultParams().FailureThreshold {
		err := choose.Handle(testExchange("a", "x"), func(*Exchange) error { return failed })
		assert.Equal(t, err, error(failed))
	}
	err := choose.Handle(testExchange("a", "x"), func(*Exchange) error { return nil })
	assert.Equal(t, apierr.From(err).Code, apierr.CodeNoTarget)
}

// Requests that wait for their first token make a target look busy. A stream must
// count once and only until its first token; other requests must not count.
func TestStreamCountsUntilFirstToken(t *testing.T) {
	ex := testExchange("a", "x")
	ex.Target = testTargets(1).set.Targets[0]
	live := ex.Target.Live
	ex.markAwaitingFirstToken()
	assert.Equal(t, live.AwaitingFirstToken.Load(), int64(0))
	ex.Generation.Stream = true
	ex.markAwaitingFirstToken()
	assert.Equal(t, live.AwaitingFirstToken.Load(), int64(1))
	ex.clearAwaitingFirstToken()
	ex.clearAwaitingFirstToken()
	assert.Equal(t, live.AwaitingFirstToken.Load(), int64(0))
}

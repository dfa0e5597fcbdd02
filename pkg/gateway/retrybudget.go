package gateway

import (
	"sync"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// Each pool may save up a few retries, so that a pool with little traffic can
// still retry at all.
const maxSavedRetries = 10.0

// RetryBudgets bounds the retries of each pool to a fraction of its requests,
// so that retries do not multiply the load of a pool that fails as a whole.
type RetryBudgets struct {
	mu    sync.Mutex
	saved map[string]float64
}

// NewRetryBudgets returns full budgets.
func NewRetryBudgets() *RetryBudgets { return &RetryBudgets{saved: make(map[string]float64)} }

func (b *RetryBudgets) deposit(pool *tables.Pool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved[pool.Name] = min(b.balance(pool.Name)+pool.RetryBudget, maxSavedRetries)
}

// withdraw takes one retry from the budget and reports whether there was one.
func (b *RetryBudgets) withdraw(pool *tables.Pool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balance(pool.Name)
	if balance < 1 {
		return false
	}
	b.saved[pool.Name] = balance - 1
	return true
}

func (b *RetryBudgets) balance(pool string) float64 {
	if saved, ok := b.saved[pool]; ok {
		return saved
	}
	return maxSavedRetries
}

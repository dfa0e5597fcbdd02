package gateway

import (
	"sync"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// maxRetryBalance is the most retries that a pool can accumulate, and its balance
// at the start, so that a pool with little traffic can retry.
const maxRetryBalance = 10.0

// RetryBudgets limits the retries of each pool to a fraction of its requests, so
// that retries do not multiply the load when a whole pool fails. It is safe for
// concurrent use.
type RetryBudgets struct {
	mu       sync.Mutex
	balances map[string]float64 // retries by name of the pool
}

// NewRetryBudgets returns budgets in which each pool starts with maxRetryBalance.
func NewRetryBudgets() *RetryBudgets { return &RetryBudgets{balances: make(map[string]float64)} }

// deposit adds the retries that one request of the pool earns.
func (b *RetryBudgets) deposit(pool *tables.Pool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balances[pool.Name] = min(b.balance(pool.Name)+pool.RetryBudget, maxRetryBalance)
}

// withdraw takes one retry from the budget. It returns false if less than one is
// left.
func (b *RetryBudgets) withdraw(pool *tables.Pool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balance(pool.Name)
	if balance < 1 {
		return false
	}
	b.balances[pool.Name] = balance - 1
	return true
}

// balance returns the retries left. The caller must hold b.mu.
func (b *RetryBudgets) balance(pool string) float64 {
	if balance, ok := b.balances[pool]; ok {
		return balance
	}
	return maxRetryBalance
}

package roseadmit

import (
	"sync"
	"time"
)

const (
	// retriesPerRequest is added to the balance by each request.
	retriesPerRequest = 0.1
	// retriesPerSecond is added to the balance independently of the load.
	retriesPerSecond = 10.0
	// maxBalance bounds the burst of retries after a time without failures.
	maxBalance = 100.0
)

// RetryBudget is a token bucket that limits retries to a share of the requests
// plus a constant rate, so that they don't multiply the load during a failure.
// Its methods may be called concurrently.
type RetryBudget struct {
	mu         sync.Mutex
	balance    float64
	refilledAt time.Time
}

// NewRetryBudget returns a budget that holds the retries of one second.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{balance: retriesPerSecond, refilledAt: time.Now()}
}

// Deposit adds the share of one request to the balance.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+retriesPerRequest, maxBalance)
}

// TryWithdraw reports whether a retry may run, and if so deducts it from the
// balance.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.balance = min(b.balance+now.Sub(b.refilledAt).Seconds()*retriesPerSecond, maxBalance)
	b.refilledAt = now
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

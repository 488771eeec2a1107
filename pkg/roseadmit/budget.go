package roseadmit

import (
	"sync"
	"time"
)

const (
	// retryShare is the number of retries earned by one request.
	retryShare = 0.1
	// retriesPerSecond is earned whatever the load.
	retriesPerSecond = 10.0
	// maxRetries bounds the retries saved up.
	maxRetries = 100.0
)

// RetryBudget bounds retries to a share of requests, so that a failure doesn't
// multiply the load. Its methods may be called concurrently.
type RetryBudget struct {
	mu      sync.Mutex
	balance float64
	paidAt  time.Time
}

// NewRetryBudget returns a budget with a second's worth of retries.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{balance: retriesPerSecond, paidAt: time.Now()}
}

// Deposit records a request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+retryShare, maxRetries)
}

// TryWithdraw reports whether a retry may run.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.balance = min(b.balance+now.Sub(b.paidAt).Seconds()*retriesPerSecond, maxRetries)
	b.paidAt = now
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

package rosefront

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// outcomeAnswered is the outcome label of a request that was not refused.
const outcomeAnswered = "answered"

// Metrics holds the metrics of requests.
type Metrics struct {
	set *metrics.Set

	mu       sync.Mutex
	answered map[answeredKey]uint64
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics {
	return &Metrics{set: metrics.NewSet(), answered: make(map[answeredKey]uint64)}
}

// Set returns the underlying set, for export.
func (m *Metrics) Set() *metrics.Set { return m.set }

// observeRequest records an answered or refused request. Served is "replica",
// "primary", "proxy" or "none".
func (m *Metrics) observeRequest(tenant, class, served, outcome string, d time.Duration) {
	labels := fmt.Sprintf(`{tenant=%q,class=%q}`, tenant, class)
	m.set.GetOrCreateHistogram("rosemary_request_seconds" + labels).Update(d.Seconds())
	m.set.GetOrCreateCounter(fmt.Sprintf(`rosemary_requests_total{tenant=%q,class=%q,served=%q,outcome=%q}`,
		tenant, class, served, outcome)).Inc()
	if outcome != outcomeAnswered {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answered[answeredKey{class, served}]++
}

// observeConfirm records how long a write waited for its confirmation.
func (m *Metrics) observeConfirm(tenant string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`rosemary_confirm_seconds{tenant=%q}`, tenant)).Update(d.Seconds())
}

func (m *Metrics) countRefusal(tenant, kind, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rosemary_refusals_total{tenant=%q,kind=%q,outcome=%q}`, tenant, kind, outcome)).Inc()
}

// Answered returns the number of requests of a class that were answered by
// served, over all tenants. Served is "replica", "primary", "proxy" or "none".
func (m *Metrics) Answered(class, served string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answered[answeredKey{class, served}]
}

// answeredKey is the key of the counters of answered requests.
type answeredKey struct {
	class  string
	served string
}

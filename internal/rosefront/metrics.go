package rosefront

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics counts what callers asked and got.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics {
	return &Metrics{set: metrics.NewSet()}
}

// Set returns the underlying set, for writing it out.
func (m *Metrics) Set() *metrics.Set { return m.set }

// observe records one answered request. Served is "replica", "primary" or
// "none".
func (m *Metrics) observe(tenant, class, served, outcome string, d time.Duration) {
	labels := fmt.Sprintf(`{tenant=%q,class=%q}`, tenant, class)
	m.set.GetOrCreateHistogram("rosemary_request_seconds" + labels).Update(d.Seconds())
	m.set.GetOrCreateCounter(fmt.Sprintf(`rosemary_requests_total{tenant=%q,class=%q,served=%q,outcome=%q}`,
		tenant, class, served, outcome)).Inc()
}

// observeConfirm records how long a write waited for its quorum.
func (m *Metrics) observeConfirm(tenant string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`rosemary_confirm_seconds{tenant=%q}`, tenant)).Update(d.Seconds())
}

// refused counts a refusal of one kind.
func (m *Metrics) refused(tenant, kind, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rosemary_refusals_total{tenant=%q,kind=%q,outcome=%q}`, tenant, kind, outcome)).Inc()
}

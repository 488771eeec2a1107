package rosenode

import (
	"io"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Metrics are those of one node.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// WriteText writes the metrics as text.
func (m *Metrics) WriteText(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (m *Metrics) served(class string, kind rosemary.StatementKind, primary bool, took time.Duration) {
	label := `{class="` + class + `",kind="` + kind.String() + `",primary="` + strconv.FormatBool(primary) + `"}`
	m.set.GetOrCreateHistogram("rosemary_statement_seconds" + label).Update(took.Seconds())
}

func (m *Metrics) refused(refusal *rosemary.Refusal) {
	label := `{kind="` + string(refusal.Kind) + `",outcome="` + string(refusal.Outcome) + `"}`
	m.set.GetOrCreateCounter("rosemary_refusals_total" + label).Inc()
}

func (m *Metrics) configured(version int64) {
	m.set.GetOrCreateCounter("rosemary_configuration_version").Set(uint64(version))
}

func (m *Metrics) unreadable(count int) {
	m.set.GetOrCreateCounter("rosemary_unreadable_entries").Set(uint64(count))
}

// TrackDroppedLogLines adds the number of log lines left out.
func (m *Metrics) TrackDroppedLogLines(dropped func() uint64) {
	m.set.NewGauge("rosemary_log_lines_left_out", func() float64 { return float64(dropped()) })
}

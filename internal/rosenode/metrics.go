package rosenode

import (
	"io"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemarywell/rosemarywell/pkg/rosecap"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
)

// Metrics holds the metrics of a node.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// WriteText writes the metrics of the node and its process in Prometheus text
// format.
func (m *Metrics) WriteText(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (m *Metrics) observeStatement(class string, kind rosemary.StatementKind, primary bool, took time.Duration) {
	labels := `{class="` + class + `",kind="` + kind.String() + `",primary="` + strconv.FormatBool(primary) + `"}`
	m.set.GetOrCreateHistogram("rosemary_statement_seconds" + labels).Update(took.Seconds())
}

func (m *Metrics) countRefusal(refusal *rosemary.Refusal) {
	labels := `{kind="` + string(refusal.Kind) + `",outcome="` + string(refusal.Outcome) + `"}`
	m.set.GetOrCreateCounter("rosemary_refusals_total" + labels).Inc()
}

func (m *Metrics) setConfigurationVersion(version int64) {
	m.set.GetOrCreateCounter("rosemary_configuration_version").Set(uint64(version))
}

func (m *Metrics) countStoreRestore() {
	m.set.GetOrCreateCounter("rosemary_store_restores_total").Inc()
}

func (m *Metrics) setUnreadableEntries(count int) {
	m.set.GetOrCreateCounter("rosemary_unreadable_entries").Set(uint64(count))
}

func (m *Metrics) trackTargetsAge(age func() time.Duration) {
	m.set.NewGauge("rosemary_targets_age_seconds", func() float64 { return age().Seconds() })
}

// trackOverCap adds counters of the operations refused as beyond the caps of teams.
func (m *Metrics) trackOverCap(teams *roseteam.Directory, limiter *rosecap.Limiter) {
	if teams == nil {
		return
	}
	for i, t := range teams.Teams() {
		if i >= maxTeamSeries {
			return
		}
		m.set.GetOrCreateGauge("rosemary_team_over_cap_total{team="+strconv.Quote(t.Name)+"}", func() float64 {
			return float64(limiter.Refused(t.Name))
		})
	}
}

// TrackDroppedLogLines adds a gauge for the number of dropped log lines.
func (m *Metrics) TrackDroppedLogLines(dropped func() uint64) {
	m.set.NewGauge("rosemary_log_lines_left_out", func() float64 { return float64(dropped()) })
}

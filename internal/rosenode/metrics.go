package rosenode

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemarywell/rosemarywell/pkg/rosecap"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
)

// Metrics holds the metrics of a node.
type Metrics struct {
	set *metrics.Set

	mu sync.Mutex
	// teams are the teams with series of their own.
	teams map[string]bool
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet(), teams: make(map[string]bool)} }

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

const (
	// maxTeamSeries is the number of teams with series of their own.
	maxTeamSeries = 100
	// otherTeams is the label of the teams without.
	otherTeams = "(others)"

	outcomeServed  = "served"
	outcomeDenied  = "denied"
	outcomeOverCap = "over-cap"
	outcomeRefused = "refused"
	outcomeUnknown = "unknown"
)

// teamOutcome returns the outcome of a refused request as the series of teams have it.
func teamOutcome(refusal *rosemary.Refusal) string {
	switch {
	case refusal.Kind == rosemary.KindDenied:
		return outcomeDenied
	case refusal.Kind == rosemary.KindOverCap:
		return outcomeOverCap
	case refusal.Outcome == rosemary.OutcomeNotRun:
		return outcomeRefused
	}
	return outcomeUnknown
}

// countTeamRequest counts a request of a team, unless that is empty.
func (m *Metrics) countTeamRequest(team, outcome string) {
	if team == "" {
		return
	}
	labels := `{team="` + m.teamLabel(team) + `",outcome="` + outcome + `"}`
	m.set.GetOrCreateCounter("rosemary_team_requests_total" + labels).Inc()
}

// teamLabel returns the label of a team's series.
func (m *Metrics) teamLabel(team string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.teams[team] {
		if len(m.teams) >= maxTeamSeries {
			return otherTeams
		}
		m.teams[team] = true
	}
	return strings.Map(func(r rune) rune {
		if strings.ContainsRune(`"\{}`, r) || r < ' ' {
			return '_'
		}
		return r
	}, team)
}

func (m *Metrics) trackConfigurationAge(age func() time.Duration, outdated func() bool) {
	m.set.NewGauge("rosemary_configuration_age_seconds", func() float64 { return age().Seconds() })
	m.set.NewGauge("rosemary_configuration_outdated", func() float64 {
		if outdated() {
			return 1
		}
		return 0
	})
}

func (m *Metrics) setConfigurationVersion(version int64) {
	m.set.GetOrCreateCounter("rosemary_configuration_version").Set(uint64(version))
}

// observeConfigurationDelay records for how long the version before wasn't known to be the
// newest when a new one came into force.
func (m *Metrics) observeConfigurationDelay(source string, unconfirmed time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("rosemary_configuration_delay_seconds{source=%q}", source)).Update(unconfirmed.Seconds())
}

// trackUnusedBytes adds a counter of the bytes of configurations that arrived too late.
func (m *Metrics) trackUnusedBytes(unused func() uint64) {
	m.set.NewGauge("rosemary_configuration_unused_bytes", func() float64 { return float64(unused()) })
}

func (m *Metrics) countMissedNotification() {
	m.set.GetOrCreateCounter("rosemary_configuration_notifications_missed_total").Inc()
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

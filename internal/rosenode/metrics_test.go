package rosenode

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestTeamSeriesAreBounded counts requests of many teams, some with odd names.
func TestTeamSeriesAreBounded(t *testing.T) {
	c := qt.New(t)
	m := NewMetrics()
	for range 2 {
		for n := range 3 * maxTeamSeries {
			m.countTeamRequest(fmt.Sprintf("te\"a\\m{%d}\n", n), outcomeServed)
		}
	}
	m.countTeamRequest("", outcomeServed)
	var text bytes.Buffer
	m.WriteText(&text)
	c.Check(strings.Count(text.String(), "rosemary_team_requests_total{"), qt.Equals, maxTeamSeries+1)
	c.Check(text.String(), qt.Contains, `rosemary_team_requests_total{team="(others)",outcome="served"} 400`)
	c.Check(text.String(), qt.Contains, `rosemary_team_requests_total{team="te_a_m_7__",outcome="served"} 2`)
}

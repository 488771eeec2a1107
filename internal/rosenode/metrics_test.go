package rosenode

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosecap"
	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
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

// TestOverCapSeriesAreBounded gives 150 teams, with any characters in their names, at most 100
// series.
func TestOverCapSeriesAreBounded(t *testing.T) {
	c := qt.New(t)
	var teams []roseteam.Team
	for n := range 150 {
		teams = append(teams, roseteam.Team{Name: fmt.Sprintf("a\"b\\c}{=,ü\x00\xff%d", n), Cap: &roseteam.Cap{Rate: 1}})
	}
	directory, err := roseteam.NewDirectory(1, teams)
	c.Assert(err, qt.IsNil)
	m := NewMetrics()
	m.trackOverCap(directory, rosecap.NewLimiter(rosecap.LimiterConfig{}))
	var text bytes.Buffer
	m.WriteText(&text)
	c.Check(strings.Count(text.String(), "rosemary_team_over_cap_total{"), qt.Equals, 100)
}

package rosecommand

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/internal/rosenode"
)

// TestTeams prints the teams of three proxies, of which the last one doesn't answer.
func TestTeams(t *testing.T) {
	c := qt.New(t)
	age, late, rate, burst, connections := int64(1250), int64(7300), 12.5, 40.0, 3
	states := []rosenode.TeamsState{
		{Proxy: "edge-1", Zone: "a", Version: 7, VersionAgeMs: &age, Teams: []rosenode.TeamState{
			{Name: "blue", Priority: 1, Rate: &rate, Burst: &burst, Keys: []string{"0a1b2c3d", "99887766"}, Sessions: 12, Usage: &rosenode.TeamUsage{Tokens: 4, Waiting: 12, Refused: 3}, Connections: &connections},
			{Name: "red"},
		}},
		{Proxy: "edge-2", Zone: "b", Version: 6, VersionAgeMs: &late, Outdated: true},
	}
	var addresses []string
	for _, state := range states {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c.Check(r.URL.Path, qt.Equals, teamsPath)
			_ = json.NewEncoder(w).Encode(state)
		}))
		defer server.Close()
		addresses = append(addresses, server.Listener.Addr().String())
	}
	replies := append(fetchAll[rosenode.TeamsState](context.Background(), strings.Join(addresses, ","), teamsPath), teamsReply{Address: "10.0.0.3:1", Error: "no response"})
	var out bytes.Buffer
	c.Assert(printTeams(&out, replies), qt.IsNil)
	want, err := os.ReadFile(filepath.Join("testdata", "teams.golden"))
	c.Assert(err, qt.IsNil)
	c.Check(strings.Split(out.String(), "\n"), qt.DeepEquals, strings.Split(string(want), "\n"))
}

package roseteam_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
)

// inForce returns the directory of versions that were in force one after the other. Each maps
// keys to teams.
func inForce(c *qt.C, versions map[int64]map[string]string, order ...int64) *roseteam.Directory {
	var current *roseteam.Directory
	for _, version := range order {
		byTeam := make(map[string][]roseteam.KeyDigest)
		for key, team := range versions[version] {
			byTeam[team] = append(byTeam[team], roseteam.DigestKey(key))
		}
		var teams []roseteam.Team
		for name, keys := range byTeam {
			teams = append(teams, roseteam.Team{Name: name, Keys: keys})
		}
		next, err := roseteam.NewDirectory(version, teams)
		c.Assert(err, qt.IsNil)
		current = next.WithPredecessor(current)
	}
	return current
}

// TestMayHold checks which tasks of proxies with another version a home refuses.
func TestMayHold(t *testing.T) {
	c := qt.New(t)
	versions := map[int64]map[string]string{
		10: {"a1": "a", "a2": "a", "b1": "b", "c1": "c"},
		20: {"a1": "a", "b1": "b", "c1": "c", "d1": "d"}, // a loses a2
		30: {"a1": "a", "b1": "b", "c1": "b", "d1": "d"}, // c1 moves to b, c is gone
		40: {"a1": "a", "b1": "b", "c1": "c", "d1": "d"}, // and back
		50: {"a1": "a", "a2": "a", "b1": "b", "d1": "d"}, // a2 is back, c is gone
	}
	tests := []struct {
		name    string
		order   []int64
		team    string
		version int64
		ok      bool
	}{
		{"same version", []int64{10, 20}, "a", 20, true},
		{"newer version", []int64{10}, "z", 20, true},
		{"key lost since", []int64{10, 20}, "a", 10, false},
		{"key lost earlier", []int64{10, 20, 30}, "a", 20, true},
		{"nothing lost", []int64{10, 20, 30}, "b", 10, true},
		{"team gone", []int64{10, 20, 30}, "c", 20, false},
		{"key moved back", []int64{10, 20, 30, 40}, "b", 30, false},
		{"key back", []int64{10, 20, 30, 40, 50}, "a", 10, false},
		{"team named again", []int64{10, 20, 30, 40}, "c", 20, false},
		{"version never in force here", []int64{10, 40}, "b", 30, false},
		{"nothing seen earlier", []int64{40}, "b", 30, false},
		{"without teams", []int64{10, 20}, "", 0, false},
		{"public route", []int64{10, 20}, "", 10, true},
	}
	for _, test := range tests {
		c.Check(inForce(c, versions, test.order...).MayHold(test.team, test.version), qt.Equals, test.ok, qt.Commentf("%s", test.name))
	}
}

// TestMemoryIsBounded checks that old versions are forgotten, and then refused.
func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	versions := make(map[int64]map[string]string)
	var order []int64
	for version := int64(1); version <= 200; version++ {
		versions[version] = map[string]string{"a": "a", "b": "b"}
		order = append(order, version)
	}
	directory := inForce(c, versions, order...)
	c.Check(directory.MayHold("a", 199), qt.IsTrue)
	c.Check(directory.MayHold("a", 150), qt.IsTrue)
	c.Check(directory.MayHold("a", 100), qt.IsFalse)
}

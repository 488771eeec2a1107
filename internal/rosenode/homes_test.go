package rosenode

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

func proxies(perZone ...int) []rosemary.Member {
	var members []rosemary.Member
	for z, count := range perZone {
		for i := range count {
			members = append(members, rosemary.Member{
				Proxy: rosemary.ProxyID(fmt.Sprintf("p%d-%d", z, i)), Zone: rosemary.Zone(fmt.Sprint("z", z)), Weight: 1,
			})
		}
	}
	return members
}

// The links of all homes stay within what a target accepts.
func TestLinksStayWithinTheConnections(t *testing.T) {
	tests := []struct {
		name        string
		connections int
		slots       int
		members     []rosemary.Member
		homes       int
	}{
		{"licences", 22, 3, proxies(3, 2, 1), 6},
		{"races", 50, 5, proxies(3, 2, 1), 6},
		{"licences, grown", 34, 3, proxies(30, 21, 18), 3},
		{"races, grown", 151, 6, proxies(17, 13, 14, 17), 8},
		{"three hundred", 34, 3, proxies(100, 100, 100), 3},
		{"alone", 22, 3, proxies(1), 1},
		{"hardly any", 4, 3, proxies(2, 2, 2), 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rule := rosemary.GroupSettings{Name: "g", MaxConnections: test.connections}
			free := freeConnections(rule, test.slots)
			all := homes("g", free, test.members)
			qt.Check(t, all, qt.HasLen, test.homes)
			sum := 0
			for _, m := range all {
				sum += linksOf(free, m, all).Share
			}
			qt.Check(t, sum <= max(free, len(all)), qt.IsTrue, qt.Commentf("%d links of %d", sum, free))
		})
	}
}

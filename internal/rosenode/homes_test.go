package rosenode

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
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

// The connections of all home proxies stay within what a target accepts.
func TestHomeConnectionsStayWithinLimit(t *testing.T) {
	tests := []struct {
		name        string
		connections int
		slots       int
		members     []rosemary.Member
		homes       int
	}{
		{"few proxies, few connections", 22, 3, proxies(3, 2, 1), 6},
		{"few proxies, many connections", 50, 5, proxies(3, 2, 1), 6},
		{"many proxies, few connections", 34, 3, proxies(30, 21, 18), 3},
		{"many proxies, many connections", 151, 6, proxies(17, 13, 14, 17), 8},
		{"300 proxies", 34, 3, proxies(100, 100, 100), 3},
		{"single proxy", 22, 3, proxies(1), 1},
		{"fewer connections than proxies", 4, 3, proxies(2, 2, 2), 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			settings := rosemary.GroupSettings{Name: "g", MaxConnections: test.connections}
			available := availableConns(settings, test.slots, false)
			groupHomes := homes("g", available, false, test.members)
			qt.Check(t, groupHomes, qt.HasLen, test.homes)
			total := 0
			for _, m := range groupHomes {
				total += connLimits(available, m, groupHomes).Share
			}
			qt.Check(t, total <= max(available, len(groupHomes)), qt.IsTrue, qt.Commentf("%d connections in total, %d available", total, available))
		})
	}
}

// Where not every proxy is a home, the parts of all homes and a reserve for each stay within a
// target's connections, those in use within its slots and its queue.
func TestHomePartsStayWithinRoom(t *testing.T) {
	for _, members := range [][]rosemary.Member{proxies(30, 21, 18), proxies(17, 13, 14, 17), proxies(40, 40, 40), proxies(100, 1, 100)} {
		for connections := 30; connections <= 150; connections += 7 {
			for slots := 2; slots <= 6; slots++ {
				for _, teams := range []bool{false, true} {
					settings := rosemary.GroupSettings{Name: "g", MaxConnections: connections}
					settled := homes("g", availableConns(settings, slots, teams), teams, members)
					if len(settled) == len(members) {
						continue
					}
					open, inUse := 0, 0
					for _, m := range settled {
						part, reserve := homeParts(settings, slots, teams, m, settled)
						open += part.Open + reserve.Open
						inUse += part.InUse + reserve.InUse
						qt.Check(t, reserve.InUse*len(settled) >= slots, qt.IsTrue)
						qt.Check(t, part.InUse >= reserve.InUse, qt.IsTrue, qt.Commentf("part %+v, reserve %+v", part, reserve))
					}
					comment := qt.Commentf("%d connections, %d slots, teams %v, %d homes: %d open, %d in use", connections, slots, teams, len(settled), open, inUse)
					qt.Check(t, open <= connections-controlConnections, qt.IsTrue, comment)
					qt.Check(t, inUse <= slots+targetQueue, qt.IsTrue, comment)
				}
			}
		}
	}
}

// TestUsersIncludeThisProxy guards against a proxy that counts as part of the larger side of a
// partition, as a stale list of members lacks it.
func TestUsersIncludeThisProxy(t *testing.T) {
	members := proxies(1, 1, 1)
	n := New(Config{Self: members[0], Clock: roseclock.Runtime{}, Store: emptyStore{}})
	configuration := &rosemary.Configuration{Groups: map[string]rosemary.GroupSettings{"g": {MaxConnections: 60}}}
	for _, listed := range [][]rosemary.Member{members, members[1:]} {
		n.directory.Store(newDirectory(members[0], listed, listed, configuration, map[string]int{"g": 3}))
		qt.Check(t, n.usersOf("g"), qt.Equals, 3, qt.Commentf("%d listed", len(listed)))
	}
}

package rosegroup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

func benchGroup() rosemary.Group {
	group := rosemary.Group{Database: "db"}
	for i := range 3 {
		group.Targets = append(group.Targets, rosemary.Target{ID: rosemary.TargetID(fmt.Sprint(i)), Zone: rosemary.Zone(fmt.Sprint(i))})
	}
	return group
}

// BenchmarkObservationsAdd measures the time and allocations of one observation.
func BenchmarkObservationsAdd(b *testing.B) {
	observations := rosegroup.NewObservations(benchGroup(), nil)
	offset, at := uint64(0), time.Unix(0, 0)
	b.ReportAllocs()
	for b.Loop() {
		offset++
		at = at.Add(time.Millisecond)
		target := offset % 3
		status := rosemary.Status{
			Target: rosemary.TargetID(fmt.Sprint(target)), Term: 1, Role: rosemary.RoleReplica, Primary: "0",
			Position: rosemary.Position{LogTerm: 1, Offset: offset}, History: rosemary.History{{Term: 1, Offset: 1}},
		}
		if target == 0 {
			status.Role = rosemary.RolePrimary
		}
		observations.Add(rosegroup.Observation{Status: status, SentAt: at, ReceivedAt: at})
	}
}

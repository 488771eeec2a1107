package rosenode

import (
	"fmt"
	"testing"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const benchGroups = 20

// benchFleet returns a configuration with benchGroups groups, the slots of their targets, and
// members in five zones.
func benchFleet(size int) (*rosemary.Configuration, map[string]int, []rosemary.Member) {
	configuration := &rosemary.Configuration{Version: 1, Groups: make(map[string]rosemary.GroupSettings)}
	slots := make(map[string]int)
	for i := range benchGroups {
		name := fmt.Sprint("group-", i)
		configuration.Groups[name] = rosemary.GroupSettings{Name: name, MaxConnections: 88}
		slots[name] = 3
	}
	var members []rosemary.Member
	for i := range size {
		members = append(members, rosemary.Member{
			Proxy: rosemary.ProxyID(fmt.Sprintf("proxy-%04d", i)), Zone: rosemary.Zone(fmt.Sprint("zone-", i%5)), Address: fmt.Sprint("address-", i), Weight: 192,
		})
	}
	return configuration, slots, members
}

// BenchmarkRelayHomes measures what a relayed request spends on the choice of its home.
func BenchmarkRelayHomes(b *testing.B) {
	for _, size := range []int{6, 195, 2200} {
		b.Run(fmt.Sprint("members=", size), func(b *testing.B) {
			configuration, slots, members := benchFleet(size)
			// A proxy that isn't registered is no home.
			n := New(Config{Self: rosemary.Member{Proxy: "relay", Zone: "zone-0"}})
			n.configuration.Store(configuration)
			n.directory.Store(newDirectory(n.config.Self, members, members, configuration, slots))
			n.mesh.AddMembers(members)
			for b.Loop() {
				n.RelayHomes("group-7")
			}
		})
	}
}

// BenchmarkDirectory measures a change of the members or of the configuration.
func BenchmarkDirectory(b *testing.B) {
	for _, size := range []int{6, 195, 2200} {
		b.Run(fmt.Sprint("members=", size), func(b *testing.B) {
			configuration, slots, members := benchFleet(size)
			for b.Loop() {
				newDirectory(members[0], members, members, configuration, slots)
			}
		})
	}
}

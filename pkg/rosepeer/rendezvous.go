// Package rosepeer implements the gossip membership of proxies. Node decides,
// without sockets or goroutines, which members to monitor and which updates to
// forward; Mesh exchanges its messages over WebSocket. The package also assigns
// proxies to keys by rendezvous hashing, and tunnels connections through peers.
package rosepeer

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// score is the rendezvous hash of a proxy for a key.
func score(key string, id rosemary.ProxyID) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(key))
	hash.Write([]byte{0})
	hash.Write([]byte(id))
	return mix(hash.Sum64())
}

// mix is a hash finalizer: the high bits of FNV-1a differ little for short
// keys.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// RendezvousOrder returns members in descending rendezvous score for key.
// Adding or removing a member does not reorder the others.
func RendezvousOrder(key string, members []rosemary.Member) []rosemary.Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b rosemary.Member) int {
		return cmp.Or(cmp.Compare(score(key, b.Proxy), score(key, a.Proxy)), cmp.Compare(a.Proxy, b.Proxy))
	})
	return ranked
}

// RendezvousRank returns the index of id in the rendezvous order of key, or the
// number of members if id is not among them.
func RendezvousRank(key string, members []rosemary.Member, id rosemary.ProxyID) int {
	own, rank, found := score(key, id), 0, false
	for _, m := range members {
		other := score(key, m.Proxy)
		switch {
		case m.Proxy == id:
			found = true
		case other > own || other == own && m.Proxy < id:
			rank++
		}
	}
	if !found {
		return len(members)
	}
	return rank
}

// RendezvousChoice returns the name with the highest rendezvous score for key, or "" if
// there are none. Adding or removing a name moves no key between the others.
func RendezvousChoice(key string, names []string) string {
	var best string
	var highest uint64
	for _, name := range names {
		if s := score(key, rosemary.ProxyID(name)); best == "" || s > highest || s == highest && name < best {
			best, highest = name, s
		}
	}
	return best
}

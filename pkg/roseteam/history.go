package roseteam

import (
	"maps"
	"slices"
)

// keptVersions is the number of versions that a directory remembers.
const keptVersions = 64

// WithPredecessor returns the directory with the memory of the one that was in force
// before, which may be nil.
func (d *Directory) WithPredecessor(previous *Directory) *Directory {
	if d == nil || previous == nil {
		return d
	}
	next := *d
	earlier := append(slices.Clone(previous.earlier), previous.version)
	next.earlier = earlier[max(len(earlier)-keptVersions, 0):]
	next.lostKeyAt = maps.Clone(previous.lostKeyAt)
	maps.DeleteFunc(next.lostKeyAt, func(_ string, version int64) bool { return version <= next.earlier[0] })
	for key, team := range previous.byKey {
		if d.byKey[key] != team {
			if next.lostKeyAt == nil {
				next.lostKeyAt = make(map[string]int64)
			}
			next.lostKeyAt[team] = d.version
		}
	}
	return &next
}

// MayHold reports whether each key that belonged to a team in a version still does, as far
// as this directory can tell. It can't for versions before it that weren't in force here.
// An empty team stands for callers of a public route, which need no key.
func (d *Directory) MayHold(team string, version int64) bool {
	if version >= d.version || team == "" && version > 0 {
		return true
	}
	if _, found := d.byName[team]; !found || d.lostKeyAt[team] > version {
		return false
	}
	_, seen := slices.BinarySearch(d.earlier, version)
	return seen
}

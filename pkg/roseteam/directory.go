package roseteam

import (
	"cmp"
	"slices"

	"github.com/gravitational/trace"
)

// Directory holds the teams of one version of the configuration. A nil Directory is that of
// a configuration without teams.
type Directory struct {
	version int64
	byName  map[string]Team
	byKey   map[KeyDigest]string
	// earlier are the last versions that were in force here before, in ascending order.
	earlier []int64
	// lostKeyAt is the first version without a key that a team had before, by team.
	lostKeyAt map[string]int64
}

// NewDirectory returns the directory of a version. The error is a trace.BadParameter if two
// teams have the same name or share a key.
func NewDirectory(version int64, teams []Team) (*Directory, error) {
	d := &Directory{version: version, byName: make(map[string]Team, len(teams)), byKey: make(map[KeyDigest]string)}
	for _, t := range teams {
		if _, known := d.byName[t.Name]; known || t.Name == "" {
			return nil, trace.BadParameter("team %q is named twice or has no name; give each team a name of its own", t.Name)
		}
		d.byName[t.Name] = t
		for _, k := range t.Keys {
			if holder, known := d.byKey[k]; known {
				return nil, trace.BadParameter("teams %q and %q share the key with fingerprint %s; give each key to one team, once", holder, t.Name, k.Fingerprint())
			}
			d.byKey[k] = t.Name
		}
	}
	return d, nil
}

// Version returns the version of the configuration that the teams belong to.
func (d *Directory) Version() int64 { return d.version }

// Len returns the number of teams.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// ByKey returns the team that holds a key.
func (d *Directory) ByKey(key KeyDigest) (Team, bool) {
	name, found := d.byKey[key]
	return d.byName[name], found
}

// ByName returns the team with that name.
func (d *Directory) ByName(name string) (Team, bool) {
	t, found := d.byName[name]
	return t, found
}

// Teams returns all teams, sorted by name.
func (d *Directory) Teams() []Team {
	teams := make([]Team, 0, len(d.byName))
	for _, t := range d.byName {
		teams = append(teams, t)
	}
	slices.SortFunc(teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	return teams
}

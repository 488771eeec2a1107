package rosebundle

import "fmt"

// CheckChange returns the faults that make next an unsafe successor of current.
// A group's acknowledged writes are on a quorum of its targets, so a target may
// only be removed after it was marked as leaving, only one may be replaced per
// version, and the number of targets must not change.
func CheckChange(current, next *Content) []Fault {
	ch := &checker{seenTargets: make(map[string]bool)}
	currentDatabases := make(map[string]Database)
	for _, d := range current.Databases {
		currentDatabases[d.Name] = d
	}
	for i, d := range next.Databases {
		if old, existed := currentDatabases[d.Name]; existed {
			ch.checkGroupChange(fmt.Sprintf("Databases[%d].Targets", i), old, d)
		}
	}
	return ch.faults
}

func (ch *checker) checkGroupChange(key string, old, next Database) {
	inNext := make(map[string]bool)
	for _, t := range next.Targets {
		inNext[t.ID] = true
	}
	removed := 0
	for _, t := range old.Targets {
		if inNext[t.ID] {
			continue
		}
		removed++
		if !t.Leaving {
			ch.add(key, fmt.Sprintf("target %q is removed without having been marked as leaving", t.ID),
				"set Leaving = true in one version and remove the target in the next")
		}
	}
	if len(next.Targets) != len(old.Targets) {
		ch.add(key, fmt.Sprintf("the number of targets changes from %d to %d", len(old.Targets), len(next.Targets)),
			"replace a leaving target with a new one in the same version")
	}
	if removed > 1 {
		ch.add(key, fmt.Sprintf("%d targets are replaced at once", removed), "replace one per version")
	}
}

package rosebundle

import "fmt"

// CheckChange returns what makes next an unsafe successor of now. A group's
// acknowledged writes are on a quorum of its targets; a target may therefore
// only go after it was leaving, and only one may be replaced at a time.
func CheckChange(now, next *Content) []Fault {
	ch := &checker{targets: make(map[string]bool)}
	before := make(map[string]Database)
	for _, d := range now.Databases {
		before[d.Name] = d
	}
	for i, d := range next.Databases {
		if old, existed := before[d.Name]; existed {
			ch.groupChange(fmt.Sprintf("Databases[%d].Targets", i), old, d)
		}
	}
	return ch.faults
}

func (ch *checker) groupChange(key string, old, next Database) {
	kept := make(map[string]bool)
	for _, t := range next.Targets {
		kept[t.ID] = true
	}
	gone := 0
	for _, t := range old.Targets {
		if kept[t.ID] {
			continue
		}
		gone++
		if !t.Leaving {
			ch.add(key, fmt.Sprintf("target %q goes without having been leaving", t.ID),
				"set Leaving = true in one version, and remove it in the next")
		}
	}
	if len(next.Targets) != len(old.Targets) {
		ch.add(key, fmt.Sprintf("the number of targets changes from %d to %d", len(old.Targets), len(next.Targets)),
			"replace a leaving target by a new one in the same version")
	}
	if gone > 1 {
		ch.add(key, fmt.Sprintf("%d targets are replaced at once", gone), "replace one in each version")
	}
}

package rosesupervisor

import (
	"context"
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// setPrefix begins the keys of the groups' target sets.
const setPrefix = "Targets/"

// setRecord is the stored value of a group's target set.
type setRecord struct {
	Generation int64
	Number     uint64
	Members    []rosemary.TargetID
	Retiring   []rosemary.TargetID `json:",omitempty"`
	Open       bool                `json:",omitempty"`
	FormerTerm uint64              `json:",omitempty"`
	Former     []rosemary.TargetID `json:",omitempty"`
}

func newSetRecord(s rosegroup.TargetSet) setRecord {
	return setRecord{s.Version.Generation, s.Version.Number, s.Members, s.Retiring, s.Open, s.FormerTerm, s.Former}
}

func (r setRecord) set() rosegroup.TargetSet {
	return rosegroup.TargetSet{
		Version: rosegroup.SetVersion{Generation: r.Generation, Number: r.Number},
		Members: r.Members, Retiring: r.Retiring, Open: r.Open, FormerTerm: r.FormerTerm, Former: r.Former,
	}
}

// storedSet is a target set as it is in the store.
type storedSet struct {
	set rosegroup.TargetSet
	// revision is that of its key, zero if the store has none in its current epoch.
	revision int64
	// unsettled is a set that this proxy has written without an answer, zero if there is none.
	unsettled rosegroup.TargetSet
}

// TargetSets returns the newest target sets known, by their groups.
func (l *LockManager) TargetSets() map[string]rosegroup.TargetSet {
	l.mu.Lock()
	defer l.mu.Unlock()
	sets := make(map[string]rosegroup.TargetSet, len(l.sets))
	for group, stored := range l.sets {
		sets[group] = stored.set
	}
	return sets
}

// TargetSet returns the newest target set known of a group, zero if there is none.
func (l *LockManager) TargetSet(group string) rosegroup.TargetSet {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sets[group].set
}

// ObserveTargetSet records a set that another proxy has told of.
func (l *LockManager) ObserveTargetSet(group string, set rosegroup.TargetSet) {
	l.mu.Lock()
	known := l.sets[group]
	newer := set.Version.Compare(known.set.Version) > 0
	if newer {
		known.set = set
		l.sets[group] = known
	}
	l.mu.Unlock()
	if newer {
		l.config.OnTargetSet(group, set)
	}
}

// DecidedSet returns the target set that this proxy has to go by as the holder of a group's lock.
// It reports false unless it holds the lock and has read the set since it claimed it. If it
// isn't known whether a change has reached the store, the set is one that is safe in both cases.
func (l *LockManager) DecidedSet(group string) (rosegroup.TargetSet, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	claim, held := l.held[group]
	return l.sets[group].decided(), held && l.hasReadSet(claim)
}

// UnsettledSet returns the set that this proxy has written without an answer, if there is one.
func (l *LockManager) UnsettledSet(group string) (rosegroup.TargetSet, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	unsettled := l.sets[group].unsettled
	return unsettled, !unsettled.IsZero()
}

// decided returns the set to go by while it isn't known whether the unsettled one is in the store.
func (s storedSet) decided() rosegroup.TargetSet {
	if s.unsettled.IsZero() {
		return s.set
	}
	return s.set.WithUncertain(s.unsettled)
}

// hasReadSet reports whether the target sets have been read since a claim. The caller holds the lock.
func (l *LockManager) hasReadSet(claim lockClaim) bool {
	return !l.freshListAt.Before(claim.at)
}

// BeginSetChange records that this proxy is about to write a group's target set, so that
// DecidedSet takes it into account from now on. It does nothing while the outcome of an earlier
// change is unknown, which has to be written again.
func (l *LockManager) BeginSetChange(group string, set rosegroup.TargetSet) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	stored := l.sets[group]
	if !stored.unsettled.IsZero() {
		return false
	}
	stored.unsettled = set
	l.sets[group] = stored
	return true
}

// WriteTargetSet writes the set of a BeginSetChange. It succeeds only while this proxy
// holds the lock in the store, and if nobody else has written a set since the one that it has read.
func (l *LockManager) WriteTargetSet(ctx context.Context, group string, set rosegroup.TargetSet) error {
	l.mu.Lock()
	claim, held := l.held[group]
	revision, ready := l.sets[group].revision, held && l.hasReadSet(claim)
	lockKey, setKey := l.keyPrefix()+lockPrefix+group, l.keyPrefix()+setPrefix+group
	l.mu.Unlock()
	if !ready {
		return errLockLost
	}
	value, err := json.Marshal(newSetRecord(set))
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	revision, err = l.config.Store.Apply(ctx, rosemary.Change{
		Preconditions: []rosemary.Precondition{{Key: lockKey, Revision: claim.revision}, {Key: setKey, Revision: revision}},
		Writes:        []rosemary.Item{{Key: setKey, Value: value}},
	})
	if l.syncEpoch() {
		return trace.CompareFailed("the store was restored while the target set was written")
	}
	if err != nil {
		// A change without an answer may have taken effect, or may still do so, which DecidedSet takes
		// into account. A failed precondition tells that an earlier one has, or that the lock is lost.
		l.RefreshNow()
		return trace.Wrap(err)
	}
	l.recordSet(group, set, revision)
	return nil
}

// recordSet records a set that the store has at a revision, unless a later one is known.
func (l *LockManager) recordSet(group string, set rosegroup.TargetSet, revision int64) {
	l.mu.Lock()
	known := l.sets[group]
	if revision <= known.revision {
		l.mu.Unlock()
		return
	}
	newer := set.Version.Compare(known.set.Version) > 0
	if newer || set.Version == known.set.Version {
		known.set = set
	}
	// An unsettled change is this one, or its precondition has failed.
	known.revision, known.unsettled = revision, rosegroup.TargetSet{}
	l.sets[group] = known
	l.mu.Unlock()
	if newer {
		l.config.OnTargetSet(group, set)
	}
}

// forgetUnsettledSet forgets a change made under an earlier claim of a group's lock, whose
// precondition fails now. The caller holds the lock.
func (l *LockManager) forgetUnsettledSet(group string) {
	if stored, known := l.sets[group]; known {
		stored.unsettled = rosegroup.TargetSet{}
		l.sets[group] = stored
	}
}

// forgetSetRevisions forgets the revisions of an earlier epoch of the store, which has no sets now.
// The caller holds the lock.
func (l *LockManager) forgetSetRevisions() {
	for group, stored := range l.sets {
		l.sets[group] = storedSet{set: stored.set}
	}
}

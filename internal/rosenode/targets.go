package rosenode

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// targetsInterval is how often a home proxy reads the list of targets.
	targetsInterval = 1400 * time.Millisecond
	// readerTargetsInterval is how often a reader does, so that the list is recent enough
	// for the proxies that hear of it.
	readerTargetsInterval = time.Second
	// nonHomeIntervalFactor lengthens targetsInterval for a proxy that is home
	// to no group, as it needs the targets only when no home proxy is reachable.
	nonHomeIntervalFactor = 6
	// reregistrationTime is how long targets that are missing from the list are
	// kept after an outage of the store, which gives them time to register again.
	reregistrationTime = 2500 * time.Millisecond
)

// serves reports whether this proxy is home to a group, or serves one temporarily.
func (n *Node) serves() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, g := range n.groups {
		if g.home || g.servedTemporarily() {
			return true
		}
	}
	return false
}

// loadedTargets reports whether the targets have been read and the groups are known.
func (n *Node) loadedTargets() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.targetsLoaded && len(n.groups) > 0
}

// targetsReadInterval returns the interval between reads of the targets. Once
// they have been read and the groups are known, it is longer for a proxy that serves
// no group.
func (n *Node) targetsReadInterval() time.Duration {
	switch {
	case n.readsForOthers():
		return readerTargetsInterval
	case !n.loadedTargets() || n.serves():
		return targetsInterval
	}
	return nonHomeIntervalFactor * targetsInterval
}

// hearsOfTargets reports whether what this proxy has heard of the targets from readers is
// recent enough.
func (n *Node) hearsOfTargets() bool {
	if len(n.askedReaders()) == 0 || !n.loadedTargets() {
		return false
	}
	limit := maxIdleTargetsAge
	if n.serves() {
		limit = maxTargetsAge
	}
	return n.targetsAge() <= limit
}

// followTargets updates the groups with the targets registered in the store.
func (n *Node) followTargets(ctx context.Context) {
	failed := false
	epoch := n.config.Store.Epoch()
	var regainedAt time.Time
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeReadTimeout)
		sentAt := n.config.Clock.Now()
		registrations, unreadable, err := n.config.Targets.Targets(callCtx)
		cancel()
		switch {
		case err != nil && ctx.Err() == nil:
			if !failed {
				klog.InfoS("store lost", "for", "targets", "targetsAgeMs", n.targetsAge().Milliseconds(), "err", roselog.ErrorMessage(err))
			}
			failed = true
		case err == nil:
			if failed {
				klog.InfoS("store regained", "for", "targets", "targets", len(registrations), "targetsAgeMs", n.targetsAge().Milliseconds())
				regainedAt = time.Now()
			}
			failed = false
			if newest := n.config.Store.Epoch(); newest != epoch {
				epoch, regainedAt = newest, time.Now()
			}
			n.metrics.setUnreadableEntries(unreadable)
			n.replaceTargets(withReadyTimes(registrations, sentAt), sentAt, time.Since(regainedAt) < reregistrationTime)
		}
		n.awaitTargetsRead(ctx)
	}
}

// requestTargetsRead has the targets read at once, as those known may be outdated.
func (n *Node) requestTargetsRead() {
	select {
	case n.readTargetsNow <- struct{}{}:
	default:
	}
}

// awaitTargetsRead waits until the targets are due to be read again. For a proxy that hears
// of them from readers that is once their news is too old.
func (n *Node) awaitTargetsRead(ctx context.Context) {
	timer := time.NewTimer(n.targetsReadInterval())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-n.readTargetsNow:
			return
		case <-ctx.Done():
			return
		}
		if !n.hearsOfTargets() {
			return
		}
		timer.Reset(newsCheckInterval)
	}
}

// targetsAge returns how long ago the read of the known targets was sent; zero before
// the first.
func (n *Node) targetsAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.targetsAgeLocked()
}

// targetsAgeLocked is targetsAge for callers that hold the lock.
func (n *Node) targetsAgeLocked() time.Duration {
	if n.targetsReadAt.IsZero() {
		return 0
	}
	return n.config.Clock.Now().Sub(n.targetsReadAt)
}

// replaceTargets replaces the known targets by those of a read sent at readAt, unless
// a newer read is known. With keepNewer, it keeps those that aren't in read, and
// newer registrations than those.
func (n *Node) replaceTargets(read []rosemary.TargetRegistration, readAt time.Time, keepNewer bool) {
	n.mu.Lock()
	if keepNewer {
		read = mergeRegistrations(n.registrations, read)
	}
	n.registrations, n.targetsReadAt = newerTargets(n.registrations, n.targetsReadAt, read, readAt)
	n.targetsLoaded = true
	n.mu.Unlock()
	n.updateGroups(true)
}

// withReadyTimes returns the registrations of a read sent at readAt, with that time for
// the targets that weren't leaving.
func withReadyTimes(read []rosemary.TargetRegistration, readAt time.Time) []rosemary.TargetRegistration {
	stamped := slices.Clone(read)
	for i := range stamped {
		if !stamped[i].Leaving {
			stamped[i].LastReadyAt = readAt
		}
	}
	return stamped
}

// newerTargets returns the newer one of two reads and when it was sent. Its targets
// have the later of the times at which either read knew them not to be leaving.
func newerTargets(known []rosemary.TargetRegistration, knownAt time.Time, read []rosemary.TargetRegistration, readAt time.Time) ([]rosemary.TargetRegistration, time.Time) {
	newer, older, newerAt := read, known, readAt
	if readAt.Before(knownAt) {
		newer, older, newerAt = known, read, knownAt
	}
	merged := slices.Clone(newer)
	for i, m := range merged {
		for _, o := range older {
			if o.ID == m.ID && o.Incarnation == m.Incarnation && o.LastReadyAt.After(m.LastReadyAt) {
				merged[i].LastReadyAt = o.LastReadyAt
			}
		}
	}
	return merged, newerAt
}

// mergeRegistrations returns read, with the known registrations that are missing in
// it or were made later by the same incarnation of a target: a store that has been
// away or was restored may lack them for a while.
func mergeRegistrations(known, read []rosemary.TargetRegistration) []rosemary.TargetRegistration {
	merged := slices.Clone(read)
	for _, k := range known {
		i := slices.IndexFunc(merged, func(r rosemary.TargetRegistration) bool { return r.ID == k.ID })
		switch {
		case i < 0:
			merged = append(merged, k)
		case merged[i].Incarnation == k.Incarnation && merged[i].Sequence < k.Sequence:
			merged[i] = k
		}
	}
	return merged
}

package rosenode

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

const (
	// maxTargetsAge is the age from which on a proxy that serves groups asks its peers
	// for a newer list of targets: the interval between two reads, and the time
	// that one may take.
	maxTargetsAge = targetsInterval + storeReadTimeout/2
	// peerTargetsInterval separates the questions.
	peerTargetsInterval = 500 * time.Millisecond
	// peerTargetsTimeout bounds the wait for a reply.
	peerTargetsTimeout = 300 * time.Millisecond
)

// targetsKnowledge is what a proxy lacks about the targets of the groups that it serves.
type targetsKnowledge int

const (
	targetsKnown targetsKnowledge = iota
	// targetsOutdated lacks a recent list.
	targetsOutdated
	// readyTimesUnknown lacks the time when a leaving target was last ready.
	readyTimesUnknown
)

// followPeerTargets has peers tell what the store doesn't: the targets if they can't
// be read, and for how long a target has been leaving if this proxy has never seen it
// ready.
func (n *Node) followPeerTargets(ctx context.Context) {
	for roseclock.Sleep(ctx, peerTargetsInterval) {
		knowledge := n.targetsKnowledge()
		if knowledge == targetsKnown {
			continue
		}
		if linked := n.mesh.LinkedPeers(); len(linked) > 0 {
			n.pullTargets(ctx, linked[rand.IntN(len(linked))], knowledge == targetsOutdated)
		}
	}
}

// targetsKnowledge returns what this proxy lacks about the targets.
func (n *Node) targetsKnowledge() targetsKnowledge {
	n.mu.Lock()
	defer n.mu.Unlock()
	served := make(map[string]bool)
	for name, g := range n.groups {
		if g.home || g.servedTemporarily() {
			served[name] = true
		}
	}
	if len(served) == 0 || !n.targetsLoaded {
		return targetsKnown
	}
	if n.targetsAgeLocked() > maxTargetsAge {
		return targetsOutdated
	}
	for _, r := range n.registrations {
		if served[r.Group] && r.Leaving && r.LastReadyAt.IsZero() {
			return readyTimesUnknown
		}
	}
	return targetsKnown
}

// pullTargets asks a peer for its targets, or with onlyNewer for those of a list newer
// than its own, and takes over what is newer. Ages count from before the question was
// sent, so that nothing looks newer than it is.
func (n *Node) pullTargets(ctx context.Context, from rosemary.ProxyID, onlyNewer bool) {
	question := rosewire.Question{About: rosepeer.AboutTargets}
	askedAt := n.config.Clock.Now()
	if onlyNewer {
		age := uint64(n.targetsAge().Milliseconds())
		question.AgeMs = &age
	}
	ctx, cancel := context.WithTimeout(ctx, peerTargetsTimeout)
	defer cancel()
	reply, answered := n.mesh.Query(ctx, from, question)
	if !answered || !reply.Known || reply.AgeMs == nil {
		return
	}
	readAt := askedAt.Add(-millis(*reply.AgeMs))
	registrations := decodeRegistrations(reply.Targets, askedAt)
	n.learnTargetSets(reply.Sets)
	klog.InfoS("targets pulled", "from", from, "targets", len(registrations), "ageMs", *reply.AgeMs, "ownAgeMs", n.targetsAge().Milliseconds())
	n.replaceTargets(registrations, readAt, false)
}

// describeTargets answers a question about the targets that this proxy knows, unless
// the sender's list isn't older than its own.
func (n *Node) describeTargets(question rosewire.Question) rosewire.Reply {
	if !n.knowsTargetSets() {
		return rosewire.Reply{}
	}
	sets := n.encodeTargetSets()
	n.mu.Lock()
	defer n.mu.Unlock()
	age := n.targetsAgeLocked()
	if !n.targetsLoaded || question.AgeMs != nil && age >= millis(*question.AgeMs) {
		return rosewire.Reply{}
	}
	now := n.config.Clock.Now()
	reply := rosewire.Reply{Yes: true, Known: true, AgeMs: ageMillis(age), Sets: sets}
	for _, r := range n.registrations {
		reply.Targets = append(reply.Targets, encodeRegistration(r, now))
	}
	return reply
}

func encodeRegistration(r rosemary.TargetRegistration, now time.Time) rosewire.Registration {
	encoded := rosewire.Registration{
		Target: string(r.ID), Address: r.Address, Zone: string(r.Zone), Group: r.Group, Slots: uint64(r.Slots),
		Leaving: r.Leaving, Primary: r.Primary, Incarnation: r.Incarnation, Sequence: r.Sequence,
	}
	if !r.LastReadyAt.IsZero() {
		encoded.ReadyMs = ageMillis(now.Sub(r.LastReadyAt))
	}
	return encoded
}

// decodeRegistrations returns the registrations that a peer has sent, but for those that name no
// target, which earlier builds pass on.
func decodeRegistrations(targets []rosewire.Registration, askedAt time.Time) []rosemary.TargetRegistration {
	var registrations []rosemary.TargetRegistration
	for _, t := range targets {
		if r := decodeRegistration(t, askedAt); r.Check() == nil {
			registrations = append(registrations, r)
		}
	}
	return registrations
}

func decodeRegistration(t rosewire.Registration, askedAt time.Time) rosemary.TargetRegistration {
	r := rosemary.TargetRegistration{
		Target: rosemary.Target{ID: rosemary.TargetID(t.Target), Address: t.Address, Zone: rosemary.Zone(t.Zone)},
		Group:  t.Group, Slots: int(min(t.Slots, math.MaxInt32)), Leaving: t.Leaving, Primary: t.Primary, Incarnation: t.Incarnation, Sequence: t.Sequence,
	}
	if t.ReadyMs != nil {
		r.LastReadyAt = askedAt.Add(-millis(*t.ReadyMs))
	}
	return r
}

// millis returns a number of milliseconds that a peer has sent, or the longest duration if it
// is longer.
func millis(count uint64) time.Duration {
	return time.Duration(min(count, math.MaxInt64/uint64(time.Millisecond))) * time.Millisecond
}

// ageMillis returns an age in milliseconds, rounded up, as it must not be understated.
func ageMillis(age time.Duration) *uint64 {
	rounded := uint64(age.Milliseconds()) + 1
	return &rounded
}

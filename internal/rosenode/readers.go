package rosenode

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

const (
	// unsharedReads is the number of proxies up to which each reads the store itself.
	unsharedReads = 12
	// proxiesPerReader is the number of proxies of a zone for each of its readers.
	proxiesPerReader = 40
	// readerPollInterval separates a proxy's questions to a reader.
	readerPollInterval = 500 * time.Millisecond
	// readerPollTimeout bounds the wait for a reply.
	readerPollTimeout = 250 * time.Millisecond
	// maxIdleTargetsAge is how old a reader's news of the targets may be before a proxy that
	// serves no group reads them from the store itself.
	maxIdleTargetsAge = 10 * time.Second
)

// reading is who reads targets and configuration from the store, as one proxy sees it. One
// proxy, the root, reads for all; the readers of each zone ask the root, and the others of a
// zone its readers. Each has a second one to ask, and reads the store itself if neither has
// recent news.
type reading struct {
	// asked are the proxies to ask, the preferred one first; none if this proxy reads the
	// store itself.
	asked []rosemary.ProxyID
	// root is set if this proxy reads for the others.
	root bool
	// reader is set if the others of a zone rely on this proxy, which asks the root.
	reader bool
}

// newReading returns the reading of a proxy among members. It counts itself as one of them in
// its own zone, as a stale list may lack it, and know an earlier VM of its name.
func newReading(self rosemary.Member, members []rosemary.Member) reading {
	members = append(slices.DeleteFunc(slices.Clone(members), func(m rosemary.Member) bool { return m.Proxy == self.Proxy }), self)
	if len(members) <= unsharedReads {
		return reading{}
	}
	byZone := make(map[rosemary.Zone][]rosemary.Member)
	for _, m := range members {
		byZone[m.Zone] = append(byZone[m.Zone], m)
	}
	var first []rosemary.Member
	for zone, inZone := range byZone {
		byZone[zone] = rosepeer.RendezvousOrder("read", inZone)
		first = append(first, byZone[zone][0])
	}
	roots := rosepeer.RendezvousOrder("root", first)
	zone := byZone[self.Zone]
	if roots[0].Proxy == self.Proxy {
		return reading{root: true}
	}
	count := (len(zone) + proxiesPerReader - 1) / proxiesPerReader
	readers, rest := zone[:count], zone[count:]
	switch {
	case isHome(self.Proxy, readers):
		return reading{asked: otherProxies(self, roots[:min(2, len(roots))]), reader: true}
	case len(rest) > 0 && rest[0].Proxy == self.Proxy:
		return reading{asked: otherProxies(self, []rosemary.Member{readers[0], roots[0]}), reader: true}
	}
	preferred := rosepeer.RendezvousOrder("ask/"+string(self.Proxy), readers)[0]
	return reading{asked: otherProxies(self, []rosemary.Member{preferred, rest[0]})}
}

// otherProxies returns the names of those members that aren't self, each once.
func otherProxies(self rosemary.Member, members []rosemary.Member) []rosemary.ProxyID {
	var ids []rosemary.ProxyID
	for _, m := range members {
		if m.Proxy != self.Proxy && !slices.Contains(ids, m.Proxy) {
			ids = append(ids, m.Proxy)
		}
	}
	return ids
}

// askedReaders returns the readers that this proxy asks, none if it reads the store itself.
func (n *Node) askedReaders() []rosemary.ProxyID {
	d := n.directory.Load()
	if d == nil {
		return nil
	}
	return d.reading.asked
}

// readsForZone reports whether the others of this zone rely on what this proxy hears of the store.
func (n *Node) readsForZone() bool {
	d := n.directory.Load()
	return d != nil && d.reading.reader
}

// readsForOthers reports whether this proxy reads the store for the others.
func (n *Node) readsForOthers() bool {
	d := n.directory.Load()
	return d != nil && d.reading.root
}

// followReaders asks a reader of this zone for what it has read from the store, so that
// the calls to the store don't grow with the fleet. What is heard has the age of the
// reader's read; what is too old is read from the store.
func (n *Node) followReaders(ctx context.Context) {
	heard := true
	for roseclock.Sleep(ctx, readerPollInterval) {
		readers := n.askedReaders()
		if len(readers) == 0 {
			continue
		}
		fresh := slices.ContainsFunc(readers, func(id rosemary.ProxyID) bool { return n.askReader(ctx, id) })
		if fresh != heard {
			klog.InfoS("news of the store changed", "heard", fresh, "readers", len(readers), "targetsAgeMs", n.targetsAge().Milliseconds(),
				"configurationAgeMs", n.configurationAge().Milliseconds())
		}
		heard = fresh
	}
}

// askReader asks a reader for what it has read from the store, and reports whether that is
// recent. Ages count from before the question was sent, so that nothing looks newer than it
// is. News of an earlier epoch of the store, or older than what is known, is ignored.
func (n *Node) askReader(ctx context.Context, reader rosemary.ProxyID) bool {
	ctx, cancel := context.WithTimeout(ctx, readerPollTimeout)
	defer cancel()
	question := rosewire.Question{About: rosepeer.AboutStore}
	if digest, known := n.targetsDigest(); known && n.targetsKnowledge() != readyTimesUnknown {
		question.Digest = &digest
	}
	askedAt := n.config.Clock.Now()
	reply, answered := n.mesh.Query(ctx, reader, question)
	if !answered || !reply.Known || reply.AgeMs == nil || reply.Version == nil || reply.VersionAgeMs == nil || reply.Epoch == nil {
		return false
	}
	if *reply.Epoch < n.config.Store.Epoch() {
		klog.InfoS("news of the store ignored", "from", reader, "epoch", *reply.Epoch, "newest", n.config.Store.Epoch())
		return false
	}
	n.hearTargets(reply, askedAt)
	n.hearConfiguration(reader, int64(*reply.Version), askedAt.Add(-millis(*reply.VersionAgeMs)))
	return n.targetsAge() <= maxTargetsAge && n.configurationAge() <= n.newsBudget().MaxAge
}

// hearTargets takes over the targets of a reader's reply, or that those known haven't
// changed.
func (n *Node) hearTargets(reply rosewire.Reply, askedAt time.Time) {
	readAt := askedAt.Add(-millis(*reply.AgeMs))
	if !reply.Yes {
		n.replaceTargets(decodeRegistrations(reply.Targets, askedAt), readAt, false)
		return
	}
	serves := n.serves()
	n.mu.Lock()
	newer := readAt.After(n.targetsReadAt)
	unchanged := withReadyTimes(n.registrations, readAt)
	if newer && !serves {
		// No group uses them.
		n.registrations, n.targetsReadAt = unchanged, readAt
	}
	n.mu.Unlock()
	if newer && serves {
		n.replaceTargets(unchanged, readAt, false)
	}
}

// hearConfiguration records that a reader knew a version to be the newest at a time.
func (n *Node) hearConfiguration(reader rosemary.ProxyID, version int64, confirmedAt time.Time) {
	switch current := n.configuration.Load(); {
	case current == nil || version > current.Version:
		n.nameVersion(reader, version)
	case version == current.Version:
		n.confirmConfiguration(confirmedAt)
	}
}

// confirmConfiguration records that the configuration in force was the newest at a time.
func (n *Node) confirmConfiguration(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if at.After(n.configurationAt) {
		n.configurationAt = at
	}
}

// configurationAge returns how long ago the configuration in force was known to be the
// newest.
func (n *Node) configurationAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.Clock.Now().Sub(n.configurationAt)
}

// describeStore answers a question about what this proxy has read from the store, or heard
// of it. It leaves out the targets if the sender has the same.
func (n *Node) describeStore(question rosewire.Question) rosewire.Reply {
	digest, known := n.targetsDigest()
	n.mu.Lock()
	defer n.mu.Unlock()
	// Loaded under the lock, so that an age isn't that of a later version.
	configuration := n.configuration.Load()
	if configuration == nil || !known || n.configurationAt.IsZero() {
		return rosewire.Reply{}
	}
	now := n.config.Clock.Now()
	version, epoch := uint64(configuration.Version), n.config.Store.Epoch()
	reply := rosewire.Reply{
		Known: true, AgeMs: ageMillis(n.targetsAgeLocked()),
		Version: &version, VersionAgeMs: ageMillis(now.Sub(n.configurationAt)), Epoch: &epoch,
	}
	if question.Digest != nil && *question.Digest == digest {
		reply.Yes = true
		return reply
	}
	for _, r := range n.registrations {
		reply.Targets = append(reply.Targets, encodeRegistration(r, now))
	}
	return reply
}

// targetsDigest returns a digest of the known targets, and whether any have been read.
func (n *Node) targetsDigest() (uint64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return digestTargets(n.registrations), n.targetsLoaded
}

// digestTargets returns a digest of registrations but for what changes with each
// heartbeat of a target.
func digestTargets(registrations []rosemary.TargetRegistration) uint64 {
	ordered := slices.SortedFunc(slices.Values(registrations), func(a, b rosemary.TargetRegistration) int { return cmp.Compare(a.ID, b.ID) })
	hash := fnv.New64a()
	for _, r := range ordered {
		for _, field := range []string{
			string(r.ID), r.Address, string(r.Zone), r.Group, strconv.Itoa(r.Slots),
			strconv.FormatBool(r.Leaving), strconv.FormatBool(r.Primary), strconv.FormatInt(r.Incarnation, 10),
		} {
			hash.Write([]byte(field))
			hash.Write([]byte{0})
		}
	}
	return hash.Sum64()
}

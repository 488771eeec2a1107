package rosepeer_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"hash/fnv"
	"runtime"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

// overheadBytes is the overhead of WebSocket, TCP and IP for one message.
const overheadBytes = 46

// simulatedEvent is the arrival of a message, the completion of a bundle fetch,
// or else a tick, at node number to.
type simulatedEvent struct {
	at      time.Time
	to      int
	from    rosemary.ProxyID
	message *rosewire.Message
	// version is set on the completion of a bundle fetch.
	version uint64
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation runs many nodes over in-memory links in simulated time.
type simulation struct {
	now            time.Time
	nodes          []*rosepeer.Node
	members        []rosemary.Member
	index          map[rosemary.ProxyID]int
	queue          eventQueue
	dead           map[int]bool
	messages       uint64
	bytes          uint64
	activeAt       map[int]time.Time
	reportedDeadAt map[int]time.Time
	stopped        rosemary.ProxyID
	// falseSuspicions counts suspicions of members that are alive.
	falseSuspicions int
}

const (
	tickInterval = 100 * time.Millisecond
	regions      = 5
)

// selector chooses neighbours; nil uses the default rings.
type selector func(self rosemary.Member, members []rosemary.Member) []rosemary.ProxyID

func newSimulation(size, zones, fullMeshSize int, choose selector) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), index: make(map[rosemary.ProxyID]int), dead: make(map[int]bool),
		activeAt: make(map[int]time.Time), reportedDeadAt: make(map[int]time.Time),
	}
	for i := range size {
		s.members = append(s.members, rosemary.Member{
			Proxy: rosemary.ProxyID(fmt.Sprintf("proxy-%04d", i)), Zone: rosemary.Zone(fmt.Sprintf("zone-%02d", i%zones)),
			Address: fmt.Sprintf("10.%d.%d.1:6433", i/256, i%256),
		})
		s.index[s.members[i].Proxy] = i
	}
	for i, m := range s.members {
		node := rosepeer.NewNode(rosepeer.NodeConfig{Self: m, Incarnation: 1, FullMeshSize: fullMeshSize, SelectNeighbours: choose})
		node.AddMembers(s.now, s.members)
		s.nodes = append(s.nodes, node)
		heap.Push(&s.queue, simulatedEvent{at: s.now.Add(tickInterval * time.Duration(i%100) / 100), to: i})
	}
	members := rosewire.News{}
	for _, m := range s.members {
		members.Members = append(members.Members, rosewire.Member{
			Proxy: string(m.Proxy), Zone: string(m.Zone), Address: m.Address, Incarnation: 1,
		})
	}
	for _, n := range s.nodes {
		_, _ = n.Receive(s.now, "", rosewire.Message{News: &members})
	}
	return s
}

// delay is the one-way latency between two nodes: lowest within a zone, higher
// between zones, highest between regions.
func (s *simulation) delay(a, b int) time.Duration {
	za, zb := s.members[a].Zone, s.members[b].Zone
	switch {
	case za == zb:
		return 300 * time.Microsecond
	case zoneNumber(za)%regions == zoneNumber(zb)%regions:
		return time.Millisecond
	}
	return 40 * time.Millisecond
}

func zoneNumber(z rosemary.Zone) int {
	number := 0
	_, _ = fmt.Sscanf(string(z), "zone-%d", &number)
	return number
}

func (s *simulation) send(from int, envelopes []rosepeer.Envelope) {
	for _, e := range envelopes {
		to := s.index[e.To]
		body, err := cbor.Marshal(e.Message)
		if err != nil || s.dead[to] {
			continue
		}
		s.messages++
		s.bytes += uint64(len(body)) + overheadBytes
		message := e.Message
		heap.Push(&s.queue, simulatedEvent{at: s.now.Add(s.delay(from, to)), to: to, from: s.members[from].Proxy, message: &message})
	}
}

// handleEvents acts on events as a proxy does: it fetches a newer bundle from
// the peer that reported it, in three round trips for manifest, page and
// section.
func (s *simulation) handleEvents(i int, events []rosepeer.Event) {
	for _, e := range events {
		if e.Member.Proxy != "" && e.Member.Proxy != s.stopped && e.State != rosepeer.StateAlive {
			s.falseSuspicions++
		}
		if e.Member.Proxy == s.stopped && e.State == rosepeer.StateDead && s.reportedDeadAt[i].IsZero() {
			s.reportedDeadAt[i] = s.now
		}
		if e.BundleVersion > 0 && s.activeAt[i].IsZero() {
			const roundTrips = 3
			// A time in the future marks the fetch as in progress.
			s.activeAt[i] = s.now.Add(time.Hour)
			from := s.index[e.From]
			heap.Push(&s.queue, simulatedEvent{at: s.now.Add(2 * roundTrips * s.delay(i, from)), to: i, version: e.BundleVersion})
		}
	}
}

func (s *simulation) run(duration time.Duration) {
	end := s.now.Add(duration)
	for s.queue.Len() > 0 && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(simulatedEvent)
		s.now = e.at
		if s.dead[e.to] {
			continue
		}
		node := s.nodes[e.to]
		var envelopes []rosepeer.Envelope
		var events []rosepeer.Event
		switch {
		case e.version > 0:
			s.activeAt[e.to] = s.now
			node.SetBundleVersion(e.version)
			envelopes, events = node.Tick(s.now)
		case e.message != nil:
			envelopes, events = node.Receive(s.now, e.from, *e.message)
		default:
			envelopes, events = node.Tick(s.now)
			heap.Push(&s.queue, simulatedEvent{at: s.now.Add(tickInterval), to: e.to})
		}
		s.send(e.to, envelopes)
		s.handleEvents(e.to, events)
	}
	s.now = end
}

// rolloutTime sets a version on two nodes of every zone and returns the time
// until it is in force on all nodes, or an hour if it isn't after 10 s.
func (s *simulation) rolloutTime(version uint64) time.Duration {
	started := s.now
	clear(s.activeAt)
	zones := make(map[rosemary.Zone]int)
	for i, m := range s.members {
		if zones[m.Zone] < 2 && !s.dead[i] {
			zones[m.Zone]++
			s.activeAt[i] = s.now
			s.nodes[i].SetBundleVersion(version)
		}
	}
	s.run(10 * time.Second)
	last := time.Duration(0)
	for i := range s.members {
		if s.dead[i] {
			continue
		}
		if s.activeAt[i].IsZero() {
			return time.Hour
		}
		last = max(last, s.activeAt[i].Sub(started))
	}
	return last
}

// detectionTime stops a node and returns the time until all others consider it
// dead, or an hour if they don't after 30 s.
func (s *simulation) detectionTime(i int) time.Duration {
	started := s.now
	s.dead[i] = true
	s.stopped = s.members[i].Proxy
	s.run(30 * time.Second)
	last := time.Duration(0)
	for j := range s.members {
		if s.dead[j] {
			continue
		}
		if s.reportedDeadAt[j].IsZero() {
			return time.Hour
		}
		last = max(last, s.reportedDeadAt[j].Sub(started))
	}
	return last
}

// costs are the measured costs of one membership. Messages, bytes, CPU and
// memory are those of one node, the first two per second.
type costs struct {
	messages, bytes, cpuPercent, memoryMB float64
	rollout, detection                    time.Duration
	neighbours, falseSuspicions           int
}

// measure simulates a membership: 20 s for its traffic, after 5 s to settle, then
// a rollout and the failure of a node.
func measure(size, zones, fullMeshSize int, choose selector) costs {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := newSimulation(size, zones, fullMeshSize, choose)
	s.run(5 * time.Second)
	runtime.GC()
	runtime.ReadMemStats(&after)
	s.messages, s.bytes = 0, 0
	const seconds = 20
	started := time.Now()
	s.run(seconds * time.Second)
	elapsed := time.Since(started)
	result := costs{
		messages:   float64(s.messages) / seconds / float64(size),
		bytes:      float64(s.bytes) / seconds / float64(size),
		cpuPercent: elapsed.Seconds() / seconds / float64(size) * 100,
		memoryMB:   float64(after.HeapAlloc-before.HeapAlloc) / float64(size) / (1 << 20),
		neighbours: len(s.nodes[0].Neighbours()),
	}
	result.rollout = s.rolloutTime(2)
	result.detection = s.detectionTime(size / 2)
	result.falseSuspicions = s.falseSuspicions
	return result
}

// randomSubsets selects pairs of nodes symmetrically by a hash, so that each
// node has about degree neighbours in any zone.
func randomSubsets(degree int) selector {
	return func(self rosemary.Member, members []rosemary.Member) []rosemary.ProxyID {
		var chosen []rosemary.ProxyID
		limit := uint64(float64(degree) / float64(len(members)-1) * float64(1<<32))
		for _, m := range members {
			if m.Proxy == self.Proxy {
				continue
			}
			hash := fnv.New32a()
			fmt.Fprint(hash, min(self.Proxy, m.Proxy), max(self.Proxy, m.Proxy))
			// The multiplication (Knuth's constant) spreads the hash's bits.
			if uint64(hash.Sum32()*2654435761) < limit {
				chosen = append(chosen, m.Proxy)
			}
		}
		slices.Sort(chosen)
		return chosen
	}
}

// zoneRelay makes the first node of each zone relay for the others.
func zoneRelay(self rosemary.Member, members []rosemary.Member) []rosemary.ProxyID {
	relays := make(map[rosemary.Zone]rosemary.Member)
	for _, m := range members {
		if r, ok := relays[m.Zone]; !ok || cmp.Less(m.Proxy, r.Proxy) {
			relays[m.Zone] = m
		}
	}
	var chosen []rosemary.ProxyID
	if relays[self.Zone] != self {
		return append(chosen, relays[self.Zone].Proxy)
	}
	for _, m := range members {
		if m.Proxy != self.Proxy && (m.Zone == self.Zone || relays[m.Zone] == m) {
			chosen = append(chosen, m.Proxy)
		}
	}
	return chosen
}

// BenchmarkMembership reports the cost of the membership protocol for several
// sizes and ways to choose neighbours. The CPU share includes the simulation's
// queue.
func BenchmarkMembership(b *testing.B) {
	topologies := []struct {
		name         string
		fullMeshSize int
		choose       selector
	}{{"mesh", 1 << 20, nil}, {"rings", 8, nil}, {"subsets", 8, randomSubsets(12)}, {"relay", 8, zoneRelay}}
	for _, size := range []int{6, 60, 600, 2200} {
		for _, topology := range topologies {
			if topology.name == "mesh" && size > 60 {
				continue
			}
			b.Run(fmt.Sprintf("%s/nodes=%d", topology.name, size), func(b *testing.B) {
				var measured costs
				for range b.N {
					measured = measure(size, min(19, max(3, size/20)), topology.fullMeshSize, topology.choose)
				}
				b.ReportMetric(measured.messages, "messages/node/s")
				b.ReportMetric(measured.bytes, "bytes/node/s")
				b.ReportMetric(measured.cpuPercent, "cpu%/node")
				b.ReportMetric(measured.memoryMB, "MB/node")
				b.ReportMetric(measured.rollout.Seconds(), "s-in-force")
				b.ReportMetric(measured.detection.Seconds(), "s-to-notice")
				b.ReportMetric(float64(measured.neighbours), "neighbours")
			})
		}
	}
}

// A new bundle and the failure of a node must become known everywhere in time,
// without suspicions of live nodes, and the traffic must stay below 13 kB/s per
// node.
func TestRolloutAndFailureDetection(t *testing.T) {
	for _, size := range []int{6, 60} {
		measured := measure(size, max(3, size/20), 8, nil)
		c := qt.New(t)
		c.Check(measured.rollout < 7*time.Second, qt.IsTrue, qt.Commentf("in force on all nodes after %s", measured.rollout))
		c.Check(measured.detection < 12*time.Second, qt.IsTrue, qt.Commentf("considered dead by all after %s", measured.detection))
		c.Check(measured.falseSuspicions, qt.Equals, 0)
		c.Check(measured.bytes < 13_000, qt.IsTrue, qt.Commentf("%.0f bytes per node and second", measured.bytes))
	}
}

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

// overheadBytes is what WebSocket, TCP and IP add to a message.
const overheadBytes = 46

// delivery is a message on its way, or a tick when it has no message.
type delivery struct {
	at      time.Time
	to      int
	from    rosemary.ProxyID
	message *rosewire.Message
	// version is set for the end of a pull.
	version uint64
}

type deliveries []delivery

func (d deliveries) Len() int           { return len(d) }
func (d deliveries) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d deliveries) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)        { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

// fleet runs the decisions of many nodes over in-memory links.
type fleet struct {
	now      time.Time
	nodes    []*rosepeer.Node
	members  []rosemary.Member
	index    map[rosemary.ProxyID]int
	queue    deliveries
	dead     map[int]bool
	messages uint64
	bytes    uint64
	inForce  map[int]time.Time
	goneAt   map[int]time.Time
	lost     rosemary.ProxyID
	// falseAlarms counts suspicions against members that are alive.
	falseAlarms int
}

const (
	tickEvery = 100 * time.Millisecond
	regions   = 5
)

// selector chooses neighbours; nil takes the product's rings.
type selector func(self rosemary.Member, members []rosemary.Member) []rosemary.ProxyID

func newFleet(size, zones, mesh int, choose selector) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), index: make(map[rosemary.ProxyID]int), dead: make(map[int]bool),
		inForce: make(map[int]time.Time), goneAt: make(map[int]time.Time),
	}
	for i := range size {
		f.members = append(f.members, rosemary.Member{
			Proxy: rosemary.ProxyID(fmt.Sprintf("proxy-%04d", i)), Zone: rosemary.Zone(fmt.Sprintf("zone-%02d", i%zones)),
			Address: fmt.Sprintf("10.%d.%d.1:6433", i/256, i%256),
		})
		f.index[f.members[i].Proxy] = i
	}
	for i, m := range f.members {
		node := rosepeer.NewNode(rosepeer.NodeConfig{Self: m, Incarnation: 1, FullMeshSize: mesh, SelectNeighbours: choose})
		node.AddMembers(f.now, f.members)
		f.nodes = append(f.nodes, node)
		heap.Push(&f.queue, delivery{at: f.now.Add(tickEvery * time.Duration(i%100) / 100), to: i})
	}
	all := rosewire.News{}
	for _, m := range f.members {
		all.Members = append(all.Members, rosewire.Member{
			Proxy: string(m.Proxy), Zone: string(m.Zone), Address: m.Address, Incarnation: 1,
		})
	}
	for _, n := range f.nodes {
		_, _ = n.Receive(f.now, "", rosewire.Message{News: &all})
	}
	return f
}

// delay is the one-way time between two nodes: short within a zone, more
// between zones, and most between regions.
func (f *fleet) delay(a, b int) time.Duration {
	za, zb := f.members[a].Zone, f.members[b].Zone
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

func (f *fleet) send(from int, envelopes []rosepeer.Envelope) {
	for _, e := range envelopes {
		to := f.index[e.To]
		body, err := cbor.Marshal(e.Message)
		if err != nil || f.dead[to] {
			continue
		}
		f.messages++
		f.bytes += uint64(len(body)) + overheadBytes
		message := e.Message
		heap.Push(&f.queue, delivery{at: f.now.Add(f.delay(from, to)), to: to, from: f.members[from].Proxy, message: &message})
	}
}

// take acts on events as a proxy does: it pulls a newer bundle from the peer
// that told of it, manifest first and then a page and a section.
func (f *fleet) take(i int, events []rosepeer.Event) {
	for _, e := range events {
		if e.Member.Proxy != "" && e.Member.Proxy != f.lost && e.State != rosepeer.StateAlive {
			f.falseAlarms++
		}
		if e.Member.Proxy == f.lost && e.State == rosepeer.StateDead && f.goneAt[i].IsZero() {
			f.goneAt[i] = f.now
		}
		if e.BundleVersion > 0 && f.inForce[i].IsZero() {
			const roundTrips = 3
			f.inForce[i] = f.now.Add(time.Hour)
			from := f.index[e.From]
			heap.Push(&f.queue, delivery{at: f.now.Add(2 * roundTrips * f.delay(i, from)), to: i, version: e.BundleVersion})
		}
	}
}

func (f *fleet) run(span time.Duration) {
	end := f.now.Add(span)
	for f.queue.Len() > 0 && f.queue[0].at.Before(end) {
		d := heap.Pop(&f.queue).(delivery)
		f.now = d.at
		if f.dead[d.to] {
			continue
		}
		node := f.nodes[d.to]
		var envelopes []rosepeer.Envelope
		var events []rosepeer.Event
		switch {
		case d.version > 0:
			f.inForce[d.to] = f.now
			node.SetBundleVersion(d.version)
			envelopes, events = node.Tick(f.now)
		case d.message != nil:
			envelopes, events = node.Receive(f.now, d.from, *d.message)
		default:
			envelopes, events = node.Tick(f.now)
			heap.Push(&f.queue, delivery{at: f.now.Add(tickEvery), to: d.to})
		}
		f.send(d.to, envelopes)
		f.take(d.to, events)
	}
	f.now = end
}

// spread lets the watchers of every zone take a version and returns how long
// it took to be in force on the last node.
func (f *fleet) spread(version uint64) time.Duration {
	began := f.now
	clear(f.inForce)
	zones := make(map[rosemary.Zone]int)
	for i, m := range f.members {
		if zones[m.Zone] < 2 && !f.dead[i] {
			zones[m.Zone]++
			f.inForce[i] = f.now
			f.nodes[i].SetBundleVersion(version)
		}
	}
	f.run(10 * time.Second)
	last := time.Duration(0)
	for i := range f.members {
		if f.dead[i] {
			continue
		}
		if f.inForce[i].IsZero() {
			return time.Hour
		}
		last = max(last, f.inForce[i].Sub(began))
	}
	return last
}

// lose kills a node and returns how long it took until all knew.
func (f *fleet) lose(i int) time.Duration {
	began := f.now
	f.dead[i] = true
	f.lost = f.members[i].Proxy
	f.run(30 * time.Second)
	last := time.Duration(0)
	for j := range f.members {
		if f.dead[j] {
			continue
		}
		if f.goneAt[j].IsZero() {
			return time.Hour
		}
		last = max(last, f.goneAt[j].Sub(began))
	}
	return last
}

// figures are what one fleet costs.
type figures struct {
	messages, bytes, cpu, memory float64
	spread, notice               time.Duration
	degree, falseAlarms          int
}

func measure(size, zones, mesh int, choose selector) figures {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := newFleet(size, zones, mesh, choose)
	f.run(5 * time.Second)
	runtime.GC()
	runtime.ReadMemStats(&after)
	f.messages, f.bytes = 0, 0
	const steady = 20
	began := time.Now()
	f.run(steady * time.Second)
	took := time.Since(began)
	result := figures{
		messages: float64(f.messages) / steady / float64(size),
		bytes:    float64(f.bytes) / steady / float64(size),
		cpu:      took.Seconds() / steady / float64(size) * 100,
		memory:   float64(after.HeapAlloc-before.HeapAlloc) / float64(size) / (1 << 20),
		degree:   len(f.nodes[0].Neighbours()),
	}
	result.spread = f.spread(2)
	result.notice = f.lose(size / 2)
	result.falseAlarms = f.falseAlarms
	return result
}

// randomSubsets gives each pair of nodes the same verdict at both ends, so
// that each has about degree neighbours anywhere.
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
			if uint64(hash.Sum32()*2654435761) < limit {
				chosen = append(chosen, m.Proxy)
			}
		}
		slices.Sort(chosen)
		return chosen
	}
}

// zoneRelay makes the first node of a zone speak for the others.
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

// BenchmarkFleet reports what control costs at several sizes and ways to
// choose neighbours. The processor's share includes the simulation's queue.
func BenchmarkFleet(b *testing.B) {
	ways := []struct {
		name   string
		mesh   int
		choose selector
	}{{"mesh", 1 << 20, nil}, {"rings", 8, nil}, {"subsets", 8, randomSubsets(12)}, {"relay", 8, zoneRelay}}
	for _, size := range []int{6, 60, 600, 2200} {
		for _, way := range ways {
			if way.name == "mesh" && size > 60 {
				continue
			}
			b.Run(fmt.Sprintf("%s/nodes=%d", way.name, size), func(b *testing.B) {
				var f figures
				for range b.N {
					f = measure(size, min(19, max(3, size/20)), way.mesh, way.choose)
				}
				b.ReportMetric(f.messages, "messages/node/s")
				b.ReportMetric(f.bytes, "bytes/node/s")
				b.ReportMetric(f.cpu, "cpu%/node")
				b.ReportMetric(f.memory, "MB/node")
				b.ReportMetric(f.spread.Seconds(), "s-in-force")
				b.ReportMetric(f.notice.Seconds(), "s-to-notice")
				b.ReportMetric(float64(f.degree), "neighbours")
			})
		}
	}
}

func TestVersionAndLossReachEveryNode(t *testing.T) {
	for _, size := range []int{6, 60} {
		f := measure(size, max(3, size/20), 8, nil)
		c := qt.New(t)
		c.Check(f.spread < 7*time.Second, qt.IsTrue, qt.Commentf("in force after %s", f.spread))
		c.Check(f.notice < 12*time.Second, qt.IsTrue, qt.Commentf("noticed after %s", f.notice))
		c.Check(f.falseAlarms, qt.Equals, 0)
		c.Check(f.bytes < 13_000, qt.IsTrue, qt.Commentf("%.0f bytes a second", f.bytes))
	}
}

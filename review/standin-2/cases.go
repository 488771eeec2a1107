package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// writeAlways has a client write through a proxy until stop is closed, a write each 20 ms, and
// calls acked with the ID of each that was acknowledged.
func writeAlways(w *world, v *service, p *proxy, stop <-chan struct{}, acked func(id string)) {
	var c *client
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if c == nil {
			if c = connect(w.record, v, p, "db"); c == nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		id, message, state := c.ask(fmt.Sprintf("WRITE item%d from-%s", n, p.name))
		if strings.HasPrefix(message, "COMPLETE") {
			w.record.add("client at %s: %s acknowledged", p.name, id)
			acked(id)
		} else {
			w.record.add("client at %s: %s answered %q", p.name, id, message)
		}
		if state == "" {
			c.close()
			c = nil
		}
	}
}

// nodesOutage is how long the store turns a proxy away at most, storeOutage how long it turns away
// all: the largest of the site file.
const (
	nodesOutage = 9 * time.Second
	storeOutage = 5700 * time.Millisecond
)

// twoHolders: the store turns the holder of a failover lock away until another proxy has
// claimed the lock, and then all proxies. Then a primary crashes, and is back; and so once more.
func twoHolders(w *world) []string {
	v := w.service("svc", "a", "b", "c")
	w.configure("db", "svc")
	for _, zone := range []string{"a", "b", "c"} {
		w.start("edge-"+zone+"-1", zone)
	}
	awaitReady(w.proxies...)
	var mu sync.Mutex
	var broken []string
	stop := make(chan struct{})
	for _, p := range w.proxies {
		go writeAlways(w, v, p, stop, func(id string) {
			v.mu.Lock()
			at, late := v.late[id]
			v.mu.Unlock()
			if late {
				mu.Lock()
				broken = append(broken, fmt.Sprintf("ONE: write %s was committed at the old primary %s and acknowledged", id, at))
				mu.Unlock()
				w.record.add("BROKEN ONE: %s was committed at the old primary and acknowledged", id)
			}
		})
	}
	time.Sleep(2 * time.Second)
	first := w.store.holder("svc")
	w.record.add("holder of the lock: %s", first)
	if !w.trouble {
		time.Sleep(20 * time.Second)
	} else {
		// Most of the lease's time is over when the store begins to turn the holder away.
		await("a renewal", 5*time.Second, func() bool { return time.Since(w.store.renewedAt(first)) > 1700*time.Millisecond })
		w.store.refuse(first, true)
		refused := time.Now()
		for time.Since(refused) < nodesOutage && (w.store.holder("svc") == "" || w.store.holder("svc") == first) {
			time.Sleep(10 * time.Millisecond)
		}
		w.record.add("holder of the lock: %s, %v after the first was turned away", w.store.holder("svc"), time.Since(refused))
		for _, p := range w.proxies {
			w.store.refuse(p.name, true)
		}
		down := time.Now()
		for _, at := range []time.Duration{100 * time.Millisecond, 3300 * time.Millisecond} {
			time.Sleep(time.Until(down.Add(at)))
			b := v.primaryBackend()
			b.crash()
			time.Sleep(1700 * time.Millisecond)
			b.back()
		}
		time.Sleep(time.Until(down.Add(storeOutage)))
		for _, p := range w.proxies {
			w.store.refuse(p.name, false)
		}
		time.Sleep(2 * time.Second)
	}
	close(stop)
	time.Sleep(time.Second)
	v.mu.Lock()
	defer v.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	for _, l := range v.lower {
		broken = append(broken, "ONE: "+l)
	}
	return broken
}

// greyShare is the share of its requests that a backend fails.
const greyShare = 0.4

// greySet: a primary fails part of its requests while its liveness check is good. Sessions
// with different values write through one proxy.
func greySet(w *world) []string {
	v := w.service("svc", "a", "b")
	w.configure("db", "svc")
	p := w.start("edge-a-1", "a")
	awaitReady(p)
	if w.trouble {
		v.mu.Lock()
		v.leader().greyShare, v.leader().greyCode = greyShare, "FAILED"
		v.mu.Unlock()
		w.record.add("the primary fails %v of its requests", greyShare)
	}
	var sessions sync.WaitGroup
	for i := range 6 {
		sessions.Go(func() {
			for n := range 40 {
				c := connect(w.record, v, p, "db")
				if c == nil {
					continue
				}
				role := fmt.Sprintf("clerk%d", i)
				_, message, _ := c.ask("SET role " + role)
				if strings.HasPrefix(message, "COMPLETE") {
					c.writeAs(role, fmt.Sprintf("WRITE item%d by-%s-%d", i, role, n))
				}
				c.close()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	sessions.Wait()
	v.mu.Lock()
	defer v.mu.Unlock()
	var broken []string
	for _, what := range v.wrong {
		broken = append(broken, "PINNED: "+what)
	}
	return broken
}

// promises are the codes that promise that nothing of a client's attempt is kept.
var promises = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY"}

// refusedCommit: a primary answers BUSY to part of its requests while its liveness check is
// good. Clients run transactions that write, set a value and commit.
func refusedCommit(w *world) []string {
	v := w.service("svc", "a", "b")
	w.configure("db", "svc")
	p := w.start("edge-a-1", "a")
	awaitReady(p)
	if w.trouble {
		v.mu.Lock()
		v.leader().greyShare, v.leader().greyCode = greyShare, "BUSY"
		v.mu.Unlock()
		w.record.add("the primary answers BUSY to %v of its requests", greyShare)
	}
	var mu sync.Mutex
	promised := map[string]string{}
	var sessions sync.WaitGroup
	for i := range 4 {
		sessions.Go(func() {
			for n := range 40 {
				c := connect(w.record, v, p, "db")
				if c == nil {
					continue
				}
				c.ask("BEGIN")
				write, message, _ := c.ask(fmt.Sprintf("WRITE item%d payment-%d", i, n))
				if strings.HasPrefix(message, "COMPLETE") {
					c.ask(fmt.Sprintf("SET step %d", n))
					var commit string
					commit, message, _ = c.ask("COMMIT")
					w.record.add("client %d: write %s, COMMIT %s answered %q", i, write, commit, message)
					if fields := strings.Fields(message); len(fields) > 1 && fields[0] == "ERROR" && slices.Contains(promises, fields[1]) {
						mu.Lock()
						promised[write] = message
						mu.Unlock()
					}
				}
				c.close()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	sessions.Wait()
	time.Sleep(500 * time.Millisecond)
	v.mu.Lock()
	defer v.mu.Unlock()
	var broken []string
	for write, message := range promised {
		if v.committed[write] {
			broken = append(broken, fmt.Sprintf("REFUSED: write %s is committed, its client was told %q", write, message))
			w.record.add("BROKEN REFUSED: write %s is committed, its client was told %q", write, message)
		}
	}
	return broken
}

// lateOrder: the backends of a service are replaced one after the other. The second one reports
// that it leaves as the holder of the failover lock hands the lock over, because the new primary
// is in its zone, and while the holder's path to the platform is slow.
func lateOrder(w *world) []string {
	v := w.service("svc", "a", "b")
	w.configure("db", "svc")
	for _, zone := range []string{"a", "b"} {
		w.start("edge-"+zone+"-1", zone)
	}
	awaitReady(w.proxies...)
	const holder = "edge-b-1"
	await("the holder in the other zone", 12*time.Second, func() bool { return w.store.holder("svc") == holder })
	time.Sleep(2 * time.Second)
	first, second := v.backends[0], v.backends[1]
	first.drain()
	await("the replacement", 12*time.Second, func() bool { return v.primaryBackend() == second })
	moved := time.Now()
	time.Sleep(2 * time.Second)
	v.replace(first)
	if w.trouble {
		w.cloud.setDelay(holder, orderDelay)
	}
	// The holder notices that the primary leaves as it reads the list of backends, every 1.4 s,
	// and hands the lock over at a renewal of its lease, every 2 s.
	tick := w.handOverTick(holder, moved)
	read := w.store.listedAt(holder)
	for tick.Sub(read) > orderDelay-50*time.Millisecond {
		read = read.Add(1404 * time.Millisecond)
	}
	w.record.add("%s hands the lock over in %v, and reads the backends in %v", holder, time.Until(tick), time.Until(read))
	time.Sleep(time.Until(read.Add(-300 * time.Millisecond)))
	second.drain()
	time.Sleep(8 * time.Second)
	return w.lowerTokens(v)
}

// orderDelay is what the holder's path to the platform takes.
const orderDelay = 1100 * time.Millisecond

// handOverTick returns when the holder's renewal is due at which it hands its lock over.
func (w *world) handOverTick(holder string, moved time.Time) time.Time {
	tick := w.store.renewedAt(holder)
	for tick.Sub(moved) < 6020*time.Millisecond {
		tick = tick.Add(2005 * time.Millisecond)
	}
	return tick
}

// lowerTokens returns the orders with a lower token than one that the platform had seen.
func (w *world) lowerTokens(v *service) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var broken []string
	for _, l := range v.lower {
		broken = append(broken, "ONE: "+l)
	}
	return broken
}

// readers is the number of sessions that read the list at a time, for bigAnswersTime.
const (
	readers        = 10
	bigAnswersTime = 40 * time.Second
)

// bigAnswers: clients of several sessions read a list of 60,000 rows of 1 kB at the same time,
// and again elsewhere after a broken connection.
func bigAnswers(w *world) []string {
	v := w.service("svc", "a", "b", "c")
	w.configure("db", "svc")
	for _, zone := range []string{"a", "b", "c"} {
		w.start("edge-"+zone+"-1", zone)
	}
	awaitReady(w.proxies...)
	time.Sleep(2 * time.Second)
	kills := make([]atomic.Int64, len(w.proxies))
	stop := make(chan struct{})
	var monitors sync.WaitGroup
	for i, p := range w.proxies {
		monitors.Go(func() { p.limitMemory(w, &kills[i], stop) })
	}
	started := time.Now()
	item := "READ 1a4"
	if w.trouble {
		item = "READ " + listItem
	}
	var sessions sync.WaitGroup
	for i := range readers {
		sessions.Go(func() {
			for n := 0; time.Since(started) < bigAnswersTime; n++ {
				p := w.proxies[n%len(w.proxies)]
				c := connect(w.record, v, p, "db")
				if c == nil {
					w.record.add("client %d: %s doesn't answer", i, p.name)
					continue
				}
				id, message, state := c.ask(item)
				w.record.add("client %d at %s: %s %s answered %q, state %q", i, p.name, id, item, message, state)
				c.close()
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	sessions.Wait()
	time.Sleep(time.Second)
	close(stop)
	monitors.Wait()
	var broken []string
	machines := 0
	for i, p := range w.proxies {
		w.record.add("%s ended over its memory %d times", p.name, kills[i].Load())
		if kills[i].Load() >= 3 {
			machines++
		}
	}
	if machines >= 2 {
		broken = append(broken, fmt.Sprintf("Fault: on %d of %d machines processes ended over their memory three times or more", machines, len(w.proxies)))
	}
	return broken
}

// platformSlow is how long the platform takes over a promotion, and darkTime how long the primary
// is dark.
const (
	platformSlow = 12 * time.Second
	darkTime     = 2500 * time.Millisecond
)

// lateWrites returns a function that records acknowledged writes which were committed at an old
// primary, and the list of them.
func (w *world) lateWrites(v *service) (acked func(id string), broken func() []string) {
	var mu sync.Mutex
	var late []string
	return func(id string) {
			v.mu.Lock()
			at, found := v.late[id]
			v.mu.Unlock()
			if found {
				w.record.add("BROKEN ONE: %s was committed at the old primary and acknowledged", id)
				mu.Lock()
				late = append(late, fmt.Sprintf("ONE: write %s was committed at the old primary %s and acknowledged", id, at))
				mu.Unlock()
			}
		}, func() []string {
			mu.Lock()
			defer mu.Unlock()
			return late
		}
}

// slowOrder: a primary is dark for a moment while the platform is slow. The order to promote
// another backend takes effect when the primary has long been in use again.
func slowOrder(w *world) []string {
	v := w.service("svc", "a", "b", "c")
	w.configure("db", "svc")
	for _, zone := range []string{"a", "b", "c"} {
		w.start("edge-"+zone+"-1", zone)
	}
	awaitReady(w.proxies...)
	acked, broken := w.lateWrites(v)
	stop := make(chan struct{})
	for _, p := range w.proxies {
		go writeAlways(w, v, p, stop, acked)
	}
	time.Sleep(9 * time.Second)
	if w.trouble {
		w.cloud.setSlow(platformSlow)
		v.primaryBackend().dark(darkTime)
	}
	time.Sleep(28 * time.Second)
	close(stop)
	time.Sleep(time.Second)
	return broken()
}

// strayEntry: another writer leaves an entry for an address where nobody listens. Then the primary
// is lost for good.
func strayEntry(w *world) []string {
	v := w.service("svc", "a", "b", "c")
	w.configure("db", "svc")
	for _, zone := range []string{"a", "b", "c"} {
		w.start("edge-"+zone+"-1", zone)
	}
	awaitReady(w.proxies...)
	if w.trouble {
		w.store.put("servers/i-other", map[string]any{
			"service": "svc", "address": freePorts(1)[0], "zone": "a", "version": "v1", "slots": 8,
			"state": "ready", "cold_left_ms": 0, "db_role": "replica", "seq": 1,
		})
		w.record.add("store: another writer writes servers/i-other")
	}
	var count atomic.Int64
	stop := make(chan struct{})
	for _, p := range w.proxies {
		go writeAlways(w, v, p, stop, func(string) { count.Add(1) })
	}
	time.Sleep(6 * time.Second)
	lost := v.primaryBackend()
	lost.crash()
	w.store.drop("servers/" + lost.id)
	time.Sleep(10 * time.Second)
	count.Store(0)
	time.Sleep(60 * time.Second)
	served := count.Load()
	close(stop)
	w.record.add("%d writes were acknowledged from 10 to 70 s after the loss", served)
	if served == 0 {
		return []string{"Fault: no request was served from 10 to 70 s after the loss of the primary"}
	}
	return nil
}

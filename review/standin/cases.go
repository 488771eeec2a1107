package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// lateSuccessor: a promotion is ordered while the platform's API is down, the old primary
// comes back and leads on, and much later another failover promotes the successor that was
// named then, although another replica has more of the log.
func lateSuccessor() {
	i := install(1, 5000, 3)
	g := i.group
	var mu sync.Mutex
	var w *writer
	var lost []string
	var note string
	g.onPromote = func(b, _ *backend) {
		mu.Lock()
		defer mu.Unlock()
		for _, id := range w.acknowledged() {
			if !b.holdsID(id) {
				lost = append(lost, id)
			}
		}
		note = fmt.Sprintf("%s was promoted at %s", b.id, b.received())
		for _, r := range g.backends {
			if r != b {
				note += fmt.Sprintf("; %s, %s, had %s", r.id, r.state, r.received())
			}
		}
	}
	w = i.write(2, 20*time.Millisecond)
	time.Sleep(6 * time.Second)
	first := g.backends[0]
	deaf := g.backends[1]
	if trouble() == "all" {
		i.cloud.setDown(true)
		time.Sleep(100 * time.Millisecond)
		first.setDark(true)
		time.Sleep(2500 * time.Millisecond)
		first.setDark(false)
		time.Sleep(1800 * time.Millisecond)
		i.cloud.setDown(false)
		i.cloud.mu.Lock()
		if len(i.cloud.refused) > 0 {
			deaf = g.find(i.cloud.refused[0].id)
		}
		i.cloud.mu.Unlock()
		time.Sleep(10 * time.Second)
	}
	if trouble() != "0" {
		g.mu.Lock()
		deaf.deaf = true
		g.mu.Unlock()
		record("replica %s receives nothing from now on", deaf.id)
		time.Sleep(2 * time.Second)
		first.crash()
		time.Sleep(4 * time.Second)
		g.mu.Lock()
		deaf.deaf = false
		g.mu.Unlock()
		record("replica %s receives again", deaf.id)
		time.Sleep(2 * time.Second)
		first.restart()
	}
	time.Sleep(4 * time.Second)
	close(w.stop)
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	record("writes: %s", w.summary())
	if len(w.acknowledged()) < 100 {
		fail("too few writes were acknowledged: %s", w.summary())
	}
	verdict(len(lost) > 0, "%d acknowledged writes are not in the log of the promoted backend (%v); %s", len(lost), firstOf(lost), note)
}

func firstOf(ids []string) []string { return ids[:min(len(ids), 5)] }

// lateOrder: the holder of the duty is cut off from the promotion API while it orders a
// promotion. The old primary comes back and leads on; when the cut heals, the order arrives.
func lateOrder() {
	i := install(0, 5000, 3)
	g := i.group
	w := i.write(2, 20*time.Millisecond)
	time.Sleep(5 * time.Second)
	if trouble() != "0" {
		i.earlierFailover()
	}
	holder := i.holder()
	record("the duty is with %s, zone %s", holder.name, holder.zone)
	if trouble() != "0" {
		second := g.leads()
		holder.cloud.setCut(true)
		record("%s is cut off from the promotion API", holder.name)
		time.Sleep(50 * time.Millisecond)
		second.setDark(true)
		time.Sleep(2500 * time.Millisecond)
		second.setDark(false)
		if trouble() == "killed" {
			// The entry of KNOWN-RED.txt: the promoter has died meanwhile.
			holder.restart()
		}
		time.Sleep(9450 * time.Millisecond)
		holder.cloud.setCut(false)
		record("the cut of %s has healed", holder.name)
	}
	time.Sleep(5 * time.Second)
	close(w.stop)
	time.Sleep(time.Second)
	record("writes: %s", w.summary())
	g.mu.Lock()
	defer g.mu.Unlock()
	var late []string
	longest := time.Duration(0)
	for _, id := range w.acknowledged() {
		if after, found := g.afterPromote[id]; found {
			late = append(late, id)
			longest = max(longest, after)
			record("write %s was committed at the old primary %d ms after the promotion, and acknowledged", id, after.Milliseconds())
		}
	}
	verdict(len(late) > 0, "%d acknowledged writes were committed at the old primary after the promotion had taken effect (%v), the last %d ms after it; writes: %s",
		len(late), firstOf(late), longest.Milliseconds(), w.summary())
}

// earlierFailover has primaries crash and come back, until one leads that is in another zone
// than the holder of the duty, which then keeps the duty.
func (i *installation) earlierFailover() {
	g := i.group
	for range 8 {
		before := g.leads()
		before.crash()
		time.Sleep(3 * time.Second)
		before.restart()
		time.Sleep(time.Second)
		holder := i.holder()
		if holder == nil {
			fail("no process holds the duty")
		}
		if g.leads() != before && g.leads().zone != holder.zone {
			time.Sleep(8 * time.Second)
			return
		}
	}
	fail("the duty doesn't stay with one process")
}

// shapes: two clients prepare statements of different kinds whose shapes the process takes for
// one.
func shapes() {
	i := install(0, 5000, 1)
	p := i.proxies[0]
	writeShape, readShape := "age", "wage"
	if trouble() == "0" {
		readShape = "wages"
	}
	open := func() *client {
		c, err := dial(p, database)
		if err != nil {
			fail("can't connect: %v", err)
		}
		return c
	}
	must := func(c *client, id, text string) answer {
		a, err := c.query(id, text)
		if err != nil {
			fail("no answer to %s: %v", text, err)
		}
		record("%s %q: %s", id, text, a)
		return a
	}
	clerk, inspector := open(), open()
	must(clerk, "a1", "PREPARE s1 WRITE "+writeShape)
	must(clerk, "a2", "EXECUTE s1 driver7 valid")
	must(inspector, "b1", "PREPARE s1 READ "+readShape)
	must(inspector, "b2", "EXECUTE s1 driver7")
	must(clerk, "a3", "READ driver7")
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	broken, note := false, "every prepared name ran the shape that its client had prepared"
	for _, r := range i.group.runs {
		record("backend %s ran %s %q, shape %q", r.backend, r.id, r.text, r.shape)
		if r.id == "b2" && r.shape != "READ "+readShape {
			broken = true
			note = fmt.Sprintf("b2, prepared as READ %s, ran as %s", readShape, r.shape)
		}
	}
	verdict(broken, "%s", note)
}

// lineFeed: the data of a write holds a line feed, and after it a text that looks like a message.
func lineFeed() {
	i := install(0, 5000, 1)
	c, err := dial(i.proxies[0], database)
	if err != nil {
		fail("can't connect: %v", err)
	}
	separator := "\n"
	if trouble() == "0" {
		separator = " "
	}
	text := "WRITE driver7 valid, see note:" + separator + "QUERY x9 WRITE driver8 suspended"
	a, err := c.query("a1", text)
	record("a1 %q: %s, %v", text, a, err)
	time.Sleep(500 * time.Millisecond)
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	smuggled, changed := false, false
	for _, r := range i.group.runs {
		record("backend %s ran %s %q", r.backend, r.id, r.text)
		smuggled = smuggled || r.id == "x9"
		changed = changed || r.id == "a1" && r.text != text
	}
	verdict(smuggled || changed, "the client sent the one statement a1 and was answered with %s (error %v); a backend ran a1 with changed text: %v, and x9, which no client sent: %v", a, err, changed, smuggled)
}

// halfLine: a client's message inside a transaction arrives in two parts with a long pause, and
// the second part looks like a message.
func halfLine() {
	const idle = 1500
	i := install(0, idle, 1)
	c, err := dial(i.proxies[0], database)
	if err != nil {
		fail("can't connect: %v", err)
	}
	for n, text := range []string{"BEGIN", "WRITE driver7 valid"} {
		a, err := c.query(fmt.Sprintf("a%d", n), text)
		if err != nil || a.code != "" {
			fail("%s: %v %v", text, a, err)
		}
		record("a%d %q: %s", n, text, a)
	}
	message := "QUERY a2 WRITE driver8 note: QUERY x9 ROLLBACK\r\n"
	cut := strings.Index(message, "QUERY x9")
	record("a2 is sent: %q, pause, %q", message[:cut], message[cut:])
	if err := c.send(message[:cut]); err != nil {
		fail("%v", err)
	}
	if trouble() != "0" {
		time.Sleep((idle + 1000) * time.Millisecond)
	}
	if err := c.send(message[cut:]); err != nil {
		fail("%v", err)
	}
	a, err := c.receive()
	record("a2: %s, %v", a, err)
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	ran := false
	for _, r := range i.group.runs {
		record("backend %s ran %s %q", r.backend, r.id, r.text)
		ran = ran || r.id == "a2"
	}
	verdict(err == nil && a.code == "" && !ran, "the write a2 was answered with %s (error %v), and a backend ran it: %v", a, err, ran)
}

// revoked: before the traffic starts, a primary crashes and starts again while the platform's
// API is down. No request is served for the rest of the case.
func revoked() {
	i := install(0, 5000, 3)
	first := i.group.leads()
	time.Sleep(3 * time.Second)
	if trouble() != "0" {
		i.cloud.setDown(true)
		time.Sleep(300 * time.Millisecond)
		first.crash()
		time.Sleep(2500 * time.Millisecond)
		first.restart()
		time.Sleep(1500 * time.Millisecond)
		i.cloud.setDown(false)
	}
	time.Sleep(time.Until(started.Add(10 * time.Second)))
	record("traffic starts")
	w := i.write(2, 100*time.Millisecond)
	time.Sleep(60 * time.Second)
	close(w.stop)
	time.Sleep(time.Second)
	served := len(w.acknowledged())
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	verdict(served == 0, "%d requests were served in the 60 s of traffic; the primary %s is %s and leads: %v; answers: %s",
		served, i.group.leader.id, i.group.leader.state, i.group.leader.primary, w.summary())
}

// stuckFence: before the traffic starts, a primary is dark for less than two seconds. Its
// replicas are fenced meanwhile, and have no free slot for the question whether they still are.
func stuckFence() {
	i := install(1, 5000, 3)
	g := i.group
	first := g.leads()
	time.Sleep(3 * time.Second)
	if trouble() != "0" {
		first.setDark(true)
		for g.countPaused() < 2 {
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(750 * time.Millisecond)
		g.setBusy(true)
		time.Sleep(250 * time.Millisecond)
		first.setDark(false)
		time.Sleep(100 * time.Millisecond)
		g.setBusy(false)
	}
	time.Sleep(time.Until(started.Add(10 * time.Second)))
	record("traffic starts")
	w := i.write(2, 100*time.Millisecond)
	time.Sleep(40 * time.Second)
	close(w.stop)
	time.Sleep(time.Second)
	served := len(w.acknowledged())
	verdict(served == 0, "%d requests were served in the 40 s of traffic; %d replicas are fenced; answers: %s", served, g.countPaused(), w.summary())
}

func (g *group) countPaused() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, b := range g.backends {
		if b.paused > 0 {
			count++
		}
	}
	return count
}

func (g *group) setBusy(busy bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy = busy
	record("replicas answer STATUS with BUSY: %v", busy)
}

// strayEntry: an entry of another writer, with fields missing, names no backend to use. The
// primary is lost for good before the traffic starts.
func strayEntry() {
	i := install(0, 5000, 3)
	if trouble() != "0" {
		i.store.putJSON("servers/i-x9", map[string]any{"service": groupName, "address": freeAddresses(1)[0], "state": "ready"})
		record("an entry of another writer, without zone, version, slots, role and seq")
	}
	time.Sleep(4 * time.Second)
	i.group.leads().crash()
	time.Sleep(time.Until(started.Add(10 * time.Second)))
	record("traffic starts")
	w := i.write(2, 100*time.Millisecond)
	time.Sleep(40 * time.Second)
	close(w.stop)
	time.Sleep(time.Second)
	served := len(w.acknowledged())
	verdict(served == 0, "%d requests were served in the 40 s of traffic, %s leads and is %s; answers: %s", served, i.group.leads().id, i.group.leads().state, w.summary())
}

// smallZone: a machine is added to each of two zones that have one machine each. The stale list
// that its process reads at its start lacks itself.
func smallZone() {
	staleness = 5 * time.Second
	i := install(0, 5000, 14)
	w := i.write(1, 200*time.Millisecond)
	time.Sleep(12 * time.Second)
	var added []*proxy
	addedAt := time.Now()
	if trouble() != "0" {
		for range 2 {
			p := i.addMachine()
			p.setFirstStart(false)
			p.start()
			added = append(added, p)
		}
	}
	time.Sleep(20 * time.Second)
	close(w.stop)
	record("writes: %s", w.summary())
	machines, note := 0, ""
	for _, p := range i.proxies {
		p.endedMu.Lock()
		count := 0
		for _, at := range p.ended {
			if at.After(addedAt.Add(time.Second)) {
				count++
			}
		}
		if len(p.ended) > 0 {
			note += fmt.Sprintf("; %s %d times, %d of them later than 1 s after it was added", p.name, len(p.ended), count)
		}
		p.endedMu.Unlock()
		if count >= 3 {
			machines++
		}
	}
	broken := machines >= 2 && 10*machines >= len(i.proxies)
	verdict(broken, "on %d of %d machines the process ended by itself three times or more%s; %d added; writes: %s",
		machines, len(i.proxies), note, len(added), w.summary())
}

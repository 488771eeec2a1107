package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// settleTime is the time from the start of service to the first disruption.
	settleTime = 10 * time.Second
	// listInterval is about how often a proxy reads the list of backends.
	listInterval = 1405 * time.Millisecond
	// heartbeat is how often a backend writes its entry, which is removed after three times that.
	heartbeat = 1200 * time.Millisecond
	// drainTime is how long a draining backend still serves.
	drainTime = 7 * time.Second
)

// startAll starts the proxies within 0.3 s, and clients once all serve.
func (d *deployment) startAll() bool {
	for _, name := range d.names {
		d.proxies[name].start(true)
		time.Sleep(time.Duration(rand.IntN(50)) * time.Millisecond)
	}
	if !d.awaitService(25 * time.Second) {
		d.record.write("no service")
		return false
	}
	d.startClients(2)
	time.Sleep(settleTime)
	return true
}

// finish stops the clients and returns the exit code: whether one of the statements that count was
// acknowledged.
func (d *deployment) finish(rule string, counted map[string]string) int {
	d.stop()
	d.tasks.Wait()
	broken := 0
	for id, why := range counted {
		if _, acked := d.acked.Load(id); acked {
			broken++
			d.record.write("rule broken", "rule", rule, "statement", id, "commit", why)
		}
	}
	d.record.write("verdict", "acknowledged", d.count.Load(), "broken", broken)
	fmt.Printf("%d statements acknowledged, %s broken by %d\n", d.count.Load(), rule, broken)
	switch {
	case broken > 0:
		return exitBroken
	case d.count.Load() < 100:
		return exitNoRun
	}
	return exitHeld
}

// The sizes of the case of a replica that the promoter doesn't know.
const (
	unlistedTrials = 5
	// cutTime is how long the primary is partitioned from cutProxies of the six.
	cutTime    = 5 * time.Second
	cutProxies = 3
	// cutBefore is how long before the holder's read of the list the primary is cut off.
	cutBefore = 250 * time.Millisecond
	// lastTrialAt is when, since the start, no further trial begins.
	lastTrialAt = 85 * time.Second
)

// playUnlisted plays a planned replacement of replicas, the new one of which starts first, while
// the primary is partitioned from some proxies.
func playUnlisted(r *record, folder string, trouble bool) int {
	d := newDeployment(r, folder, 0)
	if !d.startAll() {
		return exitNoRun
	}
	counted := make(map[string]string)
	for trial := range unlistedTrials {
		d.replaceReplica(trial, trouble, counted)
		if d.anyAcknowledged(counted) || time.Since(r.started) > lastTrialAt {
			break
		}
	}
	return d.finish("ONE", counted)
}

func (d *deployment) anyAcknowledged(counted map[string]string) bool {
	for id := range counted {
		if _, acked := d.acked.Load(id); acked {
			return true
		}
	}
	return false
}

// replaceReplica replaces a replica, and cuts the primary off meanwhile. It adds the commits at a
// former primary, but for those of proxies whose link was cut.
func (d *deployment) replaceReplica(trial int, trouble bool, counted map[string]string) {
	holder := d.awaitMoment()
	others := slices.DeleteFunc(slices.Clone(d.names), func(name string) bool { return name == holder })
	// Those that read the list soonest after the holder stay uncut.
	slices.SortFunc(others, func(a, b string) int { return d.afterHolder(b, holder).Compare(d.afterHolder(a, holder)) })
	cut := append([]string{holder}, others[:cutProxies-1]...)
	d.group.mu.Lock()
	primary := d.group.backends[d.group.leader]
	var leaving *backend
	for _, b := range d.group.backends {
		if b != primary && !b.crashed && (leaving == nil || b.id < leaving.id) {
			leaving = b
		}
	}
	d.group.mu.Unlock()
	if trouble {
		time.Sleep(time.Until(d.lastList(holder).Add(listInterval - cutBefore)))
		d.record.write("primary cut", "backend", primary.id, "from", cut, "holder", holder)
		var pids []int
		for _, name := range cut {
			pids = append(pids, d.proxies[name].pid())
		}
		primary.setCut(pids...)
	}
	cutAt := time.Now()
	d.awaitList(holder)
	d.register(d.group.add(fmt.Sprintf("i-%d", 11+trial), leaving.zone), "ready")
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	primary.setCut()
	d.record.write("cut over")
	d.group.mu.Lock()
	for id, why := range d.group.stale {
		if !slices.ContainsFunc(cut, func(name string) bool { return strings.HasPrefix(id, name+"-") }) {
			counted[id] = why
		}
	}
	d.group.mu.Unlock()
	if d.anyAcknowledged(counted) {
		return
	}
	if d.group.leads(leaving) {
		leaving = primary
	}
	d.register(leaving, "draining")
	time.Sleep(drainTime + 500*time.Millisecond)
	leaving.crash()
	d.expire(leaving)
	time.Sleep(2 * time.Second)
}

// leads reports whether a backend was promoted last.
func (g *group) leads(b *backend) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader == b.id
}

// afterHolder returns when a proxy reads the list of backends next after the holder's next read.
func (d *deployment) afterHolder(name, holder string) time.Time {
	earliest, at := d.lastList(holder).Add(listInterval+20*time.Millisecond), d.lastList(name)
	if gap := earliest.Sub(at); gap > 0 {
		at = at.Add((gap + listInterval - 1) / listInterval * listInterval)
	}
	return at
}

// awaitList waits, for a while, until a proxy has read the list of backends.
func (d *deployment) awaitList(name string) {
	before := d.lastList(name)
	for deadline := time.Now().Add(2 * listInterval); d.lastList(name) == before && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}

// awaitMoment waits until the holder of the lock has just read the list of backends, and returns
// it.
func (d *deployment) awaitMoment() string {
	for {
		holder := d.holder(d.proxies[d.names[0]].store)
		d.record.write("holder of the lock", "proxy", holder, "lastList", d.lastList(holder).Sub(d.record.started))
		if holder == "" {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		d.awaitList(holder)
		return holder
	}
}

// The times of the case of synchronous replicas, from its start.
const (
	storeCutTime = 5 * time.Second
	deafAt       = time.Second
	deafTime     = 6 * time.Second
	crashAt      = 4900 * time.Millisecond
)

// playSynchronous plays a service whose commits wait for one replica: one replica is partitioned
// from the store, the other one receives nothing for a while, and the primary crashes meanwhile.
func playSynchronous(r *record, folder string, trouble bool) int {
	d := newDeployment(r, folder, 1)
	if !d.startAll() {
		return exitNoRun
	}
	d.group.mu.Lock()
	primary := d.group.backends[d.group.leader]
	var replicas []*backend
	for _, b := range d.group.backends {
		if b != primary {
			replicas = append(replicas, b)
		}
	}
	d.group.mu.Unlock()
	if trouble {
		unlisted, deaf := replicas[0], replicas[1]
		sinceBeat := time.Duration(rand.Int64N(int64(heartbeat)))
		started := time.Now()
		at := func(after time.Duration) { time.Sleep(time.Until(started.Add(after))) }
		d.record.write("cut from the store", "backend", unlisted.id, "sinceBeat", sinceBeat)
		at(deafAt)
		d.record.write("receives nothing", "backend", deaf.id)
		d.group.mu.Lock()
		deaf.deaf = true
		d.group.mu.Unlock()
		at(3*heartbeat - sinceBeat)
		d.expire(unlisted)
		at(crashAt)
		d.record.write("crash", "backend", primary.id)
		primary.crash()
		beat := storeCutTime - storeCutTime%heartbeat + heartbeat - sinceBeat
		for beat < storeCutTime {
			beat += heartbeat
		}
		at(beat)
		d.register(unlisted, "ready")
		at(deafAt + deafTime)
		d.group.mu.Lock()
		deaf.deaf = false
		d.group.replicate()
		d.group.mu.Unlock()
		at(crashAt + 3*heartbeat)
		d.expire(primary)
	}
	time.Sleep(10 * time.Second)
	d.group.mu.Lock()
	counted := make(map[string]string)
	for id, why := range d.group.cutBack {
		counted[id] = why
	}
	d.group.mu.Unlock()
	return d.finish("LOST", counted)
}

// The sizes of the case of a process that is told of new settings as it starts.
const (
	hangupMachines = 2
	hangupStarts   = 3
	// hangupAfter is the time from the start of a process to its SIGHUP.
	hangupAfter = time.Millisecond
	// startTime is how long a process is watched after its start.
	startTime = 3 * time.Second
)

// playHangup restarts two of six machines three times each, and has their settings files changed
// as they start.
func playHangup(r *record, folder string, trouble bool) int {
	d := newDeployment(r, folder, 0)
	if !d.startAll() {
		return exitNoRun
	}
	broken := 0
	for _, name := range d.names[:hangupMachines] {
		ends := 0
		for range hangupStarts {
			if !d.proxies[name].survivesRestart(r, trouble) {
				ends++
			}
		}
		if ends == hangupStarts {
			broken++
		}
		d.proxies[name].start(false)
	}
	d.stop()
	d.tasks.Wait()
	r.write("verdict", "machinesWhoseProcessesEndedThreeTimes", broken)
	fmt.Printf("processes ended by themselves three times on %d of %d machines\n", broken, len(d.names))
	if broken >= hangupMachines {
		return exitBroken
	}
	return exitHeld
}

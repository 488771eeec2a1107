package rosefleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// replayTeams is the number of teams of a replay, whose loads fall off with their rank to
	// the power of replayFallOff.
	replayTeams   = 83
	replayFallOff = 1.2
	// replaySlots is how many statements and openings the target runs at once.
	replaySlots = 4
	// replayMeanWork is the mean time of a statement, replayOpenTime that of an opening.
	replayMeanWork = 9 * time.Millisecond
	replayOpenTime = 12 * time.Millisecond
	// replayCloseTime is how long the target counts a connection that was closed.
	replayCloseTime = closeDelay - time.Millisecond
)

// teamLoad is a load of many teams on the connections to one target.
type teamLoad struct {
	limits ConnLimits
	// rate returns the requests a second of a team at a time of the replay.
	rate     func(team int, at time.Duration) float64
	duration time.Duration
	// observeFrom and observeUntil bound the arrivals that are counted.
	observeFrom, observeUntil time.Duration
	// downFor is for how long the target is down from the time observeFrom.
	downFor time.Duration
}

// teamReplay is a running replay. Its lock guards what it has counted.
type teamReplay struct {
	pool  *pool
	slots chan struct{}

	mu sync.Mutex
	// waits are those of the observed requests of all teams but the first.
	waits []time.Duration
	// observed counts the observed requests, opened those that opened a connection.
	observed, opened int
	// open and opening are the connections that the target counts, with their maxima.
	open, opening, maxOpen, maxOpening int
	otherTeam, slotIdle                int
}

// replayedConn is a connection of a replay.
type replayedConn struct {
	fakeConn
	replay *teamReplay
}

// Close has the target notice the close after a while.
func (c *replayedConn) Close() {
	time.AfterFunc(replayCloseTime, func() { c.replay.countOpen(-1, 0) })
}

func (r *teamReplay) countOpen(open, opening int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open += open
	r.opening += opening
	r.maxOpen, r.maxOpening = max(r.maxOpen, r.open), max(r.maxOpening, r.opening)
}

// run occupies a slot of the target.
func (r *teamReplay) run(work time.Duration) {
	r.slots <- struct{}{}
	time.Sleep(work)
	<-r.slots
}

// serve runs one request.
func (r *teamReplay) serve(team int, work time.Duration, observed bool) {
	arrived := time.Now()
	request := teamRequest(fmt.Sprint(team))
	c, ok, w := r.pool.take(request)
	for w != nil || !ok {
		if w != nil {
			g := <-w.granted
			c, ok = g.conn, g.ok
		}
		if w = nil; !ok {
			c, ok, w = r.pool.take(request)
		}
	}
	wait, opens := time.Since(arrived), c == nil
	if opens {
		started := time.Now()
		r.countOpen(1, 1)
		r.run(replayOpenTime)
		r.countOpen(0, -1)
		c = &pooledConn{conn: &replayedConn{replay: r}, team: request.Team, takenAt: time.Now()}
		r.pool.opened(c, started)
	}
	r.run(work)
	r.pool.put(c)
	r.checkWork()
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.team != request.Team {
		r.otherTeam++
	}
	if !observed {
		return
	}
	r.observed++
	if opens {
		r.opened++
	}
	if team > 0 {
		r.waits = append(r.waits, wait)
	}
}

// checkWork counts the times at which a request waits although it could be served.
func (r *teamReplay) checkWork() {
	p := r.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy() || p.waitingCount == 0 {
		return
	}
	if p.nextTeam() != nil || p.opening+p.closing == 0 {
		r.mu.Lock()
		r.slotIdle++
		r.mu.Unlock()
	}
}

// runTeams replays a load on a pool, in simulated time.
func runTeams(t *testing.T, load teamLoad, seed uint64) *teamReplay {
	r := &teamReplay{pool: newPool()}
	synctest.Test(t, func(*testing.T) {
		r.slots = make(chan struct{}, replaySlots)
		r.pool.setLimits(load.limits, replaySlots)
		start := time.Now()
		var tasks sync.WaitGroup
		for team := range replayTeams {
			if load.rate(team, 0) == 0 {
				continue
			}
			tasks.Go(func() {
				random := rand.New(rand.NewPCG(seed, uint64(team)))
				for {
					time.Sleep(time.Duration(random.ExpFloat64() / load.rate(team, time.Since(start)) * float64(time.Second)))
					at := time.Since(start)
					if at > load.duration {
						return
					}
					work := time.Duration(float64(replayMeanWork) * (0.5 + random.Float64()))
					observed := at >= load.observeFrom && at < load.observeUntil
					tasks.Go(func() { r.serve(team, work, observed) })
				}
			})
		}
		tasks.Go(func() {
			for time.Since(start) < load.duration {
				time.Sleep(time.Second)
				r.pool.trim()
			}
		})
		if load.downFor > 0 {
			time.Sleep(load.observeFrom)
			r.restart(load.downFor)
		}
		tasks.Wait()
		time.Sleep(time.Second)
	})
	return r
}

// restart takes all slots of the target, closes its connections, and frees the slots after a
// time.
func (r *teamReplay) restart(downFor time.Duration) {
	for range replaySlots {
		r.slots <- struct{}{}
	}
	r.pool.flush()
	time.Sleep(downFor)
	for range replaySlots {
		<-r.slots
	}
}

// popularity returns the shares of the teams in the load.
func popularity(fallOff float64) []float64 {
	shares, sum := make([]float64, replayTeams), 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -fallOff)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// steady is a load of all teams with that many requests a second in total.
func steady(fallOff, total float64) func(int, time.Duration) float64 {
	shares := popularity(fallOff)
	return func(team int, _ time.Duration) float64 { return total * shares[team] }
}

func replaySeeds() uint64 {
	if testing.Short() {
		return 5
	}
	return 50
}

func (r *teamReplay) check(t *testing.T, limits ConnLimits, comment qt.Comment) {
	qt.Check(t, r.otherTeam, qt.Equals, 0, comment)
	qt.Check(t, r.slotIdle, qt.Equals, 0, comment)
	qt.Check(t, r.maxOpen <= limits.Max, qt.IsTrue, comment)
	qt.Check(t, r.maxOpening <= replaySlots, qt.IsTrue, comment)
	qt.Check(t, r.open, qt.Equals, len(r.pool.idle), comment)
}

// TestReplayedHotTeam replays the largest team at 7.5 times its usual load for 6.5 s. It may
// delay the others by a fifth of their usual waits and the time of a statement.
func TestReplayedHotTeam(t *testing.T) {
	const (
		from, lasts = 20 * time.Second, 6500 * time.Millisecond
		factor      = 7.5
		usualTotal  = 0.4 * replaySlots * float64(time.Second) / float64(replayMeanWork)
	)
	limits := ConnLimits{Share: 17, Max: 17, MaxInUse: replaySlots}
	usual := steady(replayFallOff, usualTotal)
	load := teamLoad{limits: limits, duration: from + lasts + time.Second, observeFrom: from, observeUntil: from + lasts}
	var waits [2][]time.Duration
	for seed := range replaySeeds() {
		for i, hot := range []bool{false, true} {
			load.rate = func(team int, at time.Duration) float64 {
				if hot && team == 0 && at >= from && at < from+lasts {
					return factor * usual(team, at)
				}
				return usual(team, at)
			}
			r := runTeams(t, load, seed)
			r.check(t, limits, qt.Commentf("seed %d, hot %v", seed, hot))
			waits[i] = append(waits[i], r.waits...)
		}
	}
	alone, beside := percentile99(waits[0]), percentile99(waits[1])
	t.Logf("p99 of the others' waits: alone %v, beside the hot team %v", alone, beside)
	qt.Check(t, beside <= alone*12/10+replayMeanWork, qt.IsTrue, qt.Commentf("alone %v, beside %v", alone, beside))
}

func percentile99(waits []time.Duration) time.Duration {
	slices.Sort(waits)
	return waits[len(waits)*99/100]
}

// TestReplayedSmallTeams replays teams that take turns with fewer connections than there are
// teams. At best those that ask most often keep one each.
func TestReplayedSmallTeams(t *testing.T) {
	limits := ConnLimits{Share: 17, Max: 17, MaxInUse: 9}
	for _, test := range []struct {
		name    string
		fallOff float64
	}{{"of unequal size", replayFallOff}, {"of equal size", 0}} {
		t.Run(test.name, func(t *testing.T) {
			best := 1.0
			for _, share := range popularity(test.fallOff)[:limits.Max] {
				best -= share
			}
			opened, observed := 0, 0
			for seed := range replaySeeds() {
				r := runTeams(t, teamLoad{
					limits: limits, rate: steady(test.fallOff, 30), duration: 90 * time.Second,
					observeFrom: 30 * time.Second, observeUntil: 90 * time.Second,
				}, seed)
				r.check(t, limits, qt.Commentf("seed %d", seed))
				opened, observed = opened+r.opened, observed+r.observed
			}
			share := float64(opened) / float64(observed)
			t.Logf("%.3f of the requests opened a connection, %.3f at best", share, best)
			qt.Check(t, share <= best+0.1, qt.IsTrue, qt.Commentf("%.3f, at best %.3f", share, best))
		})
	}
}

// TestReplayedRestart replays a target that is back after a second in which the requests of
// all teams have gathered.
func TestReplayedRestart(t *testing.T) {
	limits := ConnLimits{Share: 17, Max: 17, MaxInUse: 9}
	for seed := range replaySeeds() {
		r := runTeams(t, teamLoad{
			limits: limits, rate: steady(replayFallOff, 100), duration: 8 * time.Second,
			observeFrom: 5 * time.Second, observeUntil: 7 * time.Second, downFor: time.Second,
		}, seed)
		r.check(t, limits, qt.Commentf("seed %d", seed))
	}
}

// TestReplayedLargeTeam replays one team alone, which opens what it needs once.
func TestReplayedLargeTeam(t *testing.T) {
	limits := ConnLimits{Share: 17, Max: 17, MaxInUse: 9}
	for seed := range replaySeeds() {
		r := runTeams(t, teamLoad{
			limits: limits, duration: 20 * time.Second, observeFrom: 0, observeUntil: time.Minute,
			rate: func(team int, _ time.Duration) float64 {
				if team > 0 {
					return 0
				}
				return 0.8 * replaySlots / replayMeanWork.Seconds()
			},
		}, seed)
		comment := qt.Commentf("seed %d", seed)
		r.check(t, limits, comment)
		qt.Check(t, r.opened <= limits.MaxInUse, qt.IsTrue, comment)
		qt.Check(t, r.pool.counters.Evicted, qt.Equals, uint64(0), comment)
	}
}

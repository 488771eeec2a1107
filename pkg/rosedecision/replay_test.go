package rosedecision

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// load is a pattern of requests to one target whose slots run one request each.
type load struct {
	slots int
	// rate returns the arrivals a second at a time of the replay.
	rate     func(at time.Duration) float64
	duration time.Duration
	// service is the mean time that a request takes, aim and deadline are when its answer
	// should be there and when it is of no use.
	service, aim, deadline time.Duration
}

// outcome counts what became of the requests of a replay.
type outcome struct {
	arrived, inAim, late, refusedAtOnce, shed, expired int
	// longestWait is the longest time that a refused request was held.
	longestWait time.Duration
}

// arrival is a request of a replay.
type arrival struct {
	at      time.Duration
	service time.Duration
	turn    Turn
}

// turns orders arrivals by their turns.
type turns []arrival

func (t turns) Len() int           { return len(t) }
func (t turns) Less(i, j int) bool { return t[i].turn.Before(t[j].turn) }
func (t turns) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *turns) Push(x any)        { *t = append(*t, x.(arrival)) }
func (t *turns) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// replay plays a load against the decisions on admission and order, in simulated time. With
// decide unset all requests wait, in the order of their arrival.
func replay(l load, seed uint64, decide bool) outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	var result outcome
	var waiting turns
	free := make([]time.Duration, l.slots)
	queuedSince := time.Duration(-1)
	queue := func(now time.Duration) Queue {
		q := Queue{Limit: l.slots, HoldTime: l.service}
		for _, f := range free {
			if f > now {
				q.Open++
			}
		}
		if queuedSince >= 0 {
			q.QueuedFor = now - queuedSince
		}
		return q
	}
	// serve runs the waiting requests on the slots that are free before until.
	serve := func(until time.Duration) {
		for len(waiting) > 0 {
			slot := 0
			for i := range free {
				if free[i] < free[slot] {
					slot = i
				}
			}
			if free[slot] >= until {
				return
			}
			next := heap.Pop(&waiting).(arrival)
			now := max(free[slot], next.at)
			switch held := now - next.at; {
			case held > l.deadline:
				result.expired++
				result.longestWait = max(result.longestWait, l.deadline)
			case decide && next.turn.Shed(queue(now), start.Add(now)):
				result.shed++
				result.longestWait = max(result.longestWait, held)
			default:
				free[slot] = now + next.service
				if answered := free[slot] - next.at; answered <= l.aim {
					result.inAim++
				} else {
					result.late++
				}
			}
		}
		queuedSince = -1
	}
	sequence := uint64(0)
	for at := time.Duration(0); at < l.duration; {
		at += time.Duration(random.ExpFloat64() / l.rate(at) * float64(time.Second))
		serve(at)
		result.arrived++
		sequence++
		a := arrival{at: at, service: time.Duration(float64(l.service) * (0.5 + random.Float64())), turn: Turn{Sequence: sequence}}
		if decide {
			now := start.Add(at)
			// The answer is in time if the wait leaves the time for a service.
			a.turn.Deadline, a.turn.SoftDeadline = now.Add(l.deadline), now.Add(l.aim-l.service)
			q := queue(at)
			q.Ahead = len(waiting)
			if !q.Admits(a.turn.SoftDeadline, a.turn.Deadline, now) {
				result.refusedAtOnce++
				continue
			}
		}
		if queuedSince < 0 {
			queuedSince = at
		}
		heap.Push(&waiting, a)
	}
	serve(l.duration + time.Hour)
	return result
}

package rosefleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// TeamWaits counts the waits of a team's requests for connections.
type TeamWaits struct {
	Count uint64
	Total time.Duration
}

func (w TeamWaits) with(wait time.Duration) TeamWaits {
	return w.plus(TeamWaits{Count: 1, Total: wait})
}

func (w TeamWaits) plus(other TeamWaits) TeamWaits {
	return TeamWaits{Count: w.Count + other.Count, Total: w.Total + other.Total}
}

// ConnCounters counts events of the connections to targets.
type ConnCounters struct {
	// Opened counts the connections opened, Evicted those closed for the place of another.
	Opened, Evicted uint64
	// Forgotten holds the waits of teams that are not known any more.
	Forgotten TeamWaits
}

// ConnCounters returns the counts over the group's present targets.
func (g *Group) ConnCounters() ConnCounters {
	var total ConnCounters
	g.eachPool(func(_ rosemary.TargetID, p *pool) {
		total.Opened += p.counters.Opened
		total.Evicted += p.counters.Evicted
		total.Forgotten = total.Forgotten.plus(p.counters.Forgotten)
	})
	return total
}

// TeamWaits returns the waits of the maxTeams teams that waited longest in total, and those of
// all others together.
func (g *Group) TeamWaits(maxTeams int) (byTeam map[string]TeamWaits, others TeamWaits) {
	byTeam = make(map[string]TeamWaits)
	g.eachPool(func(_ rosemary.TargetID, p *pool) {
		others = others.plus(p.counters.Forgotten)
		for name, t := range p.teams {
			if t.waits.Count > 0 {
				byTeam[name] = byTeam[name].plus(t.waits)
			}
		}
	})
	names := make([]string, 0, len(byTeam))
	for name := range byTeam {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(byTeam[b].Total, byTeam[a].Total), cmp.Compare(a, b))
	})
	for _, name := range names[min(maxTeams, len(names)):] {
		others = others.plus(byTeam[name])
		delete(byTeam, name)
	}
	return byTeam, others
}

// TeamConnections counts the connections of a team to a target, and its waiting requests.
type TeamConnections struct {
	Idle, InUse, Waiting int
}

// TeamConnections returns the connections of each team to each target. Those that the proxy
// uses for itself have an empty team.
func (g *Group) TeamConnections() map[rosemary.TargetID]map[string]TeamConnections {
	byTarget := make(map[rosemary.TargetID]map[string]TeamConnections)
	g.eachPool(func(id rosemary.TargetID, p *pool) {
		byTarget[id] = make(map[string]TeamConnections)
		for name, t := range p.teams {
			if t.open > 0 || len(t.waiting) > 0 {
				byTarget[id][name] = TeamConnections{Idle: t.idle, InUse: t.open - t.idle, Waiting: len(t.waiting)}
			}
		}
	})
	return byTarget
}

// eachPool calls visit for the pool of each target, with its lock held.
func (g *Group) eachPool(visit func(rosemary.TargetID, *pool)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, e := range g.endpoints {
		e.pool.mu.Lock()
		visit(id, e.pool)
		e.pool.mu.Unlock()
	}
}

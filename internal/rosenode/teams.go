package rosenode

import (
	"maps"
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosecaller"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
)

// notReadyRetryAfter is when clients of a proxy without a configuration should come back.
const notReadyRetryAfter = 500 * time.Millisecond

// Open returns a session on a database for the caller with a key, or the reason for
// refusing it.
func (n *Node) Open(database string, key roseteam.KeyDigest) (*rosecaller.Session, *rosemary.Refusal) {
	if refusal := n.checkOpen(database, key); refusal != nil {
		n.Refused(rosecaller.RefusedRequest{Database: database, Refusal: refusal})
		return nil, refusal
	}
	return rosecaller.NewSession(rosecaller.Config{
		ConfigProvider: n, Database: database, Key: key, Executor: placement{n}, Observer: n,
	}), nil
}

// checkOpen returns the reason for refusing a session.
func (n *Node) checkOpen(database string, key roseteam.KeyDigest) *rosemary.Refusal {
	configuration := n.configuration.Load()
	if configuration == nil {
		return &rosemary.Refusal{
			Kind: rosemary.KindNotReady, Outcome: rosemary.OutcomeNotRun, RetryAfter: notReadyRetryAfter,
			Message: "this proxy has no configuration yet and can't serve now", Remedy: "connect to another proxy, or retry",
		}
	}
	route, found := configuration.Routes[database]
	if !found {
		return &rosemary.Refusal{
			Kind: rosemary.KindUnknownDatabase, Outcome: rosemary.OutcomeNotRun,
			Message: "there is no such database", Remedy: "check the database name and the configuration in force",
		}
	}
	if configuration.Teams == nil || route.Public {
		return nil
	}
	if _, known := configuration.Teams.ByKey(key); !known {
		return rosecaller.Denied(key)
	}
	return nil
}

// Teams returns the teams in force, nil if callers need no key.
func (n *Node) Teams() *roseteam.Directory {
	if configuration := n.configuration.Load(); configuration != nil {
		return configuration.Teams
	}
	return nil
}

// teamPriority returns the priority of a team, the highest for one that isn't known here.
func (n *Node) teamPriority(name string) int {
	if teams := n.Teams(); teams != nil {
		if team, known := teams.ByName(name); known {
			return team.Priority
		}
	}
	return 0
}

// checkTeam reports whether a relayed task may run for the team that another proxy named,
// which may have seen an older or a newer configuration. If not, it returns the version in
// force here.
func (n *Node) checkTeam(task rosecaller.Task) (newest int64, ok bool) {
	configuration := n.configuration.Load()
	if configuration == nil {
		return 0, true
	}
	if task.ConfigurationVersion > configuration.Version {
		n.awaitNewer(task.ConfigurationVersion)
	}
	if configuration.Teams == nil || configuration.Teams.MayHold(task.Team, task.ConfigurationVersion) {
		return 0, true
	}
	return configuration.Version, false
}

// TeamState is a team as operators see it.
type TeamState struct {
	Name     string
	Priority int
	// Rate and Burst are the usage cap, nil for none.
	Rate, Burst *float64
	// Keys are the fingerprints of the team's keys.
	Keys []string
	// Sessions is the number of sessions that are open here with the team's keys.
	Sessions int
	// Usage is nil if the team has no cap.
	Usage *TeamUsage
	// Connections is the number of connections to targets in the team's name, nil if unknown.
	Connections *int
}

// TeamUsage is what a proxy has of a team's usage cap.
type TeamUsage struct {
	// Hosts are the proxies that it asks for tokens, in this order.
	Hosts []rosemary.ProxyID
	// Tokens is the number of operations that may begin now, Waiting that of those that wait
	// for a token.
	Tokens, Waiting int
	// Refused is the number of operations that it has refused since its start.
	Refused uint64
}

// TeamsState is the teams in force at a proxy.
type TeamsState struct {
	Proxy   rosemary.ProxyID
	Zone    rosemary.Zone
	Version int64
	// VersionAgeMs is the time since Version was known to be the newest, nil if it never was.
	VersionAgeMs *int64
	// Outdated is set if that is longer than the operators allow.
	Outdated bool
	Teams    []TeamState
}

// TeamsState returns the teams in force. sessions is the number of open sessions by key.
func (n *Node) TeamsState(sessions map[roseteam.KeyDigest]int) TeamsState {
	state := TeamsState{Proxy: n.config.Self.Proxy, Zone: n.config.Self.Zone, Outdated: n.newsOutdated.Load()}
	configuration := n.configuration.Load()
	if configuration == nil {
		return state
	}
	state.Version = configuration.Version
	if n.configurationConfirmed() {
		age := n.configurationAge().Milliseconds()
		state.VersionAgeMs = &age
	}
	connections, usage := n.teamConnections(), make(map[string]*TeamUsage)
	for _, s := range n.TeamShares() {
		usage[s.Team] = &TeamUsage{Hosts: s.Hosts, Tokens: s.Tokens, Waiting: s.Waiting, Refused: s.Refused}
	}
	for _, t := range configuration.Teams.Teams() {
		team := TeamState{Name: t.Name, Priority: t.Priority}
		if t.Cap != nil {
			team.Rate, team.Burst = &t.Cap.Rate, &t.Cap.Burst
		}
		for _, k := range t.Keys {
			team.Keys = append(team.Keys, k.Fingerprint())
			team.Sessions += sessions[k]
		}
		if count, known := connections[t.Name]; known {
			team.Connections = &count
		}
		team.Usage = usage[t.Name]
		state.Teams = append(state.Teams, team)
	}
	return state
}

// teamConnections returns the number of connections to targets in each team's name.
func (n *Node) teamConnections() map[string]int {
	n.mu.Lock()
	groups := slices.Collect(maps.Values(n.groups))
	n.mu.Unlock()
	counts := make(map[string]int)
	for _, g := range groups {
		for _, byTeam := range g.TeamConnections() {
			for team, c := range byTeam {
				counts[team] += c.Idle + c.InUse
			}
		}
	}
	return counts
}

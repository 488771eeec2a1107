package rosecap

import (
	"slices"
	"sync"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
)

// Report is what a holder tells the lender of some teams.
type Report struct {
	// Incarnation increases with each start of the holder, Sequence with each of its reports.
	Incarnation, Sequence uint64
	// Complete is set if Teams has every team of this lender of which the holder has a share.
	Complete bool
	// Young is set if the holder has started less than Lifetime ago.
	Young bool
	Teams []TeamReport
}

// Homes are the proxies that may hold shares.
type Homes struct {
	Proxies []rosemary.ProxyID
	// All is set if no other proxy was a home in the last Lifetime.
	All bool
}

// Lender lends the shares of all teams whose lender is the holder of one lock. A Lender
// belongs to one claim of the lock. Its methods may be called concurrently.
type Lender struct {
	policy Policy
	// unknownUntil is until when there may be shares lent under earlier claims.
	unknownUntil time.Time

	mu      sync.Mutex
	teams   *roseteam.Directory
	count   int
	ledgers map[string]*ledger
	// complete has the holders that have made a complete report, with whether they were young.
	complete map[rosemary.ProxyID]bool
}

// NewLender returns the lender of a lock that was claimed at claimedAt.
func NewLender(policy Policy, claimedAt time.Time) *Lender {
	return &Lender{
		policy: policy, unknownUntil: claimedAt.Add(Lifetime),
		ledgers: make(map[string]*ledger), complete: make(map[rosemary.ProxyID]bool),
	}
}

// SetTeams sets the teams of the configuration in force and the number of holders. Records
// of teams that are no longer configured are kept, as their shares may still be held.
func (l *Lender) SetTeams(now time.Time, teams *roseteam.Directory, holders int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.teams == teams && l.count == holders {
		return
	}
	l.teams, l.count = teams, holders
	for name, ledger := range l.ledgers {
		team, _ := teams.ByName(name)
		if team.Cap == nil {
			team.Cap = &roseteam.Cap{}
		}
		ledger.setSplit(now, newSplit(*team.Cap, l.policy, holders))
	}
}

// Answer records a holder's report and answers it, with one grant for each of its teams.
// It returns false for a report that is older than one already answered. Holders that are no
// homes get tokens only.
func (l *Lender) Answer(now time.Time, holder rosemary.ProxyID, report Report, homes Homes) ([]TeamGrant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	home := slices.Contains(homes.Proxies, holder)
	grants := make([]TeamGrant, 0, len(report.Teams))
	for _, r := range report.Teams {
		team, found := l.teams.ByName(r.Team)
		if !found || team.Cap == nil {
			grants = append(grants, TeamGrant{})
			continue
		}
		record := l.ledgers[r.Team]
		if record == nil {
			record = newLedger(now, newSplit(*team.Cap, l.policy, l.count), l.unknownUntil)
			l.ledgers[r.Team] = record
		}
		grant, ok := record.answer(now, reporter{holder, report.Incarnation, report.Sequence, home}, r)
		if !ok {
			return nil, false
		}
		grants = append(grants, grant)
	}
	l.recordComplete(now, holder, report, homes)
	return grants, true
}

// recordComplete ends the time in which shares may be unknown once every home has reported
// all that it holds. Others can only hold shares if they were homes in the last Lifetime: there
// are none if all homes are known, or if all proxies have just started.
func (l *Lender) recordComplete(now time.Time, holder rosemary.ProxyID, report Report, homes Homes) {
	if !now.Before(l.unknownUntil) {
		return
	}
	if report.Complete {
		l.complete[holder] = report.Young
	}
	if len(homes.Proxies) == 0 {
		return
	}
	for _, id := range homes.Proxies {
		young, complete := l.complete[id]
		if !complete || !homes.All && !young {
			return
		}
	}
	l.unknownUntil = now
	for _, ledger := range l.ledgers {
		ledger.setUnknownUntil(now)
	}
}

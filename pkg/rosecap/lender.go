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
	// Blank is set if the holder has no share of any team of this lender, and has started
	// less than Lifetime ago.
	Blank bool
	Teams []TeamReport
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
	blank   map[rosemary.ProxyID]bool
}

// NewLender returns the lender of a lock that was claimed at claimedAt.
func NewLender(policy Policy, claimedAt time.Time) *Lender {
	return &Lender{
		policy: policy, unknownUntil: claimedAt.Add(Lifetime),
		ledgers: make(map[string]*ledger), blank: make(map[rosemary.ProxyID]bool),
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
// It returns false for a report that is older than one already answered. The homes are those
// that may hold shares, other holders get tokens only: once all homes have just started
// without any, nothing is held that the lender doesn't know.
func (l *Lender) Answer(now time.Time, holder rosemary.ProxyID, report Report, homes []rosemary.ProxyID) ([]TeamGrant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordBlank(now, holder, report.Blank, homes)
	home := slices.Contains(homes, holder)
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
	return grants, true
}

// recordBlank ends the time in which shares may be unknown once every home is blank.
func (l *Lender) recordBlank(now time.Time, holder rosemary.ProxyID, blank bool, homes []rosemary.ProxyID) {
	if !now.Before(l.unknownUntil) {
		return
	}
	if blank {
		l.blank[holder] = true
	}
	if len(homes) == 0 {
		return
	}
	for _, id := range homes {
		if !l.blank[id] {
			return
		}
	}
	l.unknownUntil = now
	for _, ledger := range l.ledgers {
		ledger.setUnknownUntil(now)
	}
}

// Package roselend divides the connections of a target between proxies: each has
// a number of its own, and a lender grants the others for a short time on
// demand. Loans only improve utilization; the connection limit is enforced by
// the target itself.
package roselend

import (
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// LoanDuration is how long a borrower may use a loan, from the time of its
	// request.
	LoanDuration = 2 * time.Second
	// RequestInterval is the interval of a borrower's requests for one target.
	RequestInterval = 250 * time.Millisecond
	// expiryGrace is how much longer the lender counts a loan, so that its
	// connections are never lent again while the borrower may still use them.
	expiryGrace = time.Second
)

// Quota is the division of a target's connections.
type Quota struct {
	// Reserved is the number that each proxy owns.
	Reserved int
	// Lendable is the number that the lender grants on demand.
	Lendable int
}

// Divide divides connections between proxies, after one control connection for
// each. Two thirds of an equal share are reserved, the remainder is lendable.
func Divide(connections, proxies int) Quota {
	proxies = max(proxies, 1)
	available := max(connections-proxies, proxies)
	reserved := max(available*2/(3*proxies), 1)
	return Quota{Reserved: reserved, Lendable: max(available-reserved*proxies, 0)}
}

// DivideEvenly divides connections evenly, with nothing lendable.
func DivideEvenly(connections, proxies int) Quota {
	proxies = max(proxies, 1)
	return Quota{Reserved: max((connections-proxies)/proxies, 1)}
}

// loan is what one borrower has borrowed of one target's connections.
type loan struct {
	connections int
	expiresAt   time.Time
}

// Lender tracks the loans of the targets for which this proxy is the lender. It
// isn't safe for concurrent use.
type Lender struct {
	loans map[rosemary.TargetID]map[rosemary.ProxyID]loan
}

// NewLender returns a lender without loans.
func NewLender() *Lender {
	return &Lender{loans: make(map[rosemary.TargetID]map[rosemary.ProxyID]loan)}
}

// Grant returns how many of the lendable connections a borrower gets. A request
// replaces the borrower's previous loan. While others request connections too,
// none gets more than an equal share.
func (l *Lender) Grant(now time.Time, target rosemary.TargetID, borrower rosemary.ProxyID, wanted, lendable int) int {
	loans := l.loans[target]
	if loans == nil {
		loans = make(map[rosemary.ProxyID]loan)
		l.loans[target] = loans
	}
	lent := 0
	for id, other := range loans {
		if now.After(other.expiresAt) {
			delete(loans, id)
			continue
		}
		if id != borrower {
			lent += other.connections
		}
	}
	if wanted <= 0 {
		delete(loans, borrower)
		return 0
	}
	delete(loans, borrower)
	granted := max(min(wanted, lendable-lent), 0)
	if others := len(loans); others > 0 {
		granted = min(granted, max(lendable/(others+1), 1))
	}
	loans[borrower] = loan{connections: granted, expiresAt: now.Add(LoanDuration + expiryGrace)}
	return granted
}

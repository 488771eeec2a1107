// Package roselend divides the connections of a target between proxies: each
// proxy reserves some, and one proxy, the target's lender, grants the remaining
// connections for a short time on demand. Loans only improve utilization; the
// connection limit is enforced by the target itself.
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
	// Reserved is the number of connections reserved for each proxy.
	Reserved int
	// Lendable is the number of connections that the lender grants on demand.
	Lendable int
}

// Divide divides connections between proxies, except for one control connection
// of each proxy. Two thirds of an equal share, and at least one connection, are
// reserved for each proxy; the remainder is lendable.
func Divide(connections, proxies int) Quota {
	proxies = max(proxies, 1)
	available := max(connections-proxies, proxies)
	reserved := max(available*2/(3*proxies), 1)
	return Quota{Reserved: reserved, Lendable: max(available-reserved*proxies, 0)}
}

// DivideEvenly divides connections evenly, except for one control connection of
// each proxy. No connection is lendable.
func DivideEvenly(connections, proxies int) Quota {
	proxies = max(proxies, 1)
	return Quota{Reserved: max((connections-proxies)/proxies, 1)}
}

// loan is the current loan of one borrower at one target.
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
// replaces the borrower's previous loan. While other borrowers request
// connections too, each gets at most an equal share.
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

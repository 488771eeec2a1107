// Package roselend shares the connections of a target between proxies: each
// owns a floor, and a lender grants the rest for a short time by demand. Loans
// only make better use of connections; a target refuses what is too much.
package roselend

import (
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// LoanDuration is how long a borrower may use a loan, from the time of its ask.
	LoanDuration = 2 * time.Second
	// RequestInterval separates the asks of a borrower for one target.
	RequestInterval = 250 * time.Millisecond
	// grace is how much longer the lender keeps a loan on its books, so that
	// it is never lent twice while a borrower may still use it.
	grace = time.Second
)

// Quota is the division of a target's connections.
type Quota struct {
	// Floor is the number that each proxy owns.
	Reserved int
	// Rest is the number that is lent.
	Lendable int
}

// Divide shares connections between proxies, after one control connection for
// each. Two thirds of an equal part are the floor.
func Divide(connections, proxies int) Quota {
	proxies = max(proxies, 1)
	free := max(connections-proxies, proxies)
	floor := max(free*2/(3*proxies), 1)
	return Quota{Reserved: floor, Lendable: max(free-floor*proxies, 0)}
}

// DivideEvenly shares connections evenly, with nothing to lend.
func DivideEvenly(connections, proxies int) Quota {
	proxies = max(proxies, 1)
	return Quota{Reserved: max((connections-proxies)/proxies, 1)}
}

// loan is what one borrower has of one target.
type loan struct {
	extra int
	until time.Time
}

// Lender keeps the books of the targets that this proxy lends. It isn't safe
// for concurrent use.
type Lender struct {
	books map[rosemary.TargetID]map[rosemary.ProxyID]loan
}

// NewLender returns a lender without loans.
func NewLender() *Lender {
	return &Lender{books: make(map[rosemary.TargetID]map[rosemary.ProxyID]loan)}
}

// Grant returns how many connections a borrower gets, of rest. A new ask
// replaces the borrower's last loan. Nobody keeps more than an equal part of
// the rest while others ask too.
func (l *Lender) Grant(now time.Time, target rosemary.TargetID, borrower rosemary.ProxyID, want, rest int) int {
	book := l.books[target]
	if book == nil {
		book = make(map[rosemary.ProxyID]loan)
		l.books[target] = book
	}
	lent := 0
	for id, other := range book {
		if now.After(other.until) {
			delete(book, id)
			continue
		}
		if id != borrower {
			lent += other.extra
		}
	}
	if want <= 0 {
		delete(book, borrower)
		return 0
	}
	delete(book, borrower)
	extra := max(min(want, rest-lent), 0)
	if others := len(book); others > 0 {
		extra = min(extra, max(rest/(others+1), 1))
	}
	book[borrower] = loan{extra: extra, until: now.Add(LoanDuration + grace)}
	return extra
}

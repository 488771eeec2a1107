package roselend_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/roselend"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

func TestDivide(t *testing.T) {
	for _, test := range []struct {
		connections, proxies int
		want                 roselend.Quota
	}{
		{20, 6, roselend.Quota{Reserved: 1, Lendable: 8}},
		{50, 6, roselend.Quota{Reserved: 4, Lendable: 20}},
		{4, 6, roselend.Quota{Reserved: 1, Lendable: 0}},
		{20, 1, roselend.Quota{Reserved: 12, Lendable: 7}},
	} {
		got := roselend.Divide(test.connections, test.proxies)
		qt.New(t).Check(got, qt.Equals, test.want, qt.Commentf("%d connections, %d proxies", test.connections, test.proxies))
	}
}

// Guards against connections being lent twice: for any order of requests, the
// loans in use at one time never exceed the lendable connections.
func TestLoansNeverExceedLendable(t *testing.T) {
	const lendable, borrowers = 8, 6
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		lender := roselend.NewLender()
		now := time.Unix(0, 0)
		inUse := make(map[rosemary.ProxyID]int)
		validUntil := make(map[rosemary.ProxyID]time.Time)
		for range 300 {
			now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
			id := rosemary.ProxyID(fmt.Sprint(random.IntN(borrowers)))
			inUse[id] = lender.Grant(now, "t", id, random.IntN(12), lendable)
			validUntil[id] = now.Add(roselend.LoanDuration)
			total := 0
			for other, connections := range inUse {
				if now.Before(validUntil[other]) {
					total += connections
				}
			}
			if total > lendable {
				t.Fatalf("seed %d: %d connections in use, of %d lendable", seed, total, lendable)
			}
		}
	}
}

func TestGrantSharesAmongBorrowers(t *testing.T) {
	c := qt.New(t)
	lender := roselend.NewLender()
	now := time.Unix(0, 0)
	c.Check(lender.Grant(now, "t", "a", 20, 8), qt.Equals, 8)
	c.Check(lender.Grant(now, "t", "b", 20, 8), qt.Equals, 0)
	later := now.Add(time.Second)
	c.Check(lender.Grant(later, "t", "a", 20, 8), qt.Equals, 4, qt.Commentf("b has requested connections too"))
	c.Check(lender.Grant(later, "t", "b", 20, 8), qt.Equals, 4)
	c.Check(lender.Grant(later.Add(time.Minute), "t", "b", 3, 8), qt.Equals, 3)
}

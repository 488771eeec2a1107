package rosesupervisor

import (
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// promotionEffectTime is how long after its order a promotion usually has taken
	// effect. A check that takes effect later, after a step-down, makes the old primary
	// the primary of a further term.
	promotionEffectTime = 1200 * time.Millisecond
	// maxPromotionCheckAge is how long an accepted check shows that promotions are
	// accepted.
	maxPromotionCheckAge = 4 * time.Second
	// promotionCheckInterval separates the checks.
	promotionCheckInterval = 250 * time.Millisecond
)

// promotionCheck is what a holder of a failover lock knows about the platform's
// acceptance of promotions. Before a primary that answers steps down, its own promotion is
// ordered, which changes nothing while it is the primary: a platform that refuses that
// would leave the group without a primary.
type promotionCheck struct {
	primary rosemary.TargetID
	term    uint64
	// askedAt is when the last check was sent. Zero if there was none.
	askedAt time.Time
	// acceptedAt is when the last check was accepted; zero if it wasn't.
	acceptedAt time.Time
}

// withResult returns the check after a promotion of the primary of term was ordered.
func (c promotionCheck) withResult(primary rosemary.TargetID, term uint64, askedAt, answeredAt time.Time, accepted bool) promotionCheck {
	next := promotionCheck{primary: primary, term: term, askedAt: askedAt}
	if accepted {
		next.acceptedAt = answeredAt
	}
	return next
}

// concerns reports whether the check was of the primary of term.
func (c promotionCheck) concerns(primary rosemary.TargetID, term uint64) bool {
	return c.primary == primary && c.term == term
}

// due reports whether promotions have to be checked, or checked again, before the primary
// of term may step down.
func (c promotionCheck) due(primary rosemary.TargetID, term uint64, now time.Time) bool {
	if !c.concerns(primary, term) {
		return true
	}
	if c.acceptedAt.IsZero() {
		return now.Sub(c.askedAt) >= promotionCheckInterval
	}
	return now.Sub(c.acceptedAt) > maxPromotionCheckAge
}

// allowsStepDown reports whether the primary of term may step down: promotions were
// accepted recently, and the check has taken effect.
func (c promotionCheck) allowsStepDown(primary rosemary.TargetID, term uint64, now time.Time) bool {
	return c.concerns(primary, term) && !c.acceptedAt.IsZero() &&
		now.Sub(c.acceptedAt) >= promotionEffectTime && now.Sub(c.acceptedAt) <= maxPromotionCheckAge
}

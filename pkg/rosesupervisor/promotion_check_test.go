package rosesupervisor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestPromotionCheck(t *testing.T) {
	start := time.Unix(100, 0)
	accepted := promotionCheck{}.withResult("a", 3, start.Add(-time.Millisecond), start, true)
	refused := promotionCheck{}.withResult("a", 3, start, start, false)
	tests := []struct {
		name        string
		check       promotionCheck
		term        uint64
		after       time.Duration
		due, allows bool
	}{
		{"never checked", promotionCheck{}, 3, 0, true, false},
		{"accepted, may not have taken effect", accepted, 3, promotionEffectTime - 1, false, false},
		{"accepted and in effect", accepted, 3, promotionEffectTime, false, true},
		{"accepted too long ago", accepted, 3, maxPromotionCheckAge + 1, true, false},
		{"accepted for another term", accepted, 4, promotionEffectTime, true, false},
		{"refused just now", refused, 3, promotionCheckInterval - 1, false, false},
		{"refused a while ago", refused, 3, promotionCheckInterval, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := start.Add(test.after)
			qt.Check(t, test.check.due("a", test.term, now), qt.Equals, test.due)
			qt.Check(t, test.check.allowsStepDown("a", test.term, now), qt.Equals, test.allows)
		})
	}
}

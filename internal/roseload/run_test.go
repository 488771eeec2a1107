package roseload_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/internal/rosedaemon"
	"github.com/rosemarywell/rosemarywell/internal/roseload"
	"github.com/rosemarywell/rosemarywell/internal/rosestack"
)

// runFaults runs a deployment under load with the given faults, in a synctest
// bubble, and returns the report.
func runFaults(t *testing.T, deployment, faults string, seed uint64, rate float64, baseline rosedaemon.Baseline) *roseload.Report {
	var report *roseload.Report
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, err := rosestack.FindDeployment(deployment)
		c.Assert(err, qt.IsNil)
		report, err = roseload.Run(context.Background(), roseload.Config{
			Deployment: d,
			Duration:   9 * time.Second,
			Seed:       seed,
			Rate:       rate,
			Faults:     roseload.SplitFaults(faults),
			Baseline:   baseline,
			InMemory:   true,
		})
		c.Assert(err, qt.IsNil)
	})
	t.Logf("deployment=%s faults=%s seed=%d acknowledged=%d unknown=%d notrun=%d gap=%.0fms",
		deployment, faults, seed, report.Acknowledged, report.Unknown, report.NotRun, report.FailoverGapMs)
	t.Logf("bundle p50=%.3fs p99=%.3fs missing=%d reversions=%d work-after-leaving=%d",
		report.BundleP50Seconds, report.BundleP99Seconds, report.BundlesMissing, report.Reversions, report.WorkAfterLeaving)
	return report
}

// faultCases are the single and combined faults of TestHistoriesKeepEveryPromise.
var faultCases = []string{
	"none",
	"replica-lag",
	"proxy-kill",
	"proxy-drain",
	"silent-connections",
	"primary-crash",
	"primary-silent",
	"primary-cut",
	"zone-cut",
	"store-lost-answers",
	"primary-move",
	"supervisor-paused",
	"primary-crash-twice",
	"primary-crash+store-down",
	"primary-crash+replica-lag",
	"primary-crash+proxy-kill",
	"primary-cut+silent-connections",
	"zone-cut+store-lost-answers",
	"primary-move+replica-lag",
	"primary-move+proxy-kill",
	"bundle-rollout",
	"bundle-race",
	"target-leaving",
	"proxy-restart",
	"zone-cut+bundle",
	"store-down-at-boot",
	"bundle-rollout+primary-crash",
	"bundle-race+store-lost-answers",
	"target-leaving-sign",
	"store-slow",
	"store-slow+primary-crash",
	"store-from-past",
}

func TestHistoriesKeepEveryPromise(t *testing.T) {
	t.Parallel()
	for i, faults := range faultCases {
		deployment := []string{"costa-rica", "guatemala"}[i%2]
		t.Run(fmt.Sprintf("%s/%s", deployment, faults), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			report := runFaults(t, deployment, faults, uint64(100+i), 150, rosedaemon.Baseline{})
			c.Check(report.ViolationCount(), qt.Equals, 0, qt.Commentf("%s", strings.Join(report.Examples, "\n")))
			c.Check(report.Acknowledged > 100, qt.IsTrue, qt.Commentf("%d acknowledged", report.Acknowledged))
		})
	}
}

// Verifies that the checks find violations: a proxy that acknowledges writes
// without waiting for a quorum loses them when the primary is partitioned.
func TestHistoriesCatchAnUnsafeAcknowledgement(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	report := runFaults(t, "costa-rica", "primary-cut", 7, 900, rosedaemon.Baseline{AcknowledgeOnPrimary: true})
	c.Check(report.AcknowledgedLost > 0, qt.IsTrue)
	c.Check(report.NotLinearizable > 0, qt.IsTrue)
}

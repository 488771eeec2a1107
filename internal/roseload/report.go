package roseload

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Report holds the results of a run. Its field names are the keys of the
// printed JSON.
type Report struct {
	Deployment string
	Faults     []string
	Seed       uint64
	Seconds    float64

	Reads            int
	ReplicaReads     uint64
	ReplicaReadShare float64
	// Writes counts the operations of all other kinds, Acknowledged those of them
	// that were answered.
	Writes       int
	Acknowledged int
	NotRun       int
	Unknown      int
	Duplicates   int
	// Unsent counts the requests for which there was no session.
	Unsent int64

	ReadP50Ms  float64
	ReadP99Ms  float64
	WriteP50Ms float64
	WriteP99Ms float64

	// FailoverGapMs is the longest time between consecutive acknowledged writes
	// to the first database. If faults were injected, only gaps that end after
	// the injection count.
	FailoverGapMs float64
	// BundleP50Seconds and BundleP99Seconds are percentiles, over bundles and
	// proxies, of the time from acceptance to being in force.
	BundleP50Seconds float64
	BundleP99Seconds float64
	// BundlesMissing counts the pairs of running proxy and accepted bundle
	// where the bundle was not seen in force by the end.
	BundlesMissing int
	// Reversions counts changes of a proxy to an older bundle.
	Reversions int
	// WorkAfterLeaving counts statements that a leaving target began later than
	// leavingGracePeriod after it was marked as leaving.
	WorkAfterLeaving int
	// Fairness is Jain's fairness index of the tenants' answered requests,
	// relative to their max-min fair shares.
	Fairness float64
	Tenants  []TenantReport

	findings
}

// TenantReport holds the results of one tenant, only for the time of the faults
// if any were injected.
type TenantReport struct {
	Name     string
	Sent     int
	Answered int
	P50Ms    float64
	P99Ms    float64
}

// ViolationCount returns the number of violations.
func (rep *Report) ViolationCount() int {
	return rep.AcknowledgedLost + rep.ReadYourWritesViolations + rep.StaleBeyondAge + rep.DoubleRuns +
		rep.MixedTransactions + rep.WrongAnswers + rep.FalseNotRun + rep.NotLinearizable +
		rep.BundlesMissing + rep.Reversions + rep.WorkAfterLeaving
}

func (r *run) report() *Report {
	operations := r.history.snapshot()
	rep := &Report{
		Deployment: r.config.Deployment.Name,
		Faults:     r.config.Faults,
		Seed:       r.config.Seed,
		Seconds:    r.config.Duration.Seconds(),
		Unsent:     r.unsent.Load(),
		findings:   *r.check(operations),
	}
	var reads, writes []time.Duration
	for _, o := range operations {
		rep.count(o)
		if o.Outcome != OutcomeAnswered {
			continue
		}
		if o.Kind == KindRead {
			reads = append(reads, o.End.Sub(o.Due))
		} else if o.Attempt <= 1 {
			// The latency of a retry would include the earlier attempts.
			writes = append(writes, o.End.Sub(o.Due))
		}
	}
	rep.ReadP50Ms, rep.ReadP99Ms = percentile(reads, 0.5), percentile(reads, 0.99)
	rep.WriteP50Ms, rep.WriteP99Ms = percentile(writes, 0.5), percentile(writes, 0.99)
	rep.ReplicaReads, rep.ReplicaReadShare = r.replicaReads()
	rep.FailoverGapMs = r.failoverGap(operations)
	times, missing := r.bundles.rolloutTimes()
	rep.BundleP50Seconds, rep.BundleP99Seconds = percentile(times, 0.5)/1000, percentile(times, 0.99)/1000
	rep.BundlesMissing, rep.Reversions = missing, r.bundles.reversions
	rep.WorkAfterLeaving = r.workAfterLeaving()
	rep.Tenants = r.tenantReports(operations)
	rep.Fairness = r.fairness(rep.Tenants)
	return rep
}

// leavingGracePeriod is how long a leaving target may still get new work.
const leavingGracePeriod = 2 * time.Second

// workAfterLeaving counts the late statements on the leaving target, as that
// target recorded them.
func (r *run) workAfterLeaving() int {
	for _, group := range r.stack.Groups {
		if t := group.Target(rosemary.TargetID(r.leaving.id)); t != nil {
			return t.StatementsAfter(r.leaving.since.Add(leavingGracePeriod))
		}
	}
	return 0
}

func (rep *Report) count(o Operation) {
	if o.Kind == KindRead {
		rep.Reads++
	} else {
		rep.Writes++
		if o.Outcome == OutcomeAnswered {
			rep.Acknowledged++
		}
	}
	switch o.Outcome {
	case OutcomeNotRun:
		rep.NotRun++
	case OutcomeUnknown:
		rep.Unknown++
	case OutcomeDuplicate:
		rep.Duplicates++
	}
}

// replicaReads returns how many of the answered reads with a declared class
// replicas answered, as a number and as a share. Reads through a proxy before
// its last start are not counted.
func (r *run) replicaReads() (uint64, float64) {
	var replica, primary uint64
	for _, p := range r.stack.Proxies {
		for _, class := range []string{r.mix.readClass, r.mix.scanClass} {
			replica += p.Daemon.Metrics().Answered(class, "replica")
			primary += p.Daemon.Metrics().Answered(class, "primary")
		}
	}
	if replica+primary == 0 {
		return 0, 0
	}
	return replica, float64(replica) / float64(replica+primary)
}

// failoverGap returns Report.FailoverGapMs.
func (r *run) failoverGap(operations []Operation) float64 {
	var ends []time.Time
	for _, o := range operations {
		if o.Kind != KindRead && o.Outcome == OutcomeAnswered && o.Database == r.injector.database() {
			ends = append(ends, o.End)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	longest := time.Duration(0)
	for i := 1; i < len(ends); i++ {
		if !ends[i].Before(r.injector.injectedAt) {
			longest = max(longest, ends[i].Sub(ends[i-1]))
		}
	}
	return milliseconds(longest)
}

func (r *run) tenantReports(operations []Operation) []TenantReport {
	var reports []TenantReport
	for _, t := range r.config.Deployment.Tenants {
		rep := TenantReport{Name: t.Name}
		var times []time.Duration
		for _, o := range operations {
			if o.Tenant != t.Name || !r.countsForFairness(o) {
				continue
			}
			rep.Sent++
			if o.Outcome == OutcomeAnswered {
				rep.Answered++
				times = append(times, o.End.Sub(o.Due))
			}
		}
		rep.P50Ms, rep.P99Ms = percentile(times, 0.5), percentile(times, 0.99)
		reports = append(reports, rep)
	}
	return reports
}

// countsForFairness reports whether an operation counts for fairness. If a fault
// was injected, only operations due while it lasted count.
func (r *run) countsForFairness(o Operation) bool {
	start := r.injector.injectedAt
	return start.IsZero() || o.Due.After(start) && o.Due.Before(start.Add(r.config.Duration/3))
}

// fairness returns Jain's fairness index of the tenants' answered requests,
// relative to the weighted max-min fair division of all answered requests.
func (r *run) fairness(reports []TenantReport) float64 {
	capacity, unsatisfiedDemand := 0.0, make(map[string]float64)
	for _, rep := range reports {
		capacity += float64(rep.Answered)
		if rep.Sent > 0 {
			unsatisfiedDemand[rep.Name] = float64(rep.Sent)
		}
	}
	fairShares := make(map[string]float64)
	for len(unsatisfiedDemand) > 0 {
		weights := 0.0
		for name := range unsatisfiedDemand {
			weights += r.weight(name)
		}
		satisfied := ""
		for name, demand := range unsatisfiedDemand {
			if demand <= capacity*r.weight(name)/weights {
				satisfied = name
			}
		}
		if satisfied == "" {
			for name := range unsatisfiedDemand {
				fairShares[name] = capacity * r.weight(name) / weights
			}
			break
		}
		fairShares[satisfied] = unsatisfiedDemand[satisfied]
		capacity -= unsatisfiedDemand[satisfied]
		delete(unsatisfiedDemand, satisfied)
	}
	return jainIndex(reports, fairShares)
}

func jainIndex(reports []TenantReport, fairShares map[string]float64) float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for _, rep := range reports {
		if fairShares[rep.Name] == 0 {
			continue
		}
		x := float64(rep.Answered) / fairShares[rep.Name]
		sum += x
		squares += x * x
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

func (r *run) weight(tenant string) float64 {
	for _, t := range r.config.Deployment.Tenants {
		if t.Name == tenant {
			return float64(max(t.Weight, 1))
		}
	}
	return 1
}

// percentile returns a quantile of times in milliseconds. It sorts times.
func percentile(times []time.Duration, quantile float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.SortFunc(times, cmp.Compare)
	return milliseconds(times[min(int(quantile*float64(len(times))), len(times)-1)])
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

package roseload

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Report is the outcome of a run.
type Report struct {
	Deployment string
	Faults     []string
	Seed       uint64
	Seconds    float64

	Reads            int
	ReplicaReads     uint64
	ReplicaReadShare float64
	Writes           int
	Acknowledged     int
	NotRun           int
	Unknown          int
	Duplicates       int
	Unsent           int64

	ReadP50Ms  float64
	ReadP99Ms  float64
	WriteP50Ms float64
	WriteP99Ms float64

	// FailoverGapMs is the longest time between two acknowledged writes of
	// the first database, around the fault.
	FailoverGapMs float64
	// BundleP50Seconds and BundleP99Seconds are the times from a bundle's
	// acceptance to its being in force, over proxies.
	BundleP50Seconds float64
	BundleP99Seconds float64
	// BundlesMissing counts the proxies that lacked a bundle at the end.
	BundlesMissing int
	// Reversions counts the proxies that went back to an older bundle.
	Reversions int
	// WorkAfterLeaving counts statements on a leaving target later than
	// leavingTime after it was to get no new work.
	WorkAfterLeaving int
	// Fairness is Jain's index of what tenants got of their fair shares.
	Fairness float64
	Tenants  []TenantReport

	findings
}

// TenantReport is what one tenant got.
type TenantReport struct {
	Name     string
	Sent     int
	Answered int
	P50Ms    float64
	P99Ms    float64
}

// ViolationCount returns the number of broken promises.
func (rep *Report) ViolationCount() int {
	return rep.AcknowledgedLost + rep.ReadYourWritesViolations + rep.StaleBeyondAge + rep.DoubleRuns +
		rep.MixedTransactions + rep.WrongAnswers + rep.FalseNotRun + rep.NotLinearizable +
		rep.BundlesMissing + rep.Reversions + rep.WorkAfterLeaving
}

func (r *run) report() *Report {
	operations := r.history.all()
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
			writes = append(writes, o.End.Sub(o.Due))
		}
	}
	rep.ReadP50Ms, rep.ReadP99Ms = percentile(reads, 0.5), percentile(reads, 0.99)
	rep.WriteP50Ms, rep.WriteP99Ms = percentile(writes, 0.5), percentile(writes, 0.99)
	rep.ReplicaReads, rep.ReplicaReadShare = r.replicaReads()
	rep.FailoverGapMs = r.gap(operations)
	times, missing := r.bundles.times()
	rep.BundleP50Seconds, rep.BundleP99Seconds = percentile(times, 0.5)/1000, percentile(times, 0.99)/1000
	rep.BundlesMissing, rep.Reversions = missing, r.bundles.reversions
	rep.WorkAfterLeaving = r.workAfterLeaving()
	rep.Tenants = r.tenantReports(operations)
	rep.Fairness = r.fairness(rep.Tenants)
	return rep
}

// leavingTime is how long a leaving target may still get new work.
const leavingTime = 2 * time.Second

// workAfterLeaving asks the leaving target itself what it served.
func (r *run) workAfterLeaving() int {
	for _, cluster := range r.stack.Clusters {
		if t := cluster.Target(rosemary.TargetID(r.left.id)); t != nil {
			return t.StatementsAfter(r.left.since.Add(leavingTime))
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

// replicaReads returns how many declared reads replicas answered, and their
// share, as the proxies that ran at the end counted them.
func (r *run) replicaReads() (uint64, float64) {
	var replica, primary uint64
	for _, p := range r.stack.Proxies {
		for _, class := range []string{r.mix.readClass, r.mix.listClass} {
			replica += p.Daemon.Metrics().Answered(class, "replica")
			primary += p.Daemon.Metrics().Answered(class, "primary")
		}
	}
	if replica+primary == 0 {
		return 0, 0
	}
	return replica, float64(replica) / float64(replica+primary)
}

// gap returns the longest time in which no write of the first database was
// acknowledged, from the fault on or, without one, anywhere.
func (r *run) gap(operations []Operation) float64 {
	var ends []time.Time
	for _, o := range operations {
		if o.Kind != KindRead && o.Outcome == OutcomeAnswered && o.Database == r.fault.database() {
			ends = append(ends, o.End)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	longest := time.Duration(0)
	for i := 1; i < len(ends); i++ {
		if !ends[i].Before(r.fault.struckAt) {
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
			if o.Tenant != t.Name || !r.underFlood(o) {
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

// underFlood reports whether an operation counts for fairness: with a fault,
// only those sent while it lasted do.
func (r *run) underFlood(o Operation) bool {
	struck := r.fault.struckAt
	return struck.IsZero() || o.Due.After(struck) && o.Due.Before(struck.Add(r.config.Duration/3))
}

// fairness compares what tenants got with the max-min fair division, by
// weight, of what was served in all.
func (r *run) fairness(reports []TenantReport) float64 {
	capacity, open := 0.0, make(map[string]float64)
	for _, rep := range reports {
		capacity += float64(rep.Answered)
		if rep.Sent > 0 {
			open[rep.Name] = float64(rep.Sent)
		}
	}
	fair := make(map[string]float64)
	for len(open) > 0 {
		weights := 0.0
		for name := range open {
			weights += r.weight(name)
		}
		settled := ""
		for name, demand := range open {
			if demand <= capacity*r.weight(name)/weights {
				settled = name
			}
		}
		if settled == "" {
			for name := range open {
				fair[name] = capacity * r.weight(name) / weights
			}
			break
		}
		fair[settled] = open[settled]
		capacity -= open[settled]
		delete(open, settled)
	}
	return jain(reports, fair)
}

func jain(reports []TenantReport, fair map[string]float64) float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for _, rep := range reports {
		if fair[rep.Name] == 0 {
			continue
		}
		x := float64(rep.Answered) / fair[rep.Name]
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

func percentile(times []time.Duration, share float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.SortFunc(times, cmp.Compare)
	return milliseconds(times[min(int(share*float64(len(times))), len(times)-1)])
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

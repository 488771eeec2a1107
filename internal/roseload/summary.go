package roseload

import "time"

// Summary aggregates the reports of runs with different seeds. Its field names
// are the keys of the printed JSON.
type Summary struct {
	Deployment   string
	Faults       []string
	FirstSeed    uint64
	Runs         int
	Acknowledged int
	NotRun       int
	Unknown      int
	Violations   int

	// GapP50Ms, GapP99Ms and GapMaxMs are the percentiles and the maximum of the
	// runs' FailoverGapMs.
	GapP50Ms float64
	GapP99Ms float64
	GapMaxMs float64
	// ReplicaReadShare and the latencies below are means over the runs.
	ReplicaReadShare float64
	ReadP50Ms        float64
	ReadP99Ms        float64
	WriteP50Ms       float64
	WriteP99Ms       float64
	// BundleP99Seconds is the maximum of the runs.
	BundleP99Seconds float64
	Examples         []string
}

// Summarize aggregates reports, of which there must be at least one.
func Summarize(reports []*Report) *Summary {
	s := &Summary{Deployment: reports[0].Deployment, Faults: reports[0].Faults, FirstSeed: reports[0].Seed, Runs: len(reports)}
	var gaps []time.Duration
	n := float64(len(reports))
	for _, r := range reports {
		s.Acknowledged += r.Acknowledged
		s.NotRun += r.NotRun
		s.Unknown += r.Unknown
		s.Violations += r.ViolationCount()
		s.Examples = append(s.Examples, r.Examples...)
		s.ReplicaReadShare += r.ReplicaReadShare / n
		s.ReadP50Ms += r.ReadP50Ms / n
		s.ReadP99Ms += r.ReadP99Ms / n
		s.WriteP50Ms += r.WriteP50Ms / n
		s.WriteP99Ms += r.WriteP99Ms / n
		s.BundleP99Seconds = max(s.BundleP99Seconds, r.BundleP99Seconds)
		gaps = append(gaps, time.Duration(r.FailoverGapMs*float64(time.Millisecond)))
	}
	s.GapP50Ms, s.GapP99Ms, s.GapMaxMs = percentile(gaps, 0.5), percentile(gaps, 0.99), percentile(gaps, 1)
	return s
}

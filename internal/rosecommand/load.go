package rosecommand

import (
	"context"
	"flag"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/internal/rosedaemon"
	"github.com/rosemarywell/rosemarywell/internal/roseload"
	"github.com/rosemarywell/rosemarywell/internal/rosestack"
)

func init() {
	register(command{"load", "run a deployment under load and faults, and check its history", runLoad})
}

func runLoad(ctx context.Context, environment IOStreams, args []string) error {
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	name := flags.String("deployment", "costa-rica", "costa-rica or guatemala")
	span := flags.Duration("for", 20*time.Second, "time during which requests arrive")
	seed := flags.Uint64("seed", 1, "seed of arrivals, sessions and faults")
	rate := flags.Float64("rate", 0, "requests a second; 0 takes the default")
	faults := flags.String("fault", "none", "faults joined by +: "+strings.Join(roseload.FaultNames(), ", "))
	baseline := flags.String("baseline", "", "policy to compare with: primary-reads, fifo, even-split or acknowledge-on-primary")
	runs := flags.Int("runs", 1, "runs with this seed and the next ones; above 1, prints a summary of all")
	format := flags.String("report", "json", "format of the report: json")
	if err := parse(flags, environment, args); err != nil {
		return err
	}
	deployment, err := rosestack.FindDeployment(*name)
	if err != nil {
		return usageError{err}
	}
	policy, err := findBaseline(*baseline)
	if err != nil {
		return usageError{err}
	}
	if *format != "json" {
		return usageError{trace.BadParameter("no report format %q; use json", *format)}
	}
	config := roseload.Config{
		Deployment: deployment,
		Duration:   *span,
		Seed:       *seed,
		Rate:       *rate,
		Faults:     roseload.SplitFaults(*faults),
		Baseline:   policy,
		Progress:   environment.Err,
	}
	if *runs > 1 {
		return runSeeds(ctx, environment, config, *runs)
	}
	report, err := roseload.Run(ctx, config)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := printJSON(environment, report); err != nil {
		return err
	}
	return brokenPromises(report.ViolationCount())
}

func brokenPromises(violations int) error {
	if violations > 0 {
		return trace.CompareFailed("the history breaks %d promises", violations)
	}
	return nil
}

// runSeeds runs one seed after the other and prints a summary.
func runSeeds(ctx context.Context, environment IOStreams, config roseload.Config, runs int) error {
	var reports []*roseload.Report
	for range runs {
		report, err := roseload.Run(ctx, config)
		if err != nil {
			return trace.Wrap(err)
		}
		reports = append(reports, report)
		config.Seed++
	}
	summary := roseload.Summarize(reports)
	if err := printJSON(environment, summary); err != nil {
		return err
	}
	return brokenPromises(summary.Violations)
}

func findBaseline(name string) (rosedaemon.Baseline, error) {
	switch name {
	case "":
		return rosedaemon.Baseline{}, nil
	case "primary-reads":
		return rosedaemon.Baseline{PrimaryReads: true}, nil
	case "fifo":
		return rosedaemon.Baseline{FirstInFirstOut: true}, nil
	case "even-split":
		return rosedaemon.Baseline{EvenSplit: true}, nil
	case "acknowledge-on-primary":
		return rosedaemon.Baseline{AcknowledgeOnPrimary: true}, nil
	}
	return rosedaemon.Baseline{}, trace.BadParameter("no baseline %q; use primary-reads, fifo, even-split or acknowledge-on-primary", name)
}

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
	register(command{"load", "run a deployment under load and faults, and check the recorded history", runLoad})
}

func runLoad(ctx context.Context, streams IOStreams, args []string) error {
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	name := flags.String("deployment", "costa-rica", "deployment to run: costa-rica or guatemala")
	duration := flags.Duration("for", 20*time.Second, "time during which requests arrive")
	seed := flags.Uint64("seed", 1, "random seed of arrivals, sessions and faults")
	rate := flags.Float64("rate", 0, "requests per second; 0 means the default")
	faults := flags.String("fault", "none", "faults, separated by +: "+strings.Join(roseload.FaultNames(), ", "))
	baseline := flags.String("baseline", "", "alternative policy to run for comparison: primary-reads, fifo, even-split or acknowledge-on-primary")
	runs := flags.Int("runs", 1, "number of runs, with consecutive seeds; if above 1, a summary replaces the report")
	format := flags.String("report", "json", "format of the report: json")
	if err := parseFlags(flags, streams, args); err != nil {
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
		return usageError{trace.BadParameter("unknown report format %q; use json", *format)}
	}
	config := roseload.Config{
		Deployment: deployment,
		Duration:   *duration,
		Seed:       *seed,
		Rate:       *rate,
		Faults:     roseload.SplitFaults(*faults),
		Baseline:   policy,
		Progress:   streams.Err,
	}
	if *runs > 1 {
		return runSeeds(ctx, streams, config, *runs)
	}
	report, err := roseload.Run(ctx, config)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := printJSON(streams, report); err != nil {
		return err
	}
	return violationsError(report.ViolationCount())
}

func violationsError(violations int) error {
	if violations > 0 {
		return trace.CompareFailed("the recorded history violates the guarantees %d times", violations)
	}
	return nil
}

// runSeeds runs consecutive seeds one after the other and prints a summary.
func runSeeds(ctx context.Context, streams IOStreams, config roseload.Config, runs int) error {
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
	if err := printJSON(streams, summary); err != nil {
		return err
	}
	return violationsError(summary.Violations)
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
	return rosedaemon.Baseline{}, trace.BadParameter("unknown baseline %q; use primary-reads, fifo, even-split or acknowledge-on-primary", name)
}

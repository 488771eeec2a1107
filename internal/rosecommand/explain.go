package rosecommand

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/internal/roseexplain"
)

func init() {
	register(command{"explain", "print the timeline of one request, or a summary of all, from the logs of several proxies", runExplain})
}

// defaultLookBack is the default of -before. It covers a failover, which takes
// about as long.
const defaultLookBack = 3 * time.Second

func runExplain(_ context.Context, streams IOStreams, args []string) error {
	flags := flag.NewFlagSet("explain", flag.ContinueOnError)
	lookBack := flags.Duration("before", defaultLookBack, "time before the request in which state changes of the proxies are shown")
	summary := flags.Bool("summary", false, "count refused and late requests by cause, second, zone, class and team instead")
	if err := parseFlags(flags, streams, args); err != nil {
		return err
	}
	if *summary && flags.NArg() > 0 {
		return summarize(streams, flags.Args())
	}
	if flags.NArg() < 2 {
		return usageError{trace.BadParameter("usage: rosemary explain [-before DURATION] ID FILE..., or rosemary explain -summary FILE..., with a request's ID and the log files of the proxies")}
	}
	var logs []roseexplain.Log
	for _, path := range flags.Args()[1:] {
		log, err := readLog(path)
		if err != nil {
			return err
		}
		logs = append(logs, log)
	}
	timeline, err := roseexplain.BuildTimeline(logs, flags.Arg(0), *lookBack)
	if err != nil {
		return err
	}
	return timeline.WriteText(streams.Out)
}

func readLog(path string) (roseexplain.Log, error) {
	file, err := os.Open(path)
	if err != nil {
		return roseexplain.Log{}, trace.ConvertSystemError(err)
	}
	defer file.Close()
	return roseexplain.Read(filepath.Base(path), file)
}

// summarize prints a summary of the logs, which it reads as streams.
func summarize(streams IOStreams, paths []string) error {
	summary := roseexplain.NewSummary()
	for _, path := range paths {
		if err := addToSummary(summary, path); err != nil {
			return err
		}
	}
	return summary.WriteText(streams.Out)
}

func addToSummary(summary *roseexplain.Summary, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	return summary.Add(filepath.Base(path), file)
}

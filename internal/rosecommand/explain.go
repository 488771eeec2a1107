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
	register(command{"explain", "print the timeline of one request from the logs of several proxies", runExplain})
}

// defaultLookBack is the default of -before. It covers a failover, which takes
// about as long.
const defaultLookBack = 3 * time.Second

func runExplain(_ context.Context, streams IOStreams, args []string) error {
	flags := flag.NewFlagSet("explain", flag.ContinueOnError)
	lookBack := flags.Duration("before", defaultLookBack, "time before the request in which state changes of the proxies are shown")
	if err := parseFlags(flags, streams, args); err != nil {
		return err
	}
	if flags.NArg() < 2 {
		return usageError{trace.BadParameter("usage: rosemary explain [-before DURATION] ID FILE..., with a request's ID and the log files of the proxies")}
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

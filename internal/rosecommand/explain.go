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
	register(command{"explain", "the story of one request, from the logs of several proxies", runExplain})
}

// beliefTime is how long before a request changes of belief are shown: a
// replacement of a primary takes about as long.
const beliefTime = 3 * time.Second

func runExplain(_ context.Context, environment IOStreams, args []string) error {
	flags := flag.NewFlagSet("explain", flag.ContinueOnError)
	before := flags.Duration("before", beliefTime, "show what proxies came to believe in this time before the request")
	if err := parse(flags, environment, args); err != nil {
		return err
	}
	if flags.NArg() < 2 {
		return usageError{trace.BadParameter("give a request's id and the log files of the proxies: rosemary explain ID FILE...")}
	}
	var logs []roseexplain.Log
	for _, path := range flags.Args()[1:] {
		log, err := readLog(path)
		if err != nil {
			return err
		}
		logs = append(logs, log)
	}
	story, err := roseexplain.BuildTimeline(logs, flags.Arg(0), *before)
	if err != nil {
		return err
	}
	return story.WriteText(environment.Out)
}

func readLog(path string) (roseexplain.Log, error) {
	file, err := os.Open(path)
	if err != nil {
		return roseexplain.Log{}, trace.ConvertSystemError(err)
	}
	defer file.Close()
	return roseexplain.Read(filepath.Base(path), file)
}

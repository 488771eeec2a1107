package rosecommand

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/internal/rosesoak"
)

func init() {
	register(command{"soak", "run proxies as processes under faults and check their guarantees", runSoak})
}

func runSoak(ctx context.Context, streams IOStreams, args []string) error {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "first random seed")
	runs := flags.Int("runs", 1, "number of runs, with consecutive seeds")
	duration := flags.Duration("for", 20*time.Second, "time during which faults are injected, per run")
	proxies := flags.Int("proxies", 2, "number of proxies in each of three zones")
	clients := flags.Int("callers", 12, "number of concurrent clients")
	program := flags.String("program", "", "path of rosemaryd; by default in the directory of this program")
	verbose := flags.Bool("v", false, "print each fault and violation as it occurs")
	if err := parseFlags(flags, streams, args); err != nil {
		return err
	}
	if *program == "" {
		executable, err := os.Executable()
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		*program = filepath.Join(filepath.Dir(executable), "rosemaryd")
	}
	violations := 0
	for n := range *runs {
		config := rosesoak.Config{Program: *program, Seed: *seed + uint64(n), Duration: *duration, ProxiesPerZone: *proxies, Clients: *clients}
		if *verbose {
			config.Out = streams.Out
		}
		found, err := runSoakSeed(ctx, streams, config)
		if err != nil {
			return err
		}
		violations += found
	}
	if violations > 0 {
		return trace.CompareFailed("the guarantees were violated %d times", violations)
	}
	return nil
}

// runSoakSeed runs one seed and returns the number of violations. It deletes the
// settings and logs of a run without violations.
func runSoakSeed(ctx context.Context, streams IOStreams, config rosesoak.Config) (int, error) {
	directory, err := rosesoak.NewDirectory(config.Seed)
	if err != nil {
		return 0, err
	}
	config.Directory = directory
	report, err := rosesoak.Run(ctx, config)
	if err != nil {
		return 0, err
	}
	fmt.Fprintf(streams.Out, "seed=%d faults=%d outcomes=%v broken=%d\n", config.Seed, report.Faults, report.Outcomes, len(report.Violations))
	if len(report.Violations) == 0 {
		return 0, trace.ConvertSystemError(os.RemoveAll(directory))
	}
	for _, v := range report.Violations {
		fmt.Fprintln(streams.Out, v)
	}
	fmt.Fprintf(streams.Out, "logs=%s\n", directory)
	return len(report.Violations), nil
}

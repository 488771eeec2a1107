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
	register(command{"soak", "real proxies as processes under faults, with their promises checked", runSoak})
}

func runSoak(ctx context.Context, environment IOStreams, args []string) error {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "the first seed")
	runs := flags.Int("runs", 1, "the number of seeds")
	span := flags.Duration("for", 20*time.Second, "how long each seed's faults last")
	proxies := flags.Int("proxies", 2, "proxies in each of three zones")
	callers := flags.Int("callers", 12, "callers")
	program := flags.String("program", "", "path of rosemaryd; by default beside this program")
	verbose := flags.Bool("v", false, "tell each fault")
	if err := parse(flags, environment, args); err != nil {
		return err
	}
	if *program == "" {
		own, err := os.Executable()
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		*program = filepath.Join(filepath.Dir(own), "rosemaryd")
	}
	broken := 0
	for n := range *runs {
		config := rosesoak.Config{Program: *program, Seed: *seed + uint64(n), Duration: *span, ProxiesPerZone: *proxies, Callers: *callers}
		if *verbose {
			config.Out = environment.Out
		}
		violations, err := soakOnce(ctx, environment, config)
		if err != nil {
			return err
		}
		broken += violations
	}
	if broken > 0 {
		return trace.CompareFailed("%d promises were broken", broken)
	}
	return nil
}

// soakOnce plays one seed. Settings and logs stay if a promise was broken.
func soakOnce(ctx context.Context, environment IOStreams, config rosesoak.Config) (int, error) {
	directory, err := rosesoak.NewDirectory(config.Seed)
	if err != nil {
		return 0, err
	}
	config.Directory = directory
	report, err := rosesoak.Run(ctx, config)
	if err != nil {
		return 0, err
	}
	fmt.Fprintf(environment.Out, "seed=%d faults=%d outcomes=%v broken=%d\n", config.Seed, report.Faults, report.Outcomes, len(report.Violations))
	if len(report.Violations) == 0 {
		return 0, trace.ConvertSystemError(os.RemoveAll(directory))
	}
	for _, v := range report.Violations {
		fmt.Fprintln(environment.Out, v)
	}
	fmt.Fprintf(environment.Out, "logs=%s\n", directory)
	return len(report.Violations), nil
}

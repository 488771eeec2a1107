// Command rosemary is the operators' tool. It manages bundles and proxies,
// generates keys and password verifiers, explains requests from logs, and runs
// the demo, the load tests and the soak test.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rosemarywell/rosemarywell/internal/rosecommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	streams := rosecommand.IOStreams{Out: os.Stdout, Err: os.Stderr}
	os.Exit(rosecommand.Run(ctx, streams, os.Args[1:]))
}

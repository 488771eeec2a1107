// Command rosemary is the operators' program: it runs the demo and the load
// tool, and drives bundles and proxies.
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
	environment := rosecommand.IOStreams{Out: os.Stdout, Err: os.Stderr}
	os.Exit(rosecommand.Run(ctx, environment, os.Args[1:]))
}

// Command rosemaryd is the proxy daemon. One runs on each VM that clients connect
// to.
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
	os.Exit(rosecommand.RunDaemon(ctx, streams, os.Args[1:]))
}

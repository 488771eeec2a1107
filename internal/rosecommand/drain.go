package rosecommand

import (
	"context"
	"flag"
	"fmt"
	"net/http"
)

func init() {
	register(command{"drain", "shut one proxy down gracefully", runDrain})
}

func runDrain(ctx context.Context, streams IOStreams, args []string) error {
	flags := flag.NewFlagSet("drain", flag.ContinueOnError)
	admin := adminFlag(flags)
	if err := parseFlags(flags, streams, args); err != nil {
		return err
	}
	if _, err := adminRequest(ctx, http.MethodPost, *admin, "/drain", adminTimeout); err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "draining proxy=%s\n", *admin)
	return nil
}

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

func runDrain(ctx context.Context, environment IOStreams, args []string) error {
	flags := flag.NewFlagSet("drain", flag.ContinueOnError)
	admin := adminFlag(flags)
	if err := parse(flags, environment, args); err != nil {
		return err
	}
	if _, err := request(ctx, http.MethodPost, *admin, "/drain", adminTimeout); err != nil {
		return err
	}
	fmt.Fprintf(environment.Out, "draining proxy=%s\n", *admin)
	return nil
}

package rosecommand

import (
	"context"
	"flag"
	"net/http"
	"net/url"
	"strings"

	"github.com/gravitational/trace"
)

func init() {
	register(command{"primary", "move a database's primary to another target", runPrimary})
}

func runPrimary(ctx context.Context, environment IOStreams, args []string) error {
	flags := flag.NewFlagSet("primary move", flag.ContinueOnError)
	admin := adminFlag(flags)
	database := flags.String("database", "", "database whose primary moves")
	target := flags.String("target", "", "target to move to; empty takes the best")
	if len(args) == 0 || args[0] != "move" {
		return usageError{trace.BadParameter("usage: rosemary primary move -database NAME [-target ID]")}
	}
	if err := parse(flags, environment, args[1:]); err != nil {
		return err
	}
	path := "/primary/move?database=" + url.QueryEscape(*database) + "&target=" + url.QueryEscape(*target)
	body, err := request(ctx, http.MethodPost, strings.Split(*admin, ",")[0], path, moveTimeout)
	if err != nil {
		return err
	}
	_, err = environment.Out.Write(body)
	return trace.Wrap(err)
}

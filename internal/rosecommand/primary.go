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

func runPrimary(ctx context.Context, streams IOStreams, args []string) error {
	flags := flag.NewFlagSet("primary move", flag.ContinueOnError)
	admin := adminFlag(flags)
	database := flags.String("database", "", "database whose primary is moved")
	target := flags.String("target", "", "target to promote; if empty, the most suitable one")
	if len(args) == 0 || args[0] != "move" {
		return usageError{trace.BadParameter("usage: rosemary primary move -database NAME [-target ID]")}
	}
	if err := parseFlags(flags, streams, args[1:]); err != nil {
		return err
	}
	path := "/primary/move?database=" + url.QueryEscape(*database) + "&target=" + url.QueryEscape(*target)
	body, err := adminRequest(ctx, http.MethodPost, strings.Split(*admin, ",")[0], path, moveTimeout)
	if err != nil {
		return err
	}
	_, err = streams.Out.Write(body)
	return trace.Wrap(err)
}

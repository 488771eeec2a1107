package rosecommand

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/internal/rosedaemon"
)

func init() {
	register(command{"status", "show the state of every proxy, its groups and its peers", runStatus})
}

func runStatus(ctx context.Context, streams IOStreams, args []string) error {
	flags := flag.NewFlagSet("status", flag.ContinueOnError)
	admin := adminFlag(flags)
	asJSON := flags.Bool("json", false, "print the status as JSON")
	if err := parseFlags(flags, streams, args); err != nil {
		return err
	}
	replies := fetchStates(ctx, *admin)
	if *asJSON {
		return printJSON(streams, replies)
	}
	table := tabwriter.NewWriter(streams.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PROXY\tZONE\tREADY\tCALLERS\tBUNDLE\tDATABASE\tTERM\tPRIMARY\tCONFIRMED\tTARGETS")
	for _, r := range replies {
		if r.State == nil {
			fmt.Fprintf(table, "%s\t-\tfalse\t-\t-\t%s\n", r.Address, r.Error)
			continue
		}
		for _, g := range r.State.Groups {
			fmt.Fprintf(table, "%s\t%s\t%t\t%d\t%d\t%s\t%d\t%s\t%s\t%s\n", r.State.Name, r.State.Zone, r.State.Ready,
				r.State.Callers, r.State.Bundle.Version, g.Database, g.Term, g.Primary, g.Confirmed, formatTargets(g))
		}
	}
	return trace.Wrap(table.Flush())
}

func formatTargets(g rosedaemon.GroupState) string {
	var parts []string
	for _, t := range g.Targets {
		state := string(t.Role)
		switch {
		case !t.Reachable:
			state = "unreachable"
		case t.Leaving:
			state += ",leaving"
		}
		parts = append(parts, fmt.Sprintf("%s=%s@%s", t.ID, state, t.Position))
	}
	return strings.Join(parts, " ")
}

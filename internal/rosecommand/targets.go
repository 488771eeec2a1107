package rosecommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
)

// targetsPath is the path of a proxy's targets at its admin address.
const targetsPath = "/targets"

func init() {
	register(command{"targets", "show whether proxies on the platform use their targets, and why not", runTargets})
}

// targetsReply is what one proxy tells of its targets.
type targetsReply = adminReply[[]rosefleet.TargetUse]

func runTargets(ctx context.Context, streams IOStreams, args []string) error {
	flags := flag.NewFlagSet("targets", flag.ContinueOnError)
	admin := adminFlag(flags)
	asJSON := flags.Bool("json", false, "print the targets as JSON")
	if err := parseFlags(flags, streams, args); err != nil {
		return err
	}
	replies := fetchAll[[]rosefleet.TargetUse](ctx, *admin, targetsPath)
	if *asJSON {
		return printJSON(streams, replies)
	}
	return writeTargets(streams.Out, replies)
}

func writeTargets(out io.Writer, replies []targetsReply) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PROXY\tGROUP\tTARGET\tROLE\tZONE\tUSED\tLAG\tAGE\tTELLS\tAPPLIED\tRECEIVED")
	for _, r := range replies {
		if r.Error != "" {
			fmt.Fprintf(table, "%s\t%s\n", r.Address, r.Error)
			continue
		}
		for _, t := range *r.State {
			used := "yes"
			if t.Unused != "" {
				used = "no, " + string(t.Unused)
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%v\t%v\t%v\t%s\t%s\n", r.Address, t.Group, t.Target, t.Role, t.Zone, used,
				t.Lag.Round(time.Millisecond), t.LagAge.Round(time.Millisecond), t.ReportedLag.Round(time.Millisecond), t.Applied, t.Received)
		}
	}
	return trace.Wrap(table.Flush())
}

package rosecommand

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/internal/rosenode"
)

// teamsPath is the path of a proxy's teams at its admin address.
const teamsPath = "/teams"

func init() {
	register(command{"teams", "show the teams that each proxy on the platform serves", runTeams})
}

// teamsReply is the teams of one proxy.
type teamsReply = adminReply[rosenode.TeamsState]

func runTeams(ctx context.Context, streams IOStreams, args []string) error {
	flags := flag.NewFlagSet("teams", flag.ContinueOnError)
	admin := adminFlag(flags)
	asJSON := flags.Bool("json", false, "print the teams as JSON")
	if err := parseFlags(flags, streams, args); err != nil {
		return err
	}
	replies := fetchAll[rosenode.TeamsState](ctx, *admin, teamsPath)
	if *asJSON {
		return printJSON(streams, replies)
	}
	return trace.Wrap(printTeams(streams.Out, replies))
}

// noValue stands for a value that a proxy doesn't have.
const noValue = "-"

func printTeams(out io.Writer, replies []teamsReply) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PROXY\tVERSION\tAGE\tTEAM\tPRIORITY\tCAP\tKEYS\tSESSIONS\tUSAGE\tCONNECTIONS")
	for _, r := range replies {
		if r.State == nil {
			fmt.Fprintf(table, "%s\t-\t-\t%s\n", r.Address, r.Error)
			continue
		}
		proxy := fmt.Sprintf("%s\t%d\t%s", r.State.Proxy, r.State.Version, formatAge(*r.State))
		if len(r.State.Teams) == 0 {
			fmt.Fprintf(table, "%s\t-\n", proxy)
		}
		for _, t := range r.State.Teams {
			fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%d\t%s\t%s\n", proxy, t.Name, t.Priority, formatCap(t),
				cmp.Or(strings.Join(t.Keys, ","), noValue), t.Sessions, formatUsage(t.Usage), formatCount(t.Connections))
		}
	}
	return table.Flush()
}

// formatAge returns the age of the news of the configuration, with a mark if it is too old.
func formatAge(state rosenode.TeamsState) string {
	age := "unknown"
	if state.VersionAgeMs != nil {
		age = (time.Duration(*state.VersionAgeMs) * time.Millisecond).String()
	}
	if state.Outdated {
		age += " (outdated)"
	}
	return age
}

// formatCap returns a team's usage cap, as operations a second and the burst beyond.
func formatCap(t rosenode.TeamState) string {
	if t.Rate == nil || t.Burst == nil {
		return noValue
	}
	return formatNumber(*t.Rate) + "/s+" + formatNumber(*t.Burst)
}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }

func formatUsage(usage *rosenode.TeamUsage) string {
	if usage == nil {
		return noValue
	}
	return fmt.Sprintf("%d tokens, %d waiting, %d refused", usage.Tokens, usage.Waiting, usage.Refused)
}

func formatCount(count *int) string {
	if count == nil {
		return noValue
	}
	return strconv.Itoa(*count)
}

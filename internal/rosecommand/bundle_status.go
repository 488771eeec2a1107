package rosecommand

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

func runBundleStatus(ctx context.Context, streams IOStreams, args []string) error {
	flags := flag.NewFlagSet("bundle status", flag.ContinueOnError)
	admin := adminFlag(flags)
	asJSON := flags.Bool("json", false, "print the status as JSON")
	if err := parseFlags(flags, streams, args); err != nil {
		return err
	}
	replies := fetchStates(ctx, *admin)
	newestVersion := uint64(0)
	for _, a := range replies {
		if a.State != nil {
			newestVersion = max(newestVersion, a.State.Bundle.Version)
		}
	}
	rows := make([]bundleRow, 0, len(replies))
	for _, a := range replies {
		rows = append(rows, newBundleRow(a, newestVersion))
	}
	if *asJSON {
		return printJSON(streams, rows)
	}
	table := tabwriter.NewWriter(streams.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PROXY\tZONE\tVERSION\tSINCE\tBEHIND\tNOTE")
	for _, r := range rows {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\t%s\n", r.Proxy, r.Zone, r.Version, r.Since.Format(time.RFC3339), r.Behind, r.Note)
	}
	return trace.Wrap(table.Flush())
}

// bundleRow is the bundle status of one proxy.
type bundleRow struct {
	Proxy   string
	Zone    string
	Version uint64
	Since   time.Time
	// Behind is the number of versions that the proxy is behind the newest one.
	Behind uint64
	Note   string `json:",omitempty"`
}

func newBundleRow(a stateReply, newestVersion uint64) bundleRow {
	if a.State == nil {
		return bundleRow{Proxy: a.Address, Behind: newestVersion, Note: a.Error}
	}
	b := a.State.Bundle
	return bundleRow{string(a.State.Name), string(a.State.Zone), b.Version, b.Since, newestVersion - b.Version, b.LastError}
}

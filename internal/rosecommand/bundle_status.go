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
	for _, r := range replies {
		if r.State != nil {
			newestVersion = max(newestVersion, r.State.Bundle.Version)
		}
	}
	rows := make([]bundleRow, 0, len(replies))
	for _, r := range replies {
		rows = append(rows, newBundleRow(r, newestVersion))
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
	// Behind is the number of versions that the proxy is behind the newest one of
	// all proxies that replied.
	Behind uint64
	// Note is why the proxy's state is missing, or why it refused a bundle.
	Note string `json:",omitempty"`
}

func newBundleRow(r stateReply, newestVersion uint64) bundleRow {
	if r.State == nil {
		return bundleRow{Proxy: r.Address, Behind: newestVersion, Note: r.Error}
	}
	b := r.State.Bundle
	return bundleRow{string(r.State.Name), string(r.State.Zone), b.Version, b.Since, newestVersion - b.Version, b.LastError}
}

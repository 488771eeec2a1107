package rosecommand

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

func runBundleStatus(ctx context.Context, environment IOStreams, args []string) error {
	flags := flag.NewFlagSet("bundle status", flag.ContinueOnError)
	admin := adminFlag(flags)
	asJSON := flags.Bool("json", false, "print JSON")
	if err := parse(flags, environment, args); err != nil {
		return err
	}
	answers := askAll(ctx, *admin)
	newest := uint64(0)
	for _, a := range answers {
		if a.State != nil {
			newest = max(newest, a.State.Bundle.Version)
		}
	}
	rows := make([]bundleRow, 0, len(answers))
	for _, a := range answers {
		rows = append(rows, newBundleRow(a, newest))
	}
	if *asJSON {
		return printJSON(environment, rows)
	}
	table := tabwriter.NewWriter(environment.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PROXY\tZONE\tVERSION\tSINCE\tBEHIND\tNOTE")
	for _, r := range rows {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\t%s\n", r.Proxy, r.Zone, r.Version, r.Since.Format(time.RFC3339), r.Behind, r.Note)
	}
	return trace.Wrap(table.Flush())
}

// bundleRow is one proxy in the status of a bundle.
type bundleRow struct {
	Proxy   string
	Zone    string
	Version uint64
	Since   time.Time
	// Behind is the number of versions that the proxy lacks.
	Behind uint64
	Note   string `json:",omitempty"`
}

func newBundleRow(a proxyAnswer, newest uint64) bundleRow {
	if a.State == nil {
		return bundleRow{Proxy: a.Address, Behind: newest, Note: a.Error}
	}
	b := a.State.Bundle
	return bundleRow{string(a.State.Name), string(a.State.Zone), b.Version, b.Since, newest - b.Version, b.LastError}
}

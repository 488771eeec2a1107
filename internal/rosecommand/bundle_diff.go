package rosecommand

import (
	"context"
	"flag"
	"fmt"
	"slices"

	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
)

func runBundleDiff(ctx context.Context, streams IOStreams, args []string) error {
	flags := flag.NewFlagSet("bundle diff", flag.ContinueOnError)
	openStore := storeFlags(flags)
	if err := parseFlags(flags, streams, args); err != nil {
		return err
	}
	proposed, err := readContent(flags.Args())
	if err != nil {
		return err
	}
	store, err := openStore()
	if err != nil {
		return err
	}
	_, current, err := currentContent(ctx, store)
	if err != nil {
		return err
	}
	for _, line := range diffLines(current, proposed) {
		fmt.Fprintln(streams.Out, line)
	}
	return nil
}

// diffLines returns the contentLines that only current has, marked with -, and
// those that only proposed has, marked with +.
func diffLines(current, proposed *rosebundle.Content) []string {
	currentLines, proposedLines := contentLines(current), contentLines(proposed)
	var lines []string
	for _, l := range currentLines {
		if !slices.Contains(proposedLines, l) {
			lines = append(lines, "- "+l)
		}
	}
	for _, l := range proposedLines {
		if !slices.Contains(currentLines, l) {
			lines = append(lines, "+ "+l)
		}
	}
	return lines
}

// contentLines describes a bundle, with one line for each database, target,
// class, tenant and operator.
func contentLines(content *rosebundle.Content) []string {
	var lines []string
	for _, d := range content.Databases {
		lines = append(lines, fmt.Sprintf("database %s: Slots=%d Connections=%d", d.Name, d.Slots, d.Connections))
		for _, t := range d.Targets {
			lines = append(lines, fmt.Sprintf("database %s: target %s Address=%s Zone=%s Leaving=%t", d.Name, t.ID, t.Address, t.Zone, t.Leaving))
		}
	}
	for _, c := range content.Classes {
		lines = append(lines, fmt.Sprintf("class %+v", c))
	}
	for _, t := range content.Tenants {
		lines = append(lines, fmt.Sprintf("tenant %+v", t))
	}
	for _, o := range content.Operators {
		lines = append(lines, fmt.Sprintf("operator %s %s", o.Name, o.PublicKey))
	}
	return append(lines, fmt.Sprintf("signatures %d", content.Signatures))
}

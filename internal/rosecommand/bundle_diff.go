package rosecommand

import (
	"context"
	"flag"
	"fmt"
	"slices"

	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
)

func runBundleDiff(ctx context.Context, environment IOStreams, args []string) error {
	flags := flag.NewFlagSet("bundle diff", flag.ContinueOnError)
	open := storeFlags(flags)
	if err := parse(flags, environment, args); err != nil {
		return err
	}
	next, err := readSources(flags.Args())
	if err != nil {
		return err
	}
	store, err := open()
	if err != nil {
		return err
	}
	_, now, err := acceptedContent(ctx, store)
	if err != nil {
		return err
	}
	for _, line := range diffLines(now, next) {
		fmt.Fprintln(environment.Out, line)
	}
	return nil
}

// diffLines lists the lines that only one of two bundles has.
func diffLines(now, next *rosebundle.Content) []string {
	before, after := tomlLines(now), tomlLines(next)
	var lines []string
	for _, l := range before {
		if !slices.Contains(after, l) {
			lines = append(lines, "- "+l)
		}
	}
	for _, l := range after {
		if !slices.Contains(before, l) {
			lines = append(lines, "+ "+l)
		}
	}
	return lines
}

// tomlLines returns the values of a bundle, each with the place it is at.
func tomlLines(content *rosebundle.Content) []string {
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

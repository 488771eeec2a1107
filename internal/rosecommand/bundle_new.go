package rosecommand

import (
	"context"
	"flag"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
)

func runBundleNew(ctx context.Context, environment IOStreams, args []string) error {
	flags := flag.NewFlagSet("bundle new", flag.ContinueOnError)
	open := storeFlags(flags)
	out := flags.String("out", "proposal.json", "file for the proposal")
	first := flags.Bool("first", false, "make the first bundle of a new installation")
	if err := parse(flags, environment, args); err != nil {
		return err
	}
	content, err := readSources(flags.Args())
	if err != nil {
		return err
	}
	parent := rosebundle.Manifest{}
	if !*first {
		store, err := open()
		if err != nil {
			return err
		}
		if parent, err = accepted(ctx, store); err != nil {
			return err
		}
		if parent.Version == 0 {
			return trace.BadParameter("there is no bundle yet: make the first with -first")
		}
		now, err := rosebundle.ReadContent(ctx, store, parent)
		if err != nil {
			return err
		}
		if faults := rosebundle.CheckChange(now, content); len(faults) > 0 {
			return usageError{&rosebundle.ValidationError{Faults: faults}}
		}
	}
	manifest, parts := rosebundle.Build(content, parent)
	if err := writeProposal(*out, rosebundle.Proposal{Manifest: manifest, Parts: parts}); err != nil {
		return err
	}
	fmt.Fprintf(environment.Out, "version=%d digest=%s proposal=%s\n", manifest.Version, manifest.Digest(), *out)
	return nil
}

package rosecommand

import (
	"context"
	"flag"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
)

func runBundleNew(ctx context.Context, streams IOStreams, args []string) error {
	flags := flag.NewFlagSet("bundle new", flag.ContinueOnError)
	openStore := storeFlags(flags)
	out := flags.String("out", "proposal.json", "file to write the proposal to")
	first := flags.Bool("first", false, "create the first bundle of a new installation")
	if err := parseFlags(flags, streams, args); err != nil {
		return err
	}
	content, err := readContent(flags.Args())
	if err != nil {
		return err
	}
	parent := rosebundle.Manifest{}
	if !*first {
		store, err := openStore()
		if err != nil {
			return err
		}
		if parent, err = currentManifest(ctx, store); err != nil {
			return err
		}
		if parent.Version == 0 {
			return trace.BadParameter("the store holds no bundle; create the first one with -first")
		}
		current, err := rosebundle.ReadContent(ctx, store, parent)
		if err != nil {
			return err
		}
		if faults := rosebundle.CheckChange(current, content); len(faults) > 0 {
			return usageError{&rosebundle.ValidationError{Faults: faults}}
		}
	}
	manifest, parts := rosebundle.Build(content, parent)
	if err := writeProposal(*out, rosebundle.Proposal{Manifest: manifest, Parts: parts}); err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "version=%d digest=%s proposal=%s\n", manifest.Version, manifest.Digest(), *out)
	return nil
}

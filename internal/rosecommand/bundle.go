package rosecommand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosestore"
)

func init() {
	register(command{"bundle", "create, sign, propose and inspect configuration bundles", runBundle})
}

// bundleCommands are the subcommands of bundle.
var bundleCommands = map[string]func(context.Context, IOStreams, []string) error{
	"key":     runBundleKey,
	"new":     runBundleNew,
	"check":   runBundleCheck,
	"sign":    runBundleSign,
	"propose": runBundlePropose,
	"show":    runBundleShow,
	"diff":    runBundleDiff,
	"status":  runBundleStatus,
}

func runBundle(ctx context.Context, streams IOStreams, args []string) error {
	if len(args) > 0 {
		if run := bundleCommands[args[0]]; run != nil {
			return run(ctx, streams, args[1:])
		}
	}
	return usageError{trace.BadParameter("usage: rosemary bundle key|new|check|sign|propose|show|diff|status")}
}

// storeFlags adds the flags for the platform's store. The returned function
// creates a client of the store; the flags must have been parsed.
func storeFlags(flags *flag.FlagSet) func() (rosemary.Store, error) {
	address := flags.String("store", "", "address (host:port) of the platform's key-value store")
	prefix := flags.String("prefix", "", "prefix of the store's keys, as in the proxies' settings")
	return func() (rosemary.Store, error) {
		if *address == "" {
			return nil, usageError{trace.BadParameter("-store is missing; give the address (host:port) of the platform's key-value store")}
		}
		return rosestore.NewClient(rosestore.Config{Address: *address, Prefix: *prefix, Dialer: tcpDialer{}}), nil
	}
}

// readContent reads TOML files as one bundle and validates it.
func readContent(paths []string) (*rosebundle.Content, error) {
	if len(paths) == 0 {
		return nil, usageError{trace.BadParameter("no files given; give the TOML files of the bundle")}
	}
	var texts []string
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		// Decoded alone, so that the error names the file.
		if _, err := toml.Decode(string(text), &rosebundle.Content{}); err != nil {
			return nil, usageError{trace.BadParameter("can't parse %s as a bundle: %v; correct the TOML", path, err)}
		}
		texts = append(texts, string(text))
	}
	content, err := rosebundle.ParseContent(strings.Join(texts, "\n"))
	var invalid *rosebundle.ValidationError
	if errors.As(err, &invalid) {
		return nil, usageError{fmt.Errorf("%s:\n%w", strings.Join(paths, ", "), invalid)}
	}
	return content, err
}

func runBundleCheck(_ context.Context, streams IOStreams, args []string) error {
	flags := flag.NewFlagSet("bundle check", flag.ContinueOnError)
	if err := parseFlags(flags, streams, args); err != nil {
		return err
	}
	content, err := readContent(flags.Args())
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "in order: %d databases, %d classes, %d tenants, %d operators\n",
		len(content.Databases), len(content.Classes), len(content.Tenants), len(content.Operators))
	return nil
}

// currentManifest returns the manifest in the store, or a zero one if the store
// holds none.
func currentManifest(ctx context.Context, store rosemary.Store) (rosebundle.Manifest, error) {
	text, err := rosebundle.ReadCurrent(ctx, store)
	if trace.IsNotFound(err) {
		return rosebundle.Manifest{}, nil
	}
	if err != nil {
		return rosebundle.Manifest{}, err
	}
	return rosebundle.DecodeManifest(text)
}

func writeProposal(path string, p rosebundle.Proposal) error {
	return trace.ConvertSystemError(os.WriteFile(path, []byte(rosebundle.EncodeProposal(p)), 0o644))
}

func readProposal(flags *flag.FlagSet) (rosebundle.Proposal, string, error) {
	path := flags.Arg(0)
	if path == "" {
		return rosebundle.Proposal{}, "", usageError{trace.BadParameter("no proposal file given; give the file written by rosemary bundle new")}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return rosebundle.Proposal{}, "", trace.ConvertSystemError(err)
	}
	p, err := rosebundle.DecodeProposal(string(text))
	return p, path, err
}

func runBundlePropose(ctx context.Context, streams IOStreams, args []string) error {
	flags := flag.NewFlagSet("bundle propose", flag.ContinueOnError)
	openStore := storeFlags(flags)
	if err := parseFlags(flags, streams, args); err != nil {
		return err
	}
	p, _, err := readProposal(flags)
	if err != nil {
		return err
	}
	store, err := openStore()
	if err != nil {
		return err
	}
	if err := rosebundle.Propose(ctx, store, p); err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "accepted version=%d digest=%s\n", p.Manifest.Version, p.Manifest.Digest())
	return nil
}

// currentContent returns the manifest in the store and the content that it refers
// to.
func currentContent(ctx context.Context, store rosemary.Store) (rosebundle.Manifest, *rosebundle.Content, error) {
	m, err := currentManifest(ctx, store)
	if err != nil {
		return m, nil, err
	}
	if m.Version == 0 {
		return m, nil, trace.NotFound("the store holds no bundle; create the first one with rosemary bundle new -first")
	}
	content, err := rosebundle.ReadContent(ctx, store, m)
	return m, content, err
}

func runBundleShow(ctx context.Context, streams IOStreams, args []string) error {
	flags := flag.NewFlagSet("bundle show", flag.ContinueOnError)
	openStore := storeFlags(flags)
	if err := parseFlags(flags, streams, args); err != nil {
		return err
	}
	store, err := openStore()
	if err != nil {
		return err
	}
	m, content, err := currentContent(ctx, store)
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "# version %d, digest %s\n", m.Version, m.Digest())
	return trace.Wrap(toml.NewEncoder(streams.Out).Encode(content))
}

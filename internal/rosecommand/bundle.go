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
	register(command{"bundle", "key, new, check, sign, propose, show, diff and status of the configuration", runBundle})
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

func runBundle(ctx context.Context, environment IOStreams, args []string) error {
	if len(args) > 0 {
		if run := bundleCommands[args[0]]; run != nil {
			return run(ctx, environment, args[1:])
		}
	}
	return usageError{trace.BadParameter("usage: rosemary bundle key|new|check|sign|propose|show|diff|status")}
}

// storeFlags adds the flags that name the platform's store.
func storeFlags(flags *flag.FlagSet) func() (rosemary.Store, error) {
	address := flags.String("store", "", "host:port of the platform's key-value service")
	prefix := flags.String("prefix", "", "prefix of the keys, as in the proxies' settings")
	return func() (rosemary.Store, error) {
		if *address == "" {
			return nil, usageError{trace.BadParameter("name the platform's key-value service with -store")}
		}
		return rosestore.NewClient(rosestore.Config{Address: *address, Prefix: *prefix, Dialer: netDialer{}}), nil
	}
}

// readSources reads TOML files as one bundle and checks them as a whole.
func readSources(paths []string) (*rosebundle.Content, error) {
	if len(paths) == 0 {
		return nil, usageError{trace.BadParameter("name the TOML files of the bundle")}
	}
	var texts []string
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		if _, err := toml.Decode(string(text), &rosebundle.Content{}); err != nil {
			return nil, usageError{trace.BadParameter("%s: %v; correct the TOML", path, err)}
		}
		texts = append(texts, string(text))
	}
	content, err := rosebundle.ParseContent(strings.Join(texts, "\n"))
	var faults *rosebundle.ValidationError
	if errors.As(err, &faults) {
		return nil, usageError{fmt.Errorf("%s:\n%w", strings.Join(paths, ", "), faults)}
	}
	return content, err
}

func runBundleCheck(_ context.Context, environment IOStreams, args []string) error {
	flags := flag.NewFlagSet("bundle check", flag.ContinueOnError)
	if err := parse(flags, environment, args); err != nil {
		return err
	}
	content, err := readSources(flags.Args())
	if err != nil {
		return err
	}
	fmt.Fprintf(environment.Out, "in order: %d databases, %d classes, %d tenants, %d operators\n",
		len(content.Databases), len(content.Classes), len(content.Tenants), len(content.Operators))
	return nil
}

// accepted returns the manifest in the store; a zero one if there is none.
func accepted(ctx context.Context, store rosemary.Store) (rosebundle.Manifest, error) {
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
		return rosebundle.Proposal{}, "", usageError{trace.BadParameter("name the proposal file")}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return rosebundle.Proposal{}, "", trace.ConvertSystemError(err)
	}
	p, err := rosebundle.DecodeProposal(string(text))
	return p, path, err
}

func runBundlePropose(ctx context.Context, environment IOStreams, args []string) error {
	flags := flag.NewFlagSet("bundle propose", flag.ContinueOnError)
	open := storeFlags(flags)
	if err := parse(flags, environment, args); err != nil {
		return err
	}
	p, _, err := readProposal(flags)
	if err != nil {
		return err
	}
	store, err := open()
	if err != nil {
		return err
	}
	if err := rosebundle.Propose(ctx, store, p); err != nil {
		return err
	}
	fmt.Fprintf(environment.Out, "accepted version=%d digest=%s\n", p.Manifest.Version, p.Manifest.Digest())
	return nil
}

// acceptedContent returns the manifest in the store and what it names.
func acceptedContent(ctx context.Context, store rosemary.Store) (rosebundle.Manifest, *rosebundle.Content, error) {
	m, err := accepted(ctx, store)
	if err != nil {
		return m, nil, err
	}
	if m.Version == 0 {
		return m, nil, trace.NotFound("the store holds no bundle; make the first with rosemary bundle new -first")
	}
	content, err := rosebundle.ReadContent(ctx, store, m)
	return m, content, err
}

func runBundleShow(ctx context.Context, environment IOStreams, args []string) error {
	flags := flag.NewFlagSet("bundle show", flag.ContinueOnError)
	open := storeFlags(flags)
	if err := parse(flags, environment, args); err != nil {
		return err
	}
	store, err := open()
	if err != nil {
		return err
	}
	m, content, err := acceptedContent(ctx, store)
	if err != nil {
		return err
	}
	fmt.Fprintf(environment.Out, "# version %d, digest %s\n", m.Version, m.Digest())
	return trace.Wrap(toml.NewEncoder(environment.Out).Encode(content))
}

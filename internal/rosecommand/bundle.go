package rosecommand

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
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
var bundleCommands = map[string]func(context.Context, Environment, []string) error{
	"key":     runBundleKey,
	"new":     runBundleNew,
	"check":   runBundleCheck,
	"sign":    runBundleSign,
	"propose": runBundlePropose,
	"show":    runBundleShow,
	"diff":    runBundleDiff,
	"status":  runBundleStatus,
}

func runBundle(ctx context.Context, environment Environment, args []string) error {
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

func runBundleKey(_ context.Context, environment Environment, args []string) error {
	flags := flag.NewFlagSet("bundle key", flag.ContinueOnError)
	out := flags.String("out", "", "file for the private key")
	if err := parse(flags, environment, args); err != nil {
		return err
	}
	if *out == "" {
		return usageError{trace.BadParameter("name the file for the private key with -out")}
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return trace.Wrap(err)
	}
	text := base64.StdEncoding.EncodeToString(private) + "\n"
	file, err := os.OpenFile(*out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	if _, err := file.WriteString(text); err != nil {
		return trace.ConvertSystemError(err)
	}
	fmt.Fprintf(environment.Out, "PublicKey = %q\n", base64.StdEncoding.EncodeToString(public))
	return nil
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
	var faults *rosebundle.FaultsError
	if errors.As(err, &faults) {
		return nil, usageError{fmt.Errorf("%s:\n%w", strings.Join(paths, ", "), faults)}
	}
	return content, err
}

func runBundleCheck(_ context.Context, environment Environment, args []string) error {
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

func runBundleNew(ctx context.Context, environment Environment, args []string) error {
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
			return usageError{&rosebundle.FaultsError{Faults: faults}}
		}
	}
	manifest, parts := rosebundle.Build(content, parent)
	if err := writeProposal(*out, rosebundle.Proposal{Manifest: manifest, Parts: parts}); err != nil {
		return err
	}
	fmt.Fprintf(environment.Out, "version=%d digest=%s proposal=%s\n", manifest.Version, manifest.Digest(), *out)
	return nil
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

func runBundleSign(_ context.Context, environment Environment, args []string) error {
	flags := flag.NewFlagSet("bundle sign", flag.ContinueOnError)
	operator := flags.String("operator", "", "name of the operator, as in the bundle in force")
	keyFile := flags.String("key", "", "file with the operator's private key")
	if err := parse(flags, environment, args); err != nil {
		return err
	}
	p, path, err := readProposal(flags)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(*keyFile)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(key) != ed25519.PrivateKeySize || *operator == "" {
		return usageError{trace.BadParameter("give -operator, and with -key a file that rosemary bundle key made")}
	}
	p.Manifest = p.Manifest.WithSignature(*operator, key)
	if err := writeProposal(path, p); err != nil {
		return err
	}
	fmt.Fprintf(environment.Out, "version=%d digest=%s signatures=%d\n", p.Manifest.Version, p.Manifest.Digest(), len(p.Manifest.Signatures))
	return nil
}

func runBundlePropose(ctx context.Context, environment Environment, args []string) error {
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

func runBundleShow(ctx context.Context, environment Environment, args []string) error {
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

func runBundleDiff(ctx context.Context, environment Environment, args []string) error {
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

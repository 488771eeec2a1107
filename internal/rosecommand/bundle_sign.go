package rosecommand

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/gravitational/trace"
)

func runBundleSign(_ context.Context, streams IOStreams, args []string) error {
	flags := flag.NewFlagSet("bundle sign", flag.ContinueOnError)
	operator := flags.String("operator", "", "name of the operator, as in the current bundle")
	keyFile := flags.String("key", "", "file with the operator's private key")
	if err := parseFlags(flags, streams, args); err != nil {
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
		return usageError{trace.BadParameter("-operator is missing, or the -key file holds no private key written by rosemary bundle key")}
	}
	p.Manifest = p.Manifest.WithSignature(*operator, key)
	if err := writeProposal(path, p); err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "version=%d digest=%s signatures=%d\n", p.Manifest.Version, p.Manifest.Digest(), len(p.Manifest.Signatures))
	return nil
}

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

func runBundleSign(_ context.Context, environment IOStreams, args []string) error {
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

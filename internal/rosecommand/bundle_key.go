package rosecommand

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"flag"
	"fmt"
	"os"

	"github.com/gravitational/trace"
)

func runBundleKey(_ context.Context, streams IOStreams, args []string) error {
	flags := flag.NewFlagSet("bundle key", flag.ContinueOnError)
	out := flags.String("out", "", "file to write the private key to")
	if err := parseFlags(flags, streams, args); err != nil {
		return err
	}
	if *out == "" {
		return usageError{trace.BadParameter("-out is missing; give the file to write the private key to")}
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
	fmt.Fprintf(streams.Out, "PublicKey = %q\n", base64.StdEncoding.EncodeToString(public))
	return nil
}

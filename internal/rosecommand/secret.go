package rosecommand

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
)

func init() {
	register(command{"secret", "generate a key for the TokenKeys setting", runSecret})
}

// secretBytes is the length of a token key in bytes.
const secretBytes = 32

func runSecret(_ context.Context, streams IOStreams, _ []string) error {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	fmt.Fprintln(streams.Out, base64.StdEncoding.EncodeToString(secret))
	return nil
}

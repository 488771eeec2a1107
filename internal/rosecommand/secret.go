package rosecommand

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
)

func init() {
	register(command{"secret", "print a new key for TokenKeys", runSecret})
}

// secretBytes is the length of a token key.
const secretBytes = 32

func runSecret(_ context.Context, environment IOStreams, _ []string) error {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	fmt.Fprintln(environment.Out, base64.StdEncoding.EncodeToString(secret))
	return nil
}

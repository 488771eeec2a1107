package rosecommand

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
	"strings"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/internal/rosefront"
)

func init() {
	register(command{"secret", "print a new key for TokenKeys", runSecret})
	register(command{"verifier", "read a tenant's password and print its verifier", runVerifier})
}

// secretBytes is the length of a token key.
const secretBytes = 32

func runSecret(_ context.Context, environment Environment, _ []string) error {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	fmt.Fprintln(environment.Out, base64.StdEncoding.EncodeToString(secret))
	return nil
}

func runVerifier(_ context.Context, environment Environment, _ []string) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	password := strings.TrimRight(line, "\r\n")
	if password == "" {
		return usageError{trace.BadParameter("write the password on standard input: %v", err)}
	}
	verifier, err := rosefront.NewVerifier(password)
	if err != nil {
		return err
	}
	fmt.Fprintln(environment.Out, verifier)
	return nil
}

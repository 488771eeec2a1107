package rosecommand

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/internal/rosefront"
)

func init() {
	register(command{"verifier", "read a tenant's password from standard input and print its SCRAM verifier", runVerifier})
}

func runVerifier(_ context.Context, streams IOStreams, _ []string) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	password := strings.TrimRight(line, "\r\n")
	if password == "" {
		return usageError{trace.BadParameter("no password on standard input: %v", err)}
	}
	verifier, err := rosefront.NewVerifier(password)
	if err != nil {
		return err
	}
	fmt.Fprintln(streams.Out, verifier)
	return nil
}

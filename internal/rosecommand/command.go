// Package rosecommand holds the subcommands of rosemary, one a file. Each
// registers itself.
package rosecommand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3"
)

// Exit codes of the programs.
const (
	exitOK    = 0
	exitFail  = 1
	exitUsage = 2
)

// command is one subcommand.
type command struct {
	name  string
	short string
	// run parses its flags from args and does the work.
	run func(ctx context.Context, environment IOStreams, args []string) error
}

// IOStreams is what a command reads from and writes to.
type IOStreams struct {
	Out io.Writer
	Err io.Writer
}

var commands []command

func register(c command) { commands = append(commands, c) }

// usageError is a call whose words are off.
type usageError struct{ error }

func (u usageError) Unwrap() error { return u.error }

// Run runs the subcommand that args name and returns the exit code.
func Run(ctx context.Context, environment IOStreams, args []string) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		usage(environment.Err)
		return exitUsage
	}
	at := slices.IndexFunc(commands, func(c command) bool { return c.name == args[0] })
	if at < 0 {
		fmt.Fprintf(environment.Err, "rosemary: no command %q\n", args[0])
		usage(environment.Err)
		return exitUsage
	}
	return exitCode(environment, commands[at].run(ctx, environment, args[1:]))
}

func exitCode(environment IOStreams, err error) int {
	var wrong usageError
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &wrong):
		fmt.Fprintln(environment.Err, "rosemary:", trace.UserMessage(wrong.error))
		return exitUsage
	}
	fmt.Fprintln(environment.Err, "rosemary:", trace.UserMessage(err))
	return exitFail
}

func usage(out io.Writer) {
	sorted := slices.SortedFunc(slices.Values(commands), func(a, b command) int { return strings.Compare(a.name, b.name) })
	fmt.Fprintln(out, "usage: rosemary COMMAND [flags]")
	for _, c := range sorted {
		fmt.Fprintf(out, "  %-10s %s\n", c.name, c.short)
	}
}

// parse reads flags, and their values from the environment's variables with
// the prefix ROSEMARY.
func parse(flags *flag.FlagSet, environment IOStreams, args []string) error {
	flags.SetOutput(environment.Err)
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("ROSEMARY")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return usageError{trace.BadParameter("%v", err)}
	}
	return nil
}

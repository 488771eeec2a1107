// Package rosecommand implements rosemaryd and the subcommands of rosemary. Each
// subcommand has its own file and registers itself.
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
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// command is one subcommand.
type command struct {
	name    string
	summary string
	// run parses args and executes the subcommand.
	run func(ctx context.Context, streams IOStreams, args []string) error
}

// IOStreams are the output streams of a command.
type IOStreams struct {
	Out io.Writer
	Err io.Writer
}

var commands []command

func register(c command) { commands = append(commands, c) }

// usageError is an error in the arguments, settings or files that the user gave;
// the program exits with exitUsage.
type usageError struct{ error }

func (u usageError) Unwrap() error { return u.error }

// Run runs the subcommand named by the first argument and returns the exit code.
func Run(ctx context.Context, streams IOStreams, args []string) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		printUsage(streams.Err)
		return exitUsage
	}
	index := slices.IndexFunc(commands, func(c command) bool { return c.name == args[0] })
	if index < 0 {
		fmt.Fprintf(streams.Err, "rosemary: unknown command %q\n", args[0])
		printUsage(streams.Err)
		return exitUsage
	}
	return exitCode(streams, commands[index].run(ctx, streams, args[1:]))
}

func exitCode(streams IOStreams, err error) int {
	var usageErr usageError
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &usageErr):
		fmt.Fprintln(streams.Err, "rosemary:", trace.UserMessage(usageErr.error))
		return exitUsage
	}
	fmt.Fprintln(streams.Err, "rosemary:", trace.UserMessage(err))
	return exitFailure
}

func printUsage(out io.Writer) {
	sorted := slices.SortedFunc(slices.Values(commands), func(a, b command) int { return strings.Compare(a.name, b.name) })
	fmt.Fprintln(out, "usage: rosemary COMMAND [flags]")
	for _, c := range sorted {
		fmt.Fprintf(out, "  %-10s %s\n", c.name, c.summary)
	}
}

// parseFlags parses args. A flag that is not given takes its value from the
// environment variable with its name and the prefix ROSEMARY_, if set.
func parseFlags(flags *flag.FlagSet, streams IOStreams, args []string) error {
	flags.SetOutput(streams.Err)
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("ROSEMARY")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return usageError{trace.BadParameter("%v", err)}
	}
	return nil
}

package rosecommand

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/internal/rosestack"
)

func init() {
	register(command{"demo", "run targets and six proxies on this machine", runDemo})
}

// demoStopTime bounds the graceful end of the demo.
const demoStopTime = 10 * time.Second

func runDemo(ctx context.Context, environment Environment, args []string) error {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:6432", "address of the first proxy; the others take the ports after it")
	name := flags.String("deployment", "costa-rica", "costa-rica or guatemala")
	span := flags.Duration("for", 0, "stop after this time; 0 runs until interrupted")
	if err := parse(flags, environment, args); err != nil {
		return err
	}
	deployment, err := rosestack.FindDeployment(*name)
	if err != nil {
		return usageError{err}
	}
	stack, err := rosestack.Start(ctx, rosestack.Config{Deployment: deployment, Listen: *listen})
	if err != nil {
		return trace.Wrap(err)
	}
	defer stack.Close()
	printDemo(environment, stack)
	if *span > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, *span)
		defer cancel()
	}
	<-ctx.Done()
	return stopDemo(stack)
}

func printDemo(environment Environment, stack *rosestack.Stack) {
	for _, p := range stack.Proxies {
		fmt.Fprintf(environment.Out, "proxy=%s zone=%s address=%s\n", p.Name, p.Zone, p.Address)
	}
	for _, d := range stack.Content.Databases {
		for _, t := range d.Targets {
			fmt.Fprintf(environment.Out, "target=%s database=%s zone=%s address=%s\n", t.ID, d.Name, t.Zone, t.Address)
		}
	}
	first := stack.Content
	fmt.Fprintf(environment.Out, "ready address=%s database=%s user=%s\n",
		stack.Proxies[0].Address, first.Databases[0].Name, first.Tenants[0].Name)
}

func stopDemo(stack *rosestack.Stack) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoStopTime)
	defer cancel()
	for _, p := range stack.Proxies {
		if err := p.Drain(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

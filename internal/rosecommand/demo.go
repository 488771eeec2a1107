package rosecommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/internal/rosestack"
)

func init() {
	register(command{"demo", "run targets and six proxies on this machine", runDemo})
}

// demoStopTime bounds the graceful end of the demo.
const demoStopTime = 10 * time.Second

func runDemo(ctx context.Context, environment IOStreams, args []string) error {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:6432", "address of the first proxy; the others take the ports after it")
	name := flags.String("deployment", "costa-rica", "costa-rica or guatemala")
	span := flags.Duration("for", 0, "stop after this time; 0 runs until interrupted")
	directory := flags.String("settings-dir", "", "run the stand-ins alone and write settings for rosemaryd there")
	verbose := flags.Bool("v", false, "show the log lines of the proxies and the stand-ins")
	if err := parse(flags, environment, args); err != nil {
		return err
	}
	if !*verbose {
		klog.LogToStderr(false)
		klog.SetOutput(io.Discard)
	}
	deployment, err := rosestack.FindDeployment(*name)
	if err != nil {
		return usageError{err}
	}
	stack, err := rosestack.Start(ctx, rosestack.Config{
		Deployment:     deployment,
		Listen:         *listen,
		WithoutProxies: *directory != "",
	})
	if err != nil {
		return trace.Wrap(err)
	}
	defer stack.Close()
	if *directory != "" {
		if err := stack.WriteSettings(*directory); err != nil {
			return err
		}
	}
	printDemo(environment, stack)
	if *span > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, *span)
		defer cancel()
	}
	<-ctx.Done()
	return stopDemo(stack)
}

func printDemo(environment IOStreams, stack *rosestack.Stack) {
	for _, p := range stack.Proxies {
		fmt.Fprintf(environment.Out, "proxy=%s zone=%s address=%s admin=%s\n", p.Name, p.Zone, p.Address, p.AdminAddress)
	}
	for _, d := range stack.BundleContent.Databases {
		for _, t := range d.Targets {
			fmt.Fprintf(environment.Out, "target=%s database=%s zone=%s address=%s\n", t.ID, d.Name, t.Zone, t.Address)
		}
	}
	fmt.Fprintf(environment.Out, "store=%s\n", stack.PlatformAddress())
	first := stack.BundleContent
	address := "none"
	if len(stack.Proxies) > 0 {
		address = stack.Proxies[0].Address
	}
	fmt.Fprintf(environment.Out, "ready address=%s database=%s user=%s\n", address, first.Databases[0].Name, first.Tenants[0].Name)
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

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
	register(command{"demo", "run simulated targets and six proxies on this machine", runDemo})
}

// demoDrainTimeout bounds the graceful shutdown of the demo's proxies.
const demoDrainTimeout = 10 * time.Second

func runDemo(ctx context.Context, streams IOStreams, args []string) error {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:6432", "address of the first proxy; the others use the ports after it")
	name := flags.String("deployment", "costa-rica", "deployment to run: costa-rica or guatemala")
	duration := flags.Duration("for", 0, "time after which the demo stops; 0 runs until interrupted")
	directory := flags.String("settings-dir", "", "run only the simulated targets and store, and write settings for rosemaryd to this directory")
	verbose := flags.Bool("v", false, "show the logs of the proxies and of the simulated targets and store")
	if err := parseFlags(flags, streams, args); err != nil {
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
	printAddresses(streams, stack)
	if *duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, *duration)
		defer cancel()
	}
	<-ctx.Done()
	return drainProxies(stack)
}

func printAddresses(streams IOStreams, stack *rosestack.Stack) {
	for _, p := range stack.Proxies {
		fmt.Fprintf(streams.Out, "proxy=%s zone=%s address=%s admin=%s\n", p.Name, p.Zone, p.Address, p.AdminAddress)
	}
	for _, d := range stack.InitialBundle.Databases {
		for _, t := range d.Targets {
			fmt.Fprintf(streams.Out, "target=%s database=%s zone=%s address=%s\n", t.ID, d.Name, t.Zone, t.Address)
		}
	}
	fmt.Fprintf(streams.Out, "store=%s\n", stack.PlatformAddress())
	content := stack.InitialBundle
	address := "none"
	if len(stack.Proxies) > 0 {
		address = stack.Proxies[0].Address
	}
	fmt.Fprintf(streams.Out, "ready address=%s database=%s user=%s\n", address, content.Databases[0].Name, content.Tenants[0].Name)
}

func drainProxies(stack *rosestack.Stack) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoDrainTimeout)
	defer cancel()
	for _, p := range stack.Proxies {
		if err := p.Drain(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

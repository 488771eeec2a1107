package rosecommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/rosemarywell/rosemarywell/internal/rosedaemon"
)

func init() {
	register(command{"status", "what every proxy says of itself, its groups and its peers", runStatus})
	register(command{"drain", "shut one proxy down gracefully", runDrain})
	register(command{"primary", "move DATABASE's primary to another target", runPrimary})
}

const (
	// adminTimeout bounds one request to a proxy.
	adminTimeout = 3 * time.Second
	// moveTimeout bounds the move of a primary.
	moveTimeout = 15 * time.Second
	// maxStateBytes bounds one proxy's state.
	maxStateBytes = 16 << 20
)

// adminFlag adds the flag that names the proxies' admin addresses.
func adminFlag(flags *flag.FlagSet) *string {
	return flags.String("admin", "127.0.0.1:6434", "admin addresses of the proxies, joined by commas")
}

// proxyAnswer is the state of one proxy, or why there is none.
type proxyAnswer struct {
	Address string
	State   *rosedaemon.State `json:",omitempty"`
	Error   string            `json:",omitempty"`
}

// askAll reads the state of every proxy.
func askAll(ctx context.Context, addresses string) []proxyAnswer {
	list := strings.Split(addresses, ",")
	answers := make([]proxyAnswer, len(list))
	var tasks errgroup.Group
	for i, address := range list {
		tasks.Go(func() error {
			answers[i].Address = address
			var state rosedaemon.State
			body, err := request(ctx, http.MethodGet, address, "/state", adminTimeout)
			if err == nil {
				err = json.Unmarshal(body, &state)
			}
			if err != nil {
				answers[i].Error = trace.UserMessage(err)
				return nil
			}
			answers[i].State = &state
			return nil
		})
	}
	_ = tasks.Wait()
	return answers
}

func request(ctx context.Context, method, address, path string, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, usageError{trace.BadParameter("bad admin address %q", address)}
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "proxy at %s does not answer", address)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "the answer of %s was cut off", address)
	}
	if response.StatusCode != http.StatusOK {
		return nil, trace.BadParameter("%s: %s", address, strings.TrimSpace(string(body)))
	}
	return body, nil
}

func printJSON(environment Environment, value any) error {
	encoder := json.NewEncoder(environment.Out)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(value))
}

func runStatus(ctx context.Context, environment Environment, args []string) error {
	flags := flag.NewFlagSet("status", flag.ContinueOnError)
	admin := adminFlag(flags)
	asJSON := flags.Bool("json", false, "print JSON")
	if err := parse(flags, environment, args); err != nil {
		return err
	}
	answers := askAll(ctx, *admin)
	if *asJSON {
		return printJSON(environment, answers)
	}
	table := tabwriter.NewWriter(environment.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PROXY\tZONE\tREADY\tCALLERS\tBUNDLE\tDATABASE\tTERM\tPRIMARY\tCONFIRMED\tTARGETS")
	for _, a := range answers {
		if a.State == nil {
			fmt.Fprintf(table, "%s\t-\tfalse\t-\t-\t%s\n", a.Address, a.Error)
			continue
		}
		for _, g := range a.State.Groups {
			fmt.Fprintf(table, "%s\t%s\t%t\t%d\t%d\t%s\t%d\t%s\t%s\t%s\n", a.State.Name, a.State.Zone, a.State.Ready,
				a.State.Callers, a.State.Bundle.Version, g.Database, g.Term, g.Primary, g.Confirmed, targetsLine(g))
		}
	}
	return trace.Wrap(table.Flush())
}

func targetsLine(g rosedaemon.GroupState) string {
	var parts []string
	for _, t := range g.Targets {
		state := string(t.Role)
		switch {
		case !t.Reachable:
			state = "unreachable"
		case t.Leaving:
			state += ",leaving"
		}
		parts = append(parts, fmt.Sprintf("%s=%s@%s", t.ID, state, t.Position))
	}
	return strings.Join(parts, " ")
}

func runBundleStatus(ctx context.Context, environment Environment, args []string) error {
	flags := flag.NewFlagSet("bundle status", flag.ContinueOnError)
	admin := adminFlag(flags)
	asJSON := flags.Bool("json", false, "print JSON")
	if err := parse(flags, environment, args); err != nil {
		return err
	}
	answers := askAll(ctx, *admin)
	newest := uint64(0)
	for _, a := range answers {
		if a.State != nil {
			newest = max(newest, a.State.Bundle.Version)
		}
	}
	rows := make([]bundleRow, 0, len(answers))
	for _, a := range answers {
		rows = append(rows, newBundleRow(a, newest))
	}
	if *asJSON {
		return printJSON(environment, rows)
	}
	table := tabwriter.NewWriter(environment.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PROXY\tZONE\tVERSION\tSINCE\tBEHIND\tNOTE")
	for _, r := range rows {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\t%s\n", r.Proxy, r.Zone, r.Version, r.Since.Format(time.RFC3339), r.Behind, r.Note)
	}
	return trace.Wrap(table.Flush())
}

// bundleRow is one proxy in the status of a bundle.
type bundleRow struct {
	Proxy   string
	Zone    string
	Version uint64
	Since   time.Time
	// Behind is the number of versions that the proxy lacks.
	Behind uint64
	Note   string `json:",omitempty"`
}

func newBundleRow(a proxyAnswer, newest uint64) bundleRow {
	if a.State == nil {
		return bundleRow{Proxy: a.Address, Behind: newest, Note: a.Error}
	}
	b := a.State.Bundle
	return bundleRow{string(a.State.Name), string(a.State.Zone), b.Version, b.Since, newest - b.Version, b.Refused}
}

func runDrain(ctx context.Context, environment Environment, args []string) error {
	flags := flag.NewFlagSet("drain", flag.ContinueOnError)
	admin := adminFlag(flags)
	if err := parse(flags, environment, args); err != nil {
		return err
	}
	if _, err := request(ctx, http.MethodPost, *admin, "/drain", adminTimeout); err != nil {
		return err
	}
	fmt.Fprintf(environment.Out, "draining proxy=%s\n", *admin)
	return nil
}

func runPrimary(ctx context.Context, environment Environment, args []string) error {
	flags := flag.NewFlagSet("primary move", flag.ContinueOnError)
	admin := adminFlag(flags)
	database := flags.String("database", "", "database whose primary moves")
	target := flags.String("target", "", "target to move to; empty takes the best")
	if len(args) == 0 || args[0] != "move" {
		return usageError{trace.BadParameter("usage: rosemary primary move -database NAME [-target ID]")}
	}
	if err := parse(flags, environment, args[1:]); err != nil {
		return err
	}
	path := "/primary/move?database=" + url.QueryEscape(*database) + "&target=" + url.QueryEscape(*target)
	body, err := request(ctx, http.MethodPost, strings.Split(*admin, ",")[0], path, moveTimeout)
	if err != nil {
		return err
	}
	_, err = environment.Out.Write(body)
	return trace.Wrap(err)
}

package rosecommand

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/rosemarywell/rosemarywell/internal/rosedaemon"
)

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

func printJSON(environment IOStreams, value any) error {
	encoder := json.NewEncoder(environment.Out)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(value))
}

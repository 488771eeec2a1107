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
	// adminTimeout bounds one request to a proxy's admin address.
	adminTimeout = 3 * time.Second
	// moveTimeout bounds the request that moves a primary, which returns once the
	// promotion is done.
	moveTimeout = 15 * time.Second
	// maxResponseBytes bounds the body of a proxy's response.
	maxResponseBytes = 16 << 20
)

// adminFlag adds the -admin flag.
func adminFlag(flags *flag.FlagSet) *string {
	return flags.String("admin", "127.0.0.1:6434", "admin addresses of the proxies, separated by commas")
}

// adminReply is what one proxy tells of itself, or the error of the request for it.
type adminReply[T any] struct {
	Address string
	State   *T     `json:",omitempty"`
	Error   string `json:",omitempty"`
}

// stateReply is the state of one proxy.
type stateReply = adminReply[rosedaemon.State]

// fetchStates requests the state of all proxies concurrently. The addresses are
// separated by commas.
func fetchStates(ctx context.Context, addresses string) []stateReply {
	return fetchAll[rosedaemon.State](ctx, addresses, "/state")
}

// fetchAll requests what all proxies have at a path of their admin addresses, concurrently.
func fetchAll[T any](ctx context.Context, addresses, path string) []adminReply[T] {
	addressList := strings.Split(addresses, ",")
	replies := make([]adminReply[T], len(addressList))
	var tasks errgroup.Group
	for i, address := range addressList {
		tasks.Go(func() error {
			replies[i].Address = address
			state := new(T)
			body, err := adminRequest(ctx, http.MethodGet, address, path, adminTimeout)
			if err == nil {
				err = json.Unmarshal(body, state)
			}
			if err != nil {
				replies[i].Error = trace.UserMessage(err)
				return nil
			}
			replies[i].State = state
			return nil
		})
	}
	_ = tasks.Wait()
	return replies
}

func adminRequest(ctx context.Context, method, address, path string, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, usageError{trace.BadParameter("invalid admin address %q", address)}
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "no response from the proxy at %s", address)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "incomplete response from the proxy at %s", address)
	}
	if response.StatusCode != http.StatusOK {
		return nil, trace.BadParameter("proxy at %s: %s", address, strings.TrimSpace(string(body)))
	}
	return body, nil
}

func printJSON(streams IOStreams, value any) error {
	encoder := json.NewEncoder(streams.Out)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(value))
}

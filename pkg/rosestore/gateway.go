// Package rosestore implements clients of the platform's HTTP services: the
// key-value store, by range, txn and watch of etcd v3's JSON gateway, and the
// list of VMs.
package rosestore

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// maxResponseBytes bounds a response; values have up to a megabyte before
	// base64 encoding.
	maxResponseBytes = 4 << 20
	// callTimeout bounds a call whose context has no earlier deadline.
	callTimeout = 2 * time.Second
	// watchIdleTimeout ends a watch on which nothing was received for this
	// long, not even progress notifications.
	watchIdleTimeout = 30 * time.Second
)

// Config configures a Client.
type Config struct {
	// Address is the host:port of the gateway.
	Address string
	Dialer  rosemary.Dialer
	// Prefix is prepended to every key.
	Prefix string
}

// Client is a rosemary.Store over the gateway. Its methods may be called
// concurrently.
type Client struct {
	config Config
	http   *http.Client
}

var _ rosemary.Store = (*Client)(nil)

// NewClient returns a client that connects on demand.
func NewClient(config Config) *Client {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return config.Dialer.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{config: config, http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// keyValue is a key and its value as encoded by the gateway: bytes in base64,
// and 64-bit numbers as decimal text.
type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

type rangeRequest struct {
	Key []byte `json:"key"`
}

type rangeResponse struct {
	KVs []keyValue `json:"kvs"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision string `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

type requestOp struct {
	RequestPut *putRequest `json:"request_put,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
}

type txnResponse struct {
	Succeeded bool `json:"succeeded"`
}

type watchCreate struct {
	Key            []byte `json:"key"`
	ProgressNotify bool   `json:"progress_notify"`
}

type watchRequest struct {
	CreateRequest watchCreate `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type"`
	KV   keyValue `json:"kv"`
}

type watchResult struct {
	Events []watchEvent `json:"events"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}

// Get returns the newest value of key. Errors are trace.NotFound and
// trace.ConnectionProblem.
func (c *Client) Get(ctx context.Context, key string) (rosemary.Entry, error) {
	var response rangeResponse
	if err := c.call(ctx, "/v3/kv/range", rangeRequest{Key: c.prefixedKey(key)}, &response); err != nil {
		return rosemary.Entry{}, err
	}
	if len(response.KVs) == 0 {
		return rosemary.Entry{}, trace.NotFound("the store has no key %q", key)
	}
	return rosemary.Entry{Value: response.KVs[0].Value, Revision: response.KVs[0].ModRevision}, nil
}

// CompareAndSwap writes value if key is still at revision; zero means that key
// is absent. After an error the write may have taken effect.
func (c *Client) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte) (bool, error) {
	request := txnRequest{
		Compare: []compare{{
			Key:         c.prefixedKey(key),
			Target:      "MOD",
			Result:      "EQUAL",
			ModRevision: strconv.FormatInt(revision, 10),
		}},
		Success: []requestOp{{RequestPut: &putRequest{Key: c.prefixedKey(key), Value: value}}},
	}
	var response txnResponse
	if err := c.call(ctx, "/v3/kv/txn", request, &response); err != nil {
		return false, err
	}
	return response.Succeeded, nil
}

// Watch sends the entry of key at each change, except deletions. The channel
// closes when ctx ends, the connection fails, or nothing is received for
// watchIdleTimeout.
func (c *Client) Watch(ctx context.Context, key string) (<-chan rosemary.Entry, error) {
	ctx, cancel := context.WithCancel(ctx)
	body, err := json.Marshal(watchRequest{CreateRequest: watchCreate{Key: c.prefixedKey(key), ProgressNotify: true}})
	if err != nil {
		cancel()
		return nil, trace.Wrap(err)
	}
	response, err := c.post(ctx, "/v3/watch", body)
	if err != nil {
		cancel()
		return nil, err
	}
	entries := make(chan rosemary.Entry)
	go func() {
		defer cancel()
		defer close(entries)
		defer response.Body.Close()
		forwardEvents(ctx, cancel, json.NewDecoder(response.Body), entries)
	}()
	return entries, nil
}

// forwardEvents forwards events until the stream ends or stays idle for
// watchIdleTimeout.
func forwardEvents(ctx context.Context, cancel context.CancelFunc, stream *json.Decoder, entries chan<- rosemary.Entry) {
	idleTimer := time.AfterFunc(watchIdleTimeout, cancel)
	defer idleTimer.Stop()
	for {
		var message watchResponse
		if err := stream.Decode(&message); err != nil {
			return
		}
		idleTimer.Reset(watchIdleTimeout)
		for _, event := range message.Result.Events {
			if event.Type == "DELETE" {
				continue
			}
			select {
			case entries <- rosemary.Entry{Value: event.KV.Value, Revision: event.KV.ModRevision}:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (c *Client) prefixedKey(key string) []byte { return []byte(c.config.Prefix + key) }

func (c *Client) call(ctx context.Context, path string, request, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := c.post(ctx, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	limited := http.MaxBytesReader(nil, response.Body, maxResponseBytes)
	if err := json.NewDecoder(limited).Decode(result); err != nil {
		return trace.ConnectionProblem(err, "the store's response to %s is truncated or not valid JSON", path)
	}
	return nil
}

func (c *Client) post(ctx context.Context, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.config.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "request to the store at %s failed", c.config.Address)
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, trace.ConnectionProblem(nil, "the store responded %s to %s", response.Status, path)
	}
	return response, nil
}

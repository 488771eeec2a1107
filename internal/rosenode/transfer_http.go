package rosenode

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

const (
	// configurationPath is the HTTP path at which a proxy serves its configuration: whole, or a
	// piece as a rosewire.Content if the parameters below name one.
	configurationPath = "/configuration"
	versionParameter  = "version"
	checksumParameter = "checksum"
	offsetParameter   = "offset"
	proxyParameter    = "proxy"
	// pieceType is the media type of a rosewire.Content. A build that sends no pieces has
	// another one.
	pieceType = "application/cbor"
)

// serveConfiguration serves the configuration in force to another proxy.
func (n *Node) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has(versionParameter) && !n.config.Omit.Pieces {
		n.servePiece(w, r.URL.Query())
		return
	}
	text, found := n.configurationText("")
	if !found {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, text)
}

func (n *Node) servePiece(w http.ResponseWriter, query url.Values) {
	version, err := strconv.ParseUint(query.Get(versionParameter), 10, 64)
	if err != nil {
		http.Error(w, "the version isn't a number", http.StatusBadRequest)
		return
	}
	// What can't be read stands for no piece yet.
	sum, _ := strconv.ParseUint(query.Get(checksumParameter), 10, 64)
	offset, _ := strconv.ParseUint(query.Get(offsetParameter), 10, 64)
	to := rosemary.ProxyID(query.Get(proxyParameter))
	piece := n.sendPiece(to, rosewire.PieceRequest{Version: version, Checksum: sum, Offset: offset})
	body, err := cbor.Marshal(rosewire.Content{Piece: &piece})
	if err != nil {
		http.Error(w, "the piece can't be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", pieceType)
	_, _ = w.Write(body)
}

// fetchDirectly fetches a piece on a connection of its own. A proxy that sends none answers with
// all of its text.
func (n *Node) fetchDirectly(ctx context.Context, address string, request rosewire.PieceRequest) (rosewire.Content, error) {
	ctx, cancel := roseclock.WithIdleTimeout(ctx, pieceTimeout, pieceTimeout)
	defer cancel()
	query := url.Values{
		versionParameter:  {strconv.FormatUint(request.Version, 10)},
		checksumParameter: {strconv.FormatUint(request.Checksum, 10)},
		offsetParameter:   {strconv.FormatUint(request.Offset, 10)},
		proxyParameter:    {string(n.config.Self.Proxy)},
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+configurationPath+"?"+query.Encode(), nil)
	if err != nil {
		return rosewire.Content{}, trace.Wrap(err)
	}
	client := http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return n.config.PeerDialer.Dial(ctx, address)
		},
		DisableKeepAlives: true,
	}}
	response, err := client.Do(httpRequest)
	if err != nil {
		return rosewire.Content{}, trace.ConnectionProblem(err, "the proxy at %s didn't answer", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return rosewire.Content{}, trace.ConnectionProblem(nil, "the proxy at %s responded %s", address, response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(roseclock.ProgressReader(ctx, response.Body), maxConfigurationBytes))
	if err != nil {
		return rosewire.Content{}, trace.ConnectionProblem(err, "the response of the proxy at %s is incomplete", address)
	}
	if response.Header.Get("Content-Type") != pieceType {
		return rosewire.Content{Body: string(body)}, nil
	}
	var content rosewire.Content
	if err := cbor.Unmarshal(body, &content); err != nil {
		return rosewire.Content{}, trace.BadParameter("the response of the proxy at %s can't be decoded: %v", address, err)
	}
	return content, nil
}

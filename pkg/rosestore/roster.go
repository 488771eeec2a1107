package rosestore

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// MemberSource reads the platform's list of VMs over HTTP and JSON.
type MemberSource struct {
	client *Client
}

var _ rosemary.MemberSource = (*MemberSource)(nil)

// NewMemberSource returns a roster at the client's address.
func NewMemberSource(client *Client) *MemberSource { return &MemberSource{client: client} }

// listed is a VM as the platform writes it.
type listed struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Members returns the list as the platform knows it now. The error is a
// trace.ConnectionProblem.
func (r *MemberSource) Members(ctx context.Context) ([]rosemary.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.client.config.Address+"/vms", nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := r.client.http.Do(request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "read the VM list")
	}
	defer response.Body.Close()
	var list []listed
	limited := http.MaxBytesReader(nil, response.Body, maxAnswerBytes)
	if err := json.NewDecoder(limited).Decode(&list); err != nil {
		return nil, trace.ConnectionProblem(err, "the VM list was cut off")
	}
	members := make([]rosemary.Member, len(list))
	for i, l := range list {
		members[i] = rosemary.Member{
			Proxy:   rosemary.ProxyID(l.Name),
			Zone:    rosemary.Zone(l.Zone),
			Address: l.Address,
			Leaving: l.Leaving,
		}
	}
	return members, nil
}

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

// NewMemberSource returns a member source at the client's address.
func NewMemberSource(client *Client) *MemberSource { return &MemberSource{client: client} }

// listedVM is a VM as encoded by the platform.
type listedVM struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Members returns the platform's list, which may be out of date. The error is a
// trace.ConnectionProblem.
func (s *MemberSource) Members(ctx context.Context) ([]rosemary.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.client.config.Address+"/vms", nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := s.client.http.Do(request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "request for the VM list failed")
	}
	defer response.Body.Close()
	var list []listedVM
	limited := http.MaxBytesReader(nil, response.Body, maxResponseBytes)
	if err := json.NewDecoder(limited).Decode(&list); err != nil {
		return nil, trace.ConnectionProblem(err, "the VM list is truncated or not valid JSON")
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

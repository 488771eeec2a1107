package rosefront

import (
	"context"
	"net"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepool"
	"github.com/rosemarywell/rosemarywell/pkg/roseroute"
	"github.com/rosemarywell/rosemarywell/pkg/rosestatement"
)

// fakeTarget answers simple queries, refuses those with a given prefix, and records the others with
// the transaction status that they ran in.
type fakeTarget struct {
	refuse string
	ran    []string
}

// dial connects to the target.
func (f *fakeTarget) Dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go f.serve(pgproto3.NewBackend(server, server))
	return client, nil
}

func (f *fakeTarget) serve(backend *pgproto3.Backend) {
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	status := byte('I')
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	for backend.Flush() == nil {
		message, err := backend.Receive()
		if err != nil {
			return
		}
		query, isQuery := message.(*pgproto3.Query)
		if !isQuery {
			continue
		}
		for text := range strings.SplitSeq(query.String, ";") {
			if !f.run(backend, strings.TrimSpace(text), &status) {
				break
			}
		}
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	}
}

// run runs one statement, and reports whether the next one of its query runs too.
func (f *fakeTarget) run(backend *pgproto3.Backend, text string, status *byte) bool {
	refused := f.refuse != "" && strings.HasPrefix(text, f.refuse)
	ends := text == "COMMIT" || text == "ROLLBACK"
	switch {
	case refused || *status == 'E' && !ends:
		backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "53300", Message: "refused"})
		if *status == 'T' {
			*status = 'E'
		}
		return false
	case text == "BEGIN":
		*status = 'T'
	case ends:
		*status = 'I'
	default:
		f.ran = append(f.ran, string(*status)+" "+text)
	}
	backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("OK")})
	return true
}

// TestRefusedBeginRunsNoRequest guards against a request that runs without the claim of its
// identifier, or a claim without its request, as the target refused what was sent along before.
func TestRefusedBeginRunsNoRequest(t *testing.T) {
	const claim, body = "SELECT rosemary.claim('r1')", "INSERT INTO fares VALUES (1)"
	tests := []struct {
		name, refuse, request string
		placement             claimPlacement
		ran                   []string
		claimed, failed       bool
	}{
		{name: "wrapped", request: body, placement: claimWrapped, ran: []string{"T " + claim, "T " + body}, claimed: true},
		{name: "wrapped, begin refused", refuse: "BEGIN", request: body, placement: claimWrapped, failed: true},
		{name: "wrapped, claim refused", refuse: "SELECT rosemary.claim", request: body, placement: claimWrapped, failed: true},
		{name: "wrapped, request refused", refuse: "INSERT", request: body, placement: claimWrapped, ran: []string{"T " + claim}, claimed: true, failed: true},
		{name: "after", request: "BEGIN", placement: claimAfter, ran: []string{"T " + claim}, claimed: true},
		{name: "after, begin refused", refuse: "BEGIN", request: "BEGIN", placement: claimAfter, failed: true},
		{name: "after, claim refused", refuse: "SELECT rosemary.claim", request: "BEGIN", placement: claimAfter, failed: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx := context.Background()
			target := &fakeTarget{refuse: test.refuse}
			conn, err := rosepool.Open(ctx, target, rosemary.Target{ID: "t-1"}, rosepool.Credentials{})
			qt.Assert(t, err, qt.IsNil)
			defer conn.Close()
			query := &pgproto3.Query{String: test.request}
			c := &client{}
			r := &request{client: c, batch: &batch{simple: query, messages: []pgproto3.FrontendMessage{query}}, requestID: "r1", executes: true, claimPlacement: test.placement}
			r.answer = &answer{client: c}
			r.addScript(rosestatement.Scan(test.request))
			e := &execution{request: r, lease: &roseroute.ConnLease{Conn: conn}}
			qt.Assert(t, e.run(ctx), qt.IsNil)
			ran := slices.DeleteFunc(target.ran, func(s string) bool { return strings.Contains(s, "rosemary.position") })
			qt.Check(t, slices.Equal(ran, test.ran), qt.IsTrue, qt.Commentf("%q", ran))
			qt.Check(t, c.claimedID == "r1", qt.Equals, test.claimed)
			qt.Check(t, r.targetError != nil, qt.Equals, test.failed)
			if test.placement == claimWrapped {
				qt.Check(t, conn.TxStatus(), qt.Equals, byte('I'))
			}
		})
	}
}

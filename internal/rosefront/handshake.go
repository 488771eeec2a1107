package rosefront

import (
	"crypto/tls"
	"encoding/binary"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosesession"
)

// Session settings that only the proxy knows. Clients may set them with SET, as
// startup parameters or in the startup parameter options.
const (
	settingToken   = "rosemary.token"
	settingSession = "rosemary.session"
	settingClass   = "rosemary.class"
	settingRequest = "rosemary.request"
)

// handshake processes all messages before the first request. The client is nil
// if the connection only served to send a cancel request.
func (s *Server) handshake(conn net.Conn, overLimit bool) (*client, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	encrypted := false
	for {
		backend := pgproto3.NewBackend(conn, conn)
		backend.SetMaxBodyLen(s.config.MaxMessageBytes)
		message, err := backend.ReceiveStartupMessage()
		if err != nil {
			return nil, trace.Wrap(err, "can't receive the startup message")
		}
		switch m := message.(type) {
		case *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte("N")); err != nil {
				return nil, trace.Wrap(err)
			}
		case *pgproto3.SSLRequest:
			if encrypted {
				return nil, trace.BadParameter("the client requested encryption twice")
			}
			if conn, err = s.startTLS(conn); err != nil {
				return nil, err
			}
			_, encrypted = conn.(*tls.Conn)
		case *pgproto3.CancelRequest:
			s.handleCancel(m)
			return nil, nil
		case *pgproto3.StartupMessage:
			return s.startup(conn, backend, m, overLimit, encrypted)
		}
	}
}

func (s *Server) startTLS(conn net.Conn) (net.Conn, error) {
	if s.config.TLS == nil {
		_, err := conn.Write([]byte("N"))
		return conn, trace.Wrap(err)
	}
	if _, err := conn.Write([]byte("S")); err != nil {
		return nil, trace.Wrap(err)
	}
	encrypted := tls.Server(conn, s.config.TLS)
	if err := encrypted.Handshake(); err != nil {
		return nil, trace.ConnectionProblem(err, "TLS handshake failed")
	}
	return encrypted, nil
}

func (s *Server) handleCancel(m *pgproto3.CancelRequest) {
	if len(m.SecretKey) != 4 {
		return
	}
	secret := binary.BigEndian.Uint32(m.SecretKey)
	if !s.Cancel(m.ProcessID, secret) && s.config.ForwardCancel != nil {
		s.config.ForwardCancel(m.ProcessID, secret)
	}
}

func (s *Server) startup(conn net.Conn, backend *pgproto3.Backend, m *pgproto3.StartupMessage, overLimit, encrypted bool) (*client, error) {
	c, err := s.openSession(conn, backend, m, overLimit, encrypted)
	if err != nil {
		refusal := rosemary.AsRefusal(err, rosemary.OutcomeNotRun)
		backend.Send(errorResponse(refusal, "FATAL"))
		_ = backend.Flush()
		return nil, err
	}
	s.register(c)
	c.sendStartupResponse()
	if err := c.flush(); err != nil {
		s.unregister(c)
		return nil, trace.Wrap(err)
	}
	_ = conn.SetDeadline(time.Time{})
	return c, nil
}

// openSession authenticates the client and opens its session. The error is a
// *rosemary.Refusal.
func (s *Server) openSession(conn net.Conn, backend *pgproto3.Backend, m *pgproto3.StartupMessage, overLimit, encrypted bool) (*client, error) {
	if err := s.checkAdmission(overLimit, encrypted); err != nil {
		return nil, err
	}
	tenant, err := s.authenticate(backend, m.Parameters["user"])
	if err != nil {
		return nil, err
	}
	database := m.Parameters["database"]
	if database == "" {
		database = tenant.Name
	}
	router, found := s.config.ConfigProvider.Router(database)
	if !found || !mayUseDatabase(tenant, database) {
		return nil, refuse(rosemary.KindUnknownDatabase, "database "+quote(database)+" does not exist or is not allowed for tenant "+quote(tenant.Name),
			"check the database name, and the tenant's Databases in the bundle")
	}
	c := newClient(s, conn, backend, tenant, router, rosesession.NewSession(tenant.Name, database))
	given := startupSettings(m.Parameters)
	// Sorted order sets rosemary.session before rosemary.token, because setting
	// another name discards the token's position.
	for _, name := range slices.Sorted(maps.Keys(given)) {
		if err := c.set(name, given[name]); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (s *Server) checkAdmission(overLimit, encrypted bool) error {
	switch {
	case s.Draining():
		return refuse(rosemary.KindDraining, "this proxy is shutting down", "reconnect; the load balancer will choose another proxy")
	case overLimit:
		return refuse(rosemary.KindOverloaded, "this proxy has reached its connection limit", "reconnect later")
	case s.config.RequireTLS && !encrypted:
		return refuse(rosemary.KindAuthentication, "this proxy accepts encrypted connections only", "connect with sslmode=require")
	}
	return nil
}

func mayUseDatabase(tenant rosemary.Tenant, database string) bool {
	for _, d := range tenant.Databases {
		if d == database || d == "*" {
			return true
		}
	}
	return false
}

// startupSettings returns the settings given at startup, as parameters or as
// "-c name=value" or "--name=value" in options. It ignores those that the proxy
// neither has nor tracks.
func startupSettings(parameters map[string]string) map[string]string {
	settings := make(map[string]string)
	fields := strings.Fields(parameters["options"])
	for i, f := range fields {
		pair, isOption := strings.CutPrefix(f, "-c")
		if !isOption {
			pair, isOption = strings.CutPrefix(f, "--")
		}
		if pair == "" && i+1 < len(fields) {
			pair = fields[i+1]
		}
		name, value, found := strings.Cut(pair, "=")
		if isOption && found {
			settings[strings.ToLower(name)] = value
		}
	}
	for name, value := range parameters {
		settings[strings.ToLower(name)] = value
	}
	for name := range settings {
		if !isStartupSetting(name) {
			delete(settings, name)
		}
	}
	return settings
}

func isStartupSetting(name string) bool {
	return strings.HasPrefix(name, "rosemary.") || trackedSettings[name]
}

func quote(text string) string { return `"` + text + `"` }

// refuse returns a refusal of a request that has not run.
func refuse(kind rosemary.RefusalKind, message, remedy string) *rosemary.Refusal {
	return &rosemary.Refusal{Kind: kind, Outcome: rosemary.OutcomeNotRun, Message: message, Remedy: remedy}
}

func errorResponse(r *rosemary.Refusal, severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                r.SQLState(),
		Message:             r.Message,
		Detail:              string(r.Outcome),
		Hint:                r.Hint(),
	}
}

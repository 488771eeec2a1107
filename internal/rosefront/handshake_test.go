package rosefront_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"math/big"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/rosemarywell/rosemarywell/internal/rosefront"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/roseroute"
	"github.com/rosemarywell/rosemarywell/pkg/rosesession"
)

// configProvider has one tenant and one database without targets.
type configProvider struct {
	verifier string
}

func (d configProvider) Tenant(name string) (rosemary.Tenant, bool) {
	return rosemary.Tenant{Name: name, Databases: []string{"db"}, Verifier: d.verifier}, name == "clerk"
}

func (configProvider) Class(string) (rosemary.Class, bool) { return rosemary.Class{}, false }

func (configProvider) Router(database string) (*roseroute.Router, bool) {
	group := rosegroup.NewMonitor(rosegroup.Config{Group: rosemary.Group{Database: database}})
	return roseroute.NewRouter(roseroute.Config{Group: group}), database == "db"
}

// serve starts a server and returns its address.
func serve(t testing.TB, configure func(*rosefront.Config)) string {
	verifier, err := rosefront.NewVerifier("s3cret")
	qt.New(t).Assert(err, qt.IsNil)
	keys, err := rosesession.NewKeys([]byte("a key that is long enough"))
	qt.New(t).Assert(err, qt.IsNil)
	config := rosefront.Config{ConfigProvider: configProvider{verifier}, TokenKeys: keys, MaxClients: 10}
	configure(&config)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.New(t).Assert(err, qt.IsNil)
	server := rosefront.NewServer(config)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		listener.Close()
		server.CloseConnections()
	})
	return listener.Addr().String()
}

func login(address, user, password, database, sslMode string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := pgconn.Connect(ctx, "postgres://"+user+":"+password+"@"+address+"/"+database+"?sslmode="+sslMode)
	if err == nil {
		_ = conn.Close(ctx)
	}
	return err
}

func newCertificate(c *qt.C) tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

func TestLogin(t *testing.T) {
	c := qt.New(t)
	plain := serve(t, func(*rosefront.Config) {})
	encrypted := serve(t, func(config *rosefront.Config) {
		config.TLS = &tls.Config{Certificates: []tls.Certificate{newCertificate(c)}, MinVersion: tls.VersionTLS12}
		config.RequireTLS = true
	})
	for _, test := range []struct {
		name, address, user, password, database, sslMode, sqlState string
	}{
		{"right password", plain, "clerk", "s3cret", "db", "disable", ""},
		{"wrong password", plain, "clerk", "guess", "db", "disable", "28P01"},
		{"unknown tenant", plain, "nobody", "s3cret", "db", "disable", "28P01"},
		{"unknown database", plain, "clerk", "s3cret", "other", "disable", "3D000"},
		{"encrypted", encrypted, "clerk", "s3cret", "db", "require", ""},
		{"encryption missing", encrypted, "clerk", "s3cret", "db", "disable", "28P01"},
	} {
		c.Run(test.name, func(c *qt.C) {
			err := login(test.address, test.user, test.password, test.database, test.sslMode)
			var refused *pgconn.PgError
			if test.sqlState == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(refused.Code, qt.Equals, test.sqlState)
			c.Check(refused.Hint, qt.Not(qt.Equals), "")
		})
	}
}

func TestConnectionLimit(t *testing.T) {
	c := qt.New(t)
	address := serve(t, func(config *rosefront.Config) { config.MaxClients = 1 })
	idle, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer idle.Close()
	var refused *pgconn.PgError
	// The server may not have counted the idle connection yet.
	for !errors.As(login(address, "clerk", "s3cret", "db", "disable"), &refused) {
		continue
	}
	c.Check(refused.Code, qt.Equals, "53000")
}

// FuzzFirstBytes sends arbitrary first bytes. The server must close the
// connection and continue to serve other clients.
func FuzzFirstBytes(f *testing.F) {
	for _, seed := range []string{
		"", "GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x08\x04\xd2\x16\x2f", "\x00\x00\x00\x04",
		"\xff\xff\xff\xff\xff\xff\xff\xff", "\x00\x00\x00\x10\x00\x03\x00\x00user\x00a\x00\x00",
		"\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x02",
	} {
		f.Add([]byte(seed))
	}
	address := serve(f, func(*rosefront.Config) {})
	f.Fuzz(func(t *testing.T, first []byte) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = conn.Write(first)
		_ = conn.(*net.TCPConn).CloseWrite()
		if _, err := io.Copy(io.Discard, conn); errors.Is(err, context.DeadlineExceeded) {
			t.Fatal(err)
		}
		if err := login(address, "clerk", "s3cret", "db", "disable"); err != nil {
			t.Fatal(err)
		}
	})
}

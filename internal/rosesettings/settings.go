// Package rosesettings reads the settings of a rosemaryd process, such as its
// addresses, zone and keys. Configuration that all proxies share is in the
// bundle or, with rosemaryd -platform, in the platform's metadata store.
package rosesettings

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosesession"
)

// Settings holds the settings of a process that is configured by a bundle. For
// rosemaryd -platform, see PlatformSettings.
type Settings struct {
	// Name identifies the proxy, and is its name in the VM list.
	Name string
	// Zone is the availability zone that the VM is in.
	Zone string
	// Proxies is the number of proxies that share the targets' connections.
	Proxies int
	Listen  Listen
	TLS     TLS
	Peers   Peers
	Store   Store
	Targets Targets
	// TokenKeys are the keys for session tokens, in base64. The first signs, and
	// all verify. They must be the same on every proxy.
	TokenKeys []string
	// Operators lists the public keys that sign the first bundle.
	Operators []rosebundle.Operator
	// Signatures is the number of operators that must have signed it.
	Signatures int
	Limits     Limits
}

// Listen holds the addresses that the process listens on.
type Listen struct {
	// Callers is for clients.
	Callers string
	// Peers is for other proxies.
	Peers string
	// Admin is for health checks, metrics and operators' requests.
	Admin string
}

// TLS configures encryption of the connections from clients.
type TLS struct {
	Certificate string
	Key         string
	// Required makes the proxy refuse unencrypted connections from clients.
	Required bool
}

// Peers configures connections between proxies.
type Peers struct {
	// Address is where peers connect to this proxy; Listen.Peers if empty.
	Address string
	// Certificate, Key and Authority are the files for mutual TLS between
	// proxies.
	Certificate string
	Key         string
	Authority   string
	// Seeds are peers to connect to in addition to those in the VM list.
	Seeds []Seed
}

// Seed is a peer that is listed in the settings.
type Seed struct {
	Name    string
	Zone    string
	Address string
}

// Store configures access to the platform's key-value store (etcd) and VM list.
type Store struct {
	Address string
	// Prefix is put before every key.
	Prefix string
}

// Targets holds the credentials of the proxy at targets.
type Targets struct {
	User     string
	Password string
}

// Limits bounds the work of the process.
type Limits struct {
	// Callers is the maximum number of connections from clients.
	Callers int
	// DrainTime bounds a graceful shutdown.
	DrainTime rosebundle.Duration
}

// Default returns the settings that apply where a file sets none.
func Default() Settings {
	return Settings{
		Proxies: 1,
		Listen:  Listen{Callers: "0.0.0.0:6432", Peers: "0.0.0.0:6433", Admin: "127.0.0.1:6434"},
		Targets: Targets{User: "rosemary"},
		Limits:  Limits{Callers: 12_000, DrainTime: rosebundle.Duration(30 * time.Second)},
	}
}

// Load reads and checks a settings file. The error is a
// *rosebundle.ValidationError that lists every fault, or the error from reading
// the file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(string(text))
}

// Parse reads and checks the text of a settings file.
func Parse(text string) (Settings, error) {
	s := Default()
	meta, err := toml.Decode(text, &s)
	if err != nil {
		return s, &rosebundle.ValidationError{Faults: []rosebundle.Fault{
			{Key: "(file)", Problem: err.Error(), Remedy: "correct the TOML"},
		}}
	}
	var faults []rosebundle.Fault
	for _, key := range meta.Undecoded() {
		faults = append(faults, rosebundle.Fault{
			Key: key.String(), Problem: "this key is unknown", Remedy: "remove it or correct its spelling",
		})
	}
	faults = append(faults, s.Check()...)
	if len(faults) > 0 {
		return s, &rosebundle.ValidationError{Faults: faults}
	}
	return s, nil
}

// Check returns all faults of the settings.
func (s Settings) Check() []rosebundle.Fault {
	var faults []rosebundle.Fault
	add := func(invalid bool, key, problem, remedy string) {
		if invalid {
			faults = append(faults, rosebundle.Fault{Key: key, Problem: problem, Remedy: remedy})
		}
	}
	add(s.Name == "", "Name", "it is empty", "give the proxy the name that the VM list uses")
	add(s.Zone == "", "Zone", "it is empty", "name the availability zone of this VM")
	add(s.Proxies < 1, "Proxies", fmt.Sprintf("%d is out of range", s.Proxies), "set it to the number of proxies")
	for key, address := range map[string]string{
		"Listen.Callers": s.Listen.Callers, "Listen.Peers": s.Listen.Peers, "Listen.Admin": s.Listen.Admin,
		"Store.Address": s.Store.Address,
	} {
		_, _, err := net.SplitHostPort(address)
		add(err != nil, key, fmt.Sprintf("%q is no host:port", address), "give an IP number and a port")
	}
	for i, seed := range s.Peers.Seeds {
		_, _, err := net.SplitHostPort(seed.Address)
		add(err != nil || seed.Name == "" || seed.Zone == "", fmt.Sprintf("Peers.Seeds[%d]", i),
			"it lacks a name, a zone or a host:port", "give all three")
	}
	_, err := s.Keys()
	add(err != nil, "TokenKeys", fmt.Sprint(trace.UserMessage(err)), "make one with rosemary secret, the same for all proxies")
	add((s.TLS.Certificate == "") != (s.TLS.Key == ""), "TLS", "only one of Certificate and Key is set", "set both or neither")
	add(s.TLS.Required && s.TLS.Certificate == "", "TLS.Required", "there is no certificate", "set Certificate and Key")
	files := 0
	for _, file := range []string{s.Peers.Certificate, s.Peers.Key, s.Peers.Authority} {
		if file != "" {
			files++
		}
	}
	add(files != 0 && files != 3, "Peers", "only some of Certificate, Key and Authority are set", "set all three or none")
	add(len(s.Operators) == 0, "Operators", "no operator's key is there", "list the keys that sign the first bundle")
	for i, o := range s.Operators {
		_, err := o.Key()
		add(err != nil, fmt.Sprintf("Operators[%d].PublicKey", i), "it is not an Ed25519 public key in base64", "paste the line that rosemary bundle key prints")
	}
	add(len(s.Operators) > 0 && (s.Signatures < 1 || s.Signatures > len(s.Operators)), "Signatures",
		fmt.Sprintf("%d signatures are required of %d operators", s.Signatures, len(s.Operators)), "set it between 1 and the number of operators")
	add(s.Limits.Callers < 1, "Limits.Callers", "it is less than 1", "set it to the number of callers that the VM can hold")
	return faults
}

// Keys returns the keys for session tokens.
func (s Settings) Keys() (*rosesession.Keys, error) {
	var keys [][]byte
	for _, text := range s.TokenKeys {
		key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(text))
		if err != nil {
			return nil, trace.BadParameter("a token key is not base64")
		}
		keys = append(keys, key)
	}
	return rosesession.NewKeys(keys...)
}

// CallerTLS returns the TLS configuration for connections from clients, or nil if
// no certificate is set.
func (s Settings) CallerTLS() (*tls.Config, error) {
	if s.TLS.Certificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.TLS.Certificate, s.TLS.Key)
	if err != nil {
		return nil, trace.BadParameter("TLS: can't load Certificate and Key: %v", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

// PeerTLS returns the TLS configuration for both ends of connections between
// proxies, or nil if no certificate is set.
func (s Settings) PeerTLS() (*tls.Config, error) {
	if s.Peers.Certificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.Peers.Certificate, s.Peers.Key)
	if err != nil {
		return nil, trace.BadParameter("Peers: can't load Certificate and Key: %v", err)
	}
	authority, err := os.ReadFile(s.Peers.Authority)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, trace.BadParameter("Peers.Authority: the file contains no valid PEM certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		RootCAs:      pool,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// SeedMembers returns the seeds as members.
func (s Settings) SeedMembers() []rosemary.Member {
	var members []rosemary.Member
	for _, seed := range s.Peers.Seeds {
		members = append(members, rosemary.Member{
			Proxy: rosemary.ProxyID(seed.Name), Zone: rosemary.Zone(seed.Zone), Address: seed.Address,
		})
	}
	return members
}

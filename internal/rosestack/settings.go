package rosestack

import (
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/internal/rosesettings"
)

// demoTokenKey signs the session tokens of a stack's proxies.
const demoTokenKey = "demonstration key, not a secret"

// PlatformAddress returns the address of the simulated platform.
func (s *Stack) PlatformAddress() string { return s.platformAddress }

// WriteSettings writes the operators' private keys and a settings file for each
// proxy of the deployment, so that proxies can run as separate processes.
func (s *Stack) WriteSettings(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	for _, name := range operatorNames {
		key := base64.StdEncoding.EncodeToString(OperatorKey(name)) + "\n"
		if err := os.WriteFile(filepath.Join(directory, name+".key"), []byte(key), 0o600); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	base, err := net.ResolveTCPAddr("tcp", s.Config.Listen)
	if err != nil {
		return trace.BadParameter("listen address %q is not host:port", s.Config.Listen)
	}
	d := s.Config.Deployment
	for i := range d.Proxies {
		if err := s.writeProxySettings(directory, i, base); err != nil {
			return err
		}
	}
	return nil
}

// portStep is the distance between a proxy's ports for clients, peers and
// operators.
const portStep = 100

func (s *Stack) writeProxySettings(directory string, i int, base *net.TCPAddr) error {
	d := s.Config.Deployment
	// Kind is 0 for clients, 1 for peers and 2 for operators.
	address := func(kind, n int) string { return fmt.Sprintf("%s:%d", base.IP, base.Port+kind*portStep+n) }
	settings := rosesettings.Default()
	settings.Name = fmt.Sprintf("proxy-%d", i+1)
	settings.Zone = d.Zones[i%len(d.Zones)]
	settings.Proxies = d.Proxies
	settings.Listen = rosesettings.Listen{Callers: address(0, i), Peers: address(1, i), Admin: address(2, i)}
	settings.Store.Address = s.platformAddress
	settings.TokenKeys = []string{base64.StdEncoding.EncodeToString([]byte(demoTokenKey))}
	list := s.operators()
	settings.Operators, settings.Signatures = list.Operators, list.Signatures
	for j := range d.Proxies {
		if j != i {
			settings.Peers.Seeds = append(settings.Peers.Seeds, rosesettings.Seed{
				Name: fmt.Sprintf("proxy-%d", j+1), Zone: d.Zones[j%len(d.Zones)], Address: address(1, j),
			})
		}
	}
	file, err := os.Create(filepath.Join(directory, settings.Name+".toml"))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	return trace.Wrap(toml.NewEncoder(file).Encode(settings))
}

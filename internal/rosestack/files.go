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

// demonstrationKey signs the session tokens of a stack's proxies.
const demonstrationKey = "demonstration key, not a secret"

// PlatformAddress returns where the stand-in platform listens.
func (s *Stack) PlatformAddress() string { return s.platformAt }

// WriteSettings writes a settings file for each proxy of the deployment, to be
// run as processes of their own, and the operators' keys.
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
	first, err := net.ResolveTCPAddr("tcp", s.Config.Listen)
	if err != nil {
		return trace.BadParameter("%q is no host:port", s.Config.Listen)
	}
	d := s.Config.Deployment
	for i := range d.Proxies {
		if err := s.writeSettings(directory, i, first); err != nil {
			return err
		}
	}
	return nil
}

// portStep separates the ports for callers, peers and operators.
const portStep = 100

func (s *Stack) writeSettings(directory string, i int, first *net.TCPAddr) error {
	d := s.Config.Deployment
	address := func(step, i int) string { return fmt.Sprintf("%s:%d", first.IP, first.Port+step*portStep+i) }
	settings := rosesettings.Default()
	settings.Name = fmt.Sprintf("proxy-%d", i+1)
	settings.Zone = d.Zones[i%len(d.Zones)]
	settings.Proxies = d.Proxies
	settings.Listen = rosesettings.Listen{Callers: address(0, i), Peers: address(1, i), Admin: address(2, i)}
	settings.Store.Address = s.platformAt
	settings.TokenKeys = []string{base64.StdEncoding.EncodeToString([]byte(demonstrationKey))}
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

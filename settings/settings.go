// Package settings reads the settings of one process, which hold what differs
// between instances: addresses, availability zone, role, platform endpoints.
package settings

import (
	"bytes"
	"net"
	"os"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Role is what a process does.
type Role string

// The roles of catkinrudderd.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// Settings are the settings of one catkinrudderd process.
type Settings struct {
	// Instance names the instance, unique within the deployment.
	Instance string `toml:"instance"`
	Role     Role   `toml:"role"`
	Region   string `toml:"region"`
	Zone     string `toml:"availability_zone"`
	// Listen faces callers (entry only). All addresses are IP:port.
	Listen string `toml:"listen,omitempty"`
	// PeerListen faces the system's other processes.
	PeerListen string `toml:"peer_listen"`
	// OperatorListen faces operators: metrics, health, status.
	OperatorListen string   `toml:"operator_listen"`
	Platform       Platform `toml:"platform"`
	// Backend is the backend server beside a sidecar.
	Backend Backend `toml:"backend,omitempty"`
	TLS     TLS     `toml:"tls,omitempty"`
	Limits  Limits  `toml:"limits,omitempty"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Log       string `toml:"log"`
	Instances string `toml:"instances"`
}

// Backend describes the backend server beside a sidecar.
type Backend struct {
	Address string `toml:"address,omitempty"`
	Service string `toml:"service,omitempty"`
}

// TLS is set to serve callers over TLS.
type TLS struct {
	CertFile string `toml:"cert_file,omitempty"`
	KeyFile  string `toml:"key_file,omitempty"`
}

// Limits bound what one process takes.
type Limits struct {
	// MaxBodyBytes bounds a request's body, MaxFileBytes an uploaded file.
	MaxBodyBytes int `toml:"max_body_bytes,omitempty"`
	MaxFileBytes int `toml:"max_file_bytes,omitempty"`
	// AppendsPerSecond is the share of the log's appends this process may use.
	AppendsPerSecond float64 `toml:"appends_per_second,omitempty"`
}

// Default values of the limits.
const (
	DefaultMaxBodyBytes     = 4 << 20
	DefaultMaxFileBytes     = 64 << 20
	DefaultAppendsPerSecond = 50
)

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(raw)
	return s, errors.Wrapf(err, "settings %s", path)
}

// Parse reads and checks settings; unknown keys are errors.
func Parse(raw []byte) (Settings, error) {
	var s Settings
	dec := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, err
	}
	s.SetDefaults()
	return s, s.Validate()
}

// SetDefaults fills what was left out.
func (s *Settings) SetDefaults() {
	if s.Limits.MaxBodyBytes == 0 {
		s.Limits.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if s.Limits.MaxFileBytes == 0 {
		s.Limits.MaxFileBytes = DefaultMaxFileBytes
	}
	if s.Limits.AppendsPerSecond == 0 {
		s.Limits.AppendsPerSecond = DefaultAppendsPerSecond
	}
}

// Validate checks the settings.
func (s *Settings) Validate() error {
	if s.Instance == "" {
		return errors.New("instance: must be set")
	}
	if s.Zone == "" || s.Region == "" {
		return errors.New("region, availability_zone: must be set")
	}
	if err := checkAddr("peer_listen", s.PeerListen); err != nil {
		return err
	}
	if err := checkAddr("platform.instances", s.Platform.Instances); err != nil {
		return err
	}
	switch s.Role {
	case RoleEntry:
		if err := checkAddr("platform.log", s.Platform.Log); err != nil {
			return err
		}
		return checkAddr("listen", s.Listen)
	case RoleSidecar:
		if s.Backend.Service == "" {
			return errors.New("backend.service: must be set for a sidecar")
		}
		return checkAddr("backend.address", s.Backend.Address)
	}
	return errors.Errorf("role: %q is neither %q nor %q", s.Role, RoleEntry, RoleSidecar)
}

func checkAddr(name, addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return errors.Errorf("%s: %q is not IP:port", name, addr)
	}
	if net.ParseIP(host) == nil {
		return errors.Errorf("%s: host %q is not an IP number", name, host)
	}
	return nil
}

// Package settings reads the settings of one process, which hold what differs
// between instances: addresses, availability zone, role, platform endpoints.
package settings

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/desired/stricttoml"
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
	// LogRetention is how long the log service keeps a record.
	LogRetention desired.Duration `toml:"log_retention,omitempty"`
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
	// LinkBatchBytesPerSecond paces the batch bytes that this process sends to
	// or gets from other regions.
	LinkBatchBytesPerSecond int `toml:"link_batch_bytes_per_second,omitempty"`
}

// Default values of the limits.
const (
	DefaultMaxBodyBytes     = 4 << 20
	DefaultMaxFileBytes     = 64 << 20
	DefaultAppendsPerSecond = 50
	// DefaultLinkBatchBytesPerSecond is a tenth of a link of 30 Mbit/s.
	DefaultLinkBatchBytesPerSecond = 375_000
	DefaultLogRetention            = 7 * 24 * time.Hour
	// MinLogRetention is the shortest retention that renewals can keep up with.
	MinLogRetention = 10 * time.Second
)

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return ParseFile(path, raw)
}

// Parse reads and checks settings that come from no file.
func Parse(raw []byte) (Settings, error) { return ParseFile("settings", raw) }

// ParseFile reads and checks the settings in raw; unknown keys are errors. A
// faulty file gives a *stricttoml.Error that lists its problems with name,
// line, column, key and the likely fix.
func ParseFile(name string, raw []byte) (Settings, error) {
	var s Settings
	if err := stricttoml.Decode(name, raw, &s); err != nil {
		return Settings{}, err
	}
	s.SetDefaults()
	return s, stricttoml.Locate(name, raw, s.Validate())
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
	if s.Limits.LinkBatchBytesPerSecond == 0 {
		s.Limits.LinkBatchBytesPerSecond = DefaultLinkBatchBytesPerSecond
	}
	if s.Platform.LogRetention == 0 {
		s.Platform.LogRetention = desired.Duration(DefaultLogRetention)
	}
}

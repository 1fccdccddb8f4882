// Package settings reads the settings of one process. They hold what differs
// between instances: addresses, availability zone, role and platform endpoints.
package settings

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/desired/stricttoml"
)

// Role is the role of a process.
type Role string

// The roles of catkinrudderd.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// Settings are the settings of one catkinrudderd process.
type Settings struct {
	// Instance is the name of the instance, unique within the deployment.
	Instance string `toml:"instance"`
	Role     Role   `toml:"role"`
	Region   string `toml:"region"`
	Zone     string `toml:"availability_zone"`
	// Listen is the address for callers (entry only). All addresses have the
	// form IP:port.
	Listen string `toml:"listen,omitempty"`
	// PeerListen is the address for the other processes of the system.
	PeerListen string `toml:"peer_listen"`
	// OperatorListen is the address for operators: metrics, health and status.
	OperatorListen string   `toml:"operator_listen"`
	Platform       Platform `toml:"platform"`
	// Backend is the backend server of a sidecar.
	Backend Backend `toml:"backend,omitempty"`
	TLS     TLS     `toml:"tls,omitempty"`
	Limits  Limits  `toml:"limits,omitempty"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Log       string `toml:"log"`
	Instances string `toml:"instances"`
	// LogRetention is the time for which the log service keeps a record.
	LogRetention desired.Duration `toml:"log_retention,omitempty"`
}

// Backend describes the backend server of a sidecar.
type Backend struct {
	Address string `toml:"address,omitempty"`
	Service string `toml:"service,omitempty"`
}

// TLS configures TLS for callers; it is off if no file is set.
type TLS struct {
	CertFile string `toml:"cert_file,omitempty"`
	KeyFile  string `toml:"key_file,omitempty"`
}

// Limits bound the resources that one process uses.
type Limits struct {
	// MaxBodyBytes bounds the body of a request and MaxFileBytes an uploaded
	// file.
	MaxBodyBytes int `toml:"max_body_bytes,omitempty"`
	MaxFileBytes int `toml:"max_file_bytes,omitempty"`
	// AppendsPerSecond is the share of the log's append rate that this process
	// may use.
	AppendsPerSecond float64 `toml:"appends_per_second,omitempty"`
	// LinkBatchBytesPerSecond limits the rate of batch bytes that this process
	// sends to or receives from other regions.
	LinkBatchBytesPerSecond int `toml:"link_batch_bytes_per_second,omitempty"`
}

// Default values of the limits.
const (
	DefaultMaxBodyBytes     = 4 << 20
	DefaultMaxFileBytes     = 64 << 20
	DefaultAppendsPerSecond = 50
	// DefaultLinkBatchBytesPerSecond is one tenth of a link of 30 Mbit/s.
	DefaultLinkBatchBytesPerSecond = 375_000
	DefaultLogRetention            = 7 * 24 * time.Hour
	// MinLogRetention is the shortest retention at which renewals are appended
	// in time.
	MinLogRetention = 10 * time.Second
)

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return ParseFile(path, raw)
}

// Parse reads and validates settings that do not come from a file.
func Parse(raw []byte) (Settings, error) { return ParseFile("settings", raw) }

// ParseFile reads and validates the settings in raw. Unknown keys are errors. For
// invalid settings it returns a *stricttoml.Error that lists the problems with
// name, line, column, key and the likely fix.
func ParseFile(name string, raw []byte) (Settings, error) {
	var s Settings
	if err := stricttoml.Decode(name, raw, &s); err != nil {
		return Settings{}, err
	}
	s.SetDefaults()
	return s, stricttoml.Locate(name, raw, s.Validate())
}

// SetDefaults sets the default values of settings that are not set.
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

package settings

import (
	"math"
	"net"
	"strconv"

	"github.com/catkinrudder/catkinrudder/desired/stricttoml"
)

const maxPort = 65535

// Validate checks the settings and returns all problems. Its error is a
// *stricttoml.Error without file positions; ParseFile adds them.
func (s *Settings) Validate() error {
	v := &validator{keysByAddress: make(map[string]string)}
	v.required("instance", s.Instance)
	v.required("region", s.Region)
	v.required("availability_zone", s.Zone)
	v.role(s)
	v.address("peer_listen", s.PeerListen)
	v.address("platform.instances", s.Platform.Instances)
	if s.OperatorListen != "" {
		v.address("operator_listen", s.OperatorListen)
	}
	v.tls(s.TLS)
	v.limits(s.Limits)
	v.retention(s.Platform)
	return v.Err()
}

// validator collects problems. keysByAddress maps each address to the key that
// sets it.
type validator struct {
	stricttoml.Collector
	keysByAddress map[string]string
}

func (v *validator) role(s *Settings) {
	switch s.Role {
	case RoleEntry:
		v.address("platform.log", s.Platform.Log)
		v.address("listen", s.Listen)
	case RoleSidecar:
		v.required("backend.service", s.Backend.Service)
		v.address("backend.address", s.Backend.Address)
	default:
		known := []string{string(RoleEntry), string(RoleSidecar)}
		v.Add("role", stricttoml.Suggest(string(s.Role), known), "unknown role %q", s.Role)
	}
}

func (v *validator) required(key, value string) {
	if value == "" {
		v.Add(key, "", "must be set")
	}
}

func (v *validator) address(key, addr string) {
	const fix = `write an IP number and a port, like "127.0.0.1:9000"`
	if addr == "" {
		v.Add(key, fix, "must be set")
		return
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		v.Add(key, fix, "%q is not IP:port", addr)
		return
	}
	if net.ParseIP(host) == nil {
		v.Add(key, fix, "host %q is not an IP number", host)
	}
	n, err := strconv.Atoi(port)
	if err != nil || n < 0 || n > maxPort {
		v.Add(key, fix, "port %q is not between 0 and %d", port, maxPort)
	}
	if other, ok := v.keysByAddress[addr]; ok && n != 0 {
		v.Add(key, "give each one an address of its own", "%s is already that of %s", addr, other)
	}
	v.keysByAddress[addr] = key
}

func (v *validator) tls(t TLS) {
	if t.CertFile != "" && t.KeyFile == "" {
		v.Add("tls.key_file", "", "must be set with tls.cert_file")
	}
	if t.KeyFile != "" && t.CertFile == "" {
		v.Add("tls.cert_file", "", "must be set with tls.key_file")
	}
}

func (v *validator) limits(l Limits) {
	if l.MaxBodyBytes < 0 {
		v.Add("limits.max_body_bytes", "", "%d is negative", l.MaxBodyBytes)
	}
	if l.MaxFileBytes < 0 {
		v.Add("limits.max_file_bytes", "", "%d is negative", l.MaxFileBytes)
	}
	if l.LinkBatchBytesPerSecond < 0 {
		v.Add("limits.link_batch_bytes_per_second", "", "%d is negative", l.LinkBatchBytesPerSecond)
	}
	if !(l.AppendsPerSecond > 0) || math.IsInf(l.AppendsPerSecond, 0) {
		v.Add("limits.appends_per_second", "", "%v is not a rate", l.AppendsPerSecond)
	}
}

func (v *validator) retention(p Platform) {
	if d := p.LogRetention.Std(); d < MinLogRetention {
		v.Add("platform.log_retention", "", "%s is below the least of %s", d, MinLogRetention)
	}
}

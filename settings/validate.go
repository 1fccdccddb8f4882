package settings

import (
	"math"
	"net"
	"strconv"

	"github.com/catkinrudder/catkinrudder/desired/stricttoml"
)

const maxPort = 65535

// Validate checks the settings and reports every problem found. Its error is a
// *stricttoml.Error without places; ParseFile adds them.
func (s *Settings) Validate() error {
	c := &checks{used: make(map[string]string)}
	c.need("instance", s.Instance)
	c.need("region", s.Region)
	c.need("availability_zone", s.Zone)
	c.role(s)
	c.address("peer_listen", s.PeerListen)
	c.address("platform.instances", s.Platform.Instances)
	if s.OperatorListen != "" {
		c.address("operator_listen", s.OperatorListen)
	}
	c.tls(s.TLS)
	c.limits(s.Limits)
	c.retention(s.Platform)
	return c.Err()
}

// checks collects problems; used maps each address to the key it was seen at.
type checks struct {
	stricttoml.Collector
	used map[string]string
}

func (c *checks) role(s *Settings) {
	switch s.Role {
	case RoleEntry:
		c.address("platform.log", s.Platform.Log)
		c.address("listen", s.Listen)
	case RoleSidecar:
		c.need("backend.service", s.Backend.Service)
		c.address("backend.address", s.Backend.Address)
	default:
		known := []string{string(RoleEntry), string(RoleSidecar)}
		c.Add("role", stricttoml.Suggest(string(s.Role), known), "unknown role %q", s.Role)
	}
}

func (c *checks) need(key, value string) {
	if value == "" {
		c.Add(key, "", "must be set")
	}
}

func (c *checks) address(key, addr string) {
	const fix = `write an IP number and a port, like "127.0.0.1:9000"`
	if addr == "" {
		c.Add(key, fix, "must be set")
		return
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		c.Add(key, fix, "%q is not IP:port", addr)
		return
	}
	if net.ParseIP(host) == nil {
		c.Add(key, fix, "host %q is not an IP number", host)
	}
	n, err := strconv.Atoi(port)
	if err != nil || n < 0 || n > maxPort {
		c.Add(key, fix, "port %q is not between 0 and %d", port, maxPort)
	}
	if other, ok := c.used[addr]; ok && n != 0 {
		c.Add(key, "give each one an address of its own", "%s is already that of %s", addr, other)
	}
	c.used[addr] = key
}

func (c *checks) tls(t TLS) {
	if t.CertFile != "" && t.KeyFile == "" {
		c.Add("tls.key_file", "", "must be set with tls.cert_file")
	}
	if t.KeyFile != "" && t.CertFile == "" {
		c.Add("tls.cert_file", "", "must be set with tls.key_file")
	}
}

func (c *checks) limits(l Limits) {
	if l.MaxBodyBytes < 0 {
		c.Add("limits.max_body_bytes", "", "%d is negative", l.MaxBodyBytes)
	}
	if l.MaxFileBytes < 0 {
		c.Add("limits.max_file_bytes", "", "%d is negative", l.MaxFileBytes)
	}
	if l.LinkBatchBytesPerSecond < 0 {
		c.Add("limits.link_batch_bytes_per_second", "", "%d is negative", l.LinkBatchBytesPerSecond)
	}
	if !(l.AppendsPerSecond > 0) || math.IsInf(l.AppendsPerSecond, 0) {
		c.Add("limits.appends_per_second", "", "%v is not a rate", l.AppendsPerSecond)
	}
}

func (c *checks) retention(p Platform) {
	if d := p.LogRetention.Std(); d < MinLogRetention {
		c.Add("platform.log_retention", "", "%s is below the least of %s", d, MinLogRetention)
	}
}

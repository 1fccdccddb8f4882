package gateway

import (
	"github.com/catkinrudder/catkinrudder/balance"
)

const (
	// itemCrossing is the reason of items of batch jobs: they go where a slot is free.
	itemCrossing = "item"
	// unknownZone stands for all zones that the settings do not name.
	unknownZone = "unknown"
)

// SetZones sets the gateway's zone and all zones that may have series. It is called before the first
// request.
func (m *Metrics) SetZones(own string, regionOf map[string]string) {
	m.zone = own
	m.zones = map[string]bool{own: true}
	for zone := range regionOf {
		m.zones[zone] = true
	}
}

// crossed counts an attempt that goes to a backend server in a zone.
func (m *Metrics) crossed(to string, reason balance.Crossing) {
	m.set.GetOrCreateCounter(series("catkinrudder_gateway_zone_attempts_total", label{"from", m.zone}, label{"to", m.known(to)}, label{"reason", string(reason)})).Inc()
}

// Transferred counts the bytes of the bodies of a request, which went to a backend server in a zone,
// and of its response. reason is empty for an item.
func (m *Metrics) Transferred(to, reason string, bytes int64) {
	if reason == "" {
		reason = itemCrossing
	}
	m.set.GetOrCreateCounter(series("catkinrudder_gateway_zone_bytes_total", label{"from", m.zone}, label{"to", m.known(to)}, label{"reason", reason})).AddInt64(bytes)
}

// known returns a zone that may have series.
func (m *Metrics) known(zone string) string {
	if !m.zones[zone] {
		return unknownZone
	}
	return zone
}

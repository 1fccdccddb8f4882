// Package proctest runs the real programs as separate processes on loopback,
// for tests of failures. The platform and the backend servers are stand-ins in
// the calling process, so that what they ran is known whatever is killed, and
// TCP forwarders stand on the links so that these can be cut, stalled or slowed.
package proctest

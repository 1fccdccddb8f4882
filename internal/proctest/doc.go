// Package proctest runs the real programs as separate processes on loopback
// addresses, for tests of failures. The platform and the backend servers are
// stand-ins in the calling process, so that their executions stay observable
// whichever process is killed. TCP forwarders on the links can cut, stall or delay
// the traffic.
package proctest

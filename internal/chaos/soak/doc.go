// Package soak plays rounds of load under faults against gateway processes on
// the platform's adapter, and judges them by what callers and backend servers
// saw. The gateways are the real program; the store and the backend servers are
// those of platformtest, reached through forwarders. A seed fixes the schedule of
// operations and faults, not the interleaving of the processes.
package soak

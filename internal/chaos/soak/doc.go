// Package soak runs rounds of load under faults against gateway processes on the
// platform's adapter, and checks what callers and backend servers observed. The gateways
// run the real program. The store and the backend servers are those of platformtest and
// are reached through forwarders. A seed determines the schedule of operations and
// faults, not the interleaving of the processes.
package soak

// Package soak runs rounds of load under faults against gateway processes, and checks what
// callers and backend servers observed. The gateways run catkinrudder-gateway, which uses
// the adapter of package platform. The store and the backend servers are the stand-ins of
// package platformtest and are reached through forwarders. A seed determines the schedule of operations and
// faults, not the interleaving of the processes.
package soak

// Package chaos runs rounds of a workload under faults against real processes and
// checks invariants over the complete history: the responses that callers received,
// what the backend servers executed and what the log holds.
//
// A seed determines the schedule: which operations are sent when, by whom and with
// which content, and which faults are injected when and where. It does not determine
// the interleaving, which depends on the processes and the machine. A seed that failed
// once may pass when it is run again.
package chaos

// Package chaos runs rounds of a workload under faults against real processes
// and checks what must always hold over the whole history: what callers were
// told, what the backend servers ran and what the log holds.
//
// A seed fixes the schedule: which operations are sent when, by whom and with
// which content, and which faults strike when and where. It does not fix the
// interleaving, since real processes on a real machine decide that; a seed
// that failed once may pass when it is run again.
package chaos

// Package spec contains Promela specifications of the core protocols, which its
// README describes. The Go files contain only tests.
package spec

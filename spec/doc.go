// Package spec holds Promela specifications of the core protocols; see its
// README. The package has tests only.
package spec

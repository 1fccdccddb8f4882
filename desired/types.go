// Package desired holds the desired state that operators publish. It consists of
// whole TOML documents, which are validated strictly and accepted in log order if
// they are based on the version in force. The version number never decreases.
package desired

import "time"

// Duration is a time.Duration that is written as in "1.4s" in TOML.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// ServiceKind distinguishes model engines from plain services.
type ServiceKind string

// The kinds of services.
const (
	Model ServiceKind = "model"
	Plain ServiceKind = "plain"
)

// LogDownRule determines how a service handles replies that it must record while
// the log service is down.
type LogDownRule string

// The rules for a log outage.
const (
	// AnswerUnrecorded returns the reply although it is not recorded.
	AnswerUnrecorded LogDownRule = "answer_unrecorded"
	// RefuseNotRun refuses the request before it is run.
	RefuseNotRun LogDownRule = "refuse"
)

// Document is one complete desired state.
type Document struct {
	// Base is the version that the document is based on.
	Base       uint64      `toml:"base"`
	Workspaces []Workspace `toml:"workspace,omitempty"`
	Services   []Service   `toml:"service"`
}

// Workspace is a customer, which owns files, jobs, results, idempotency keys and
// limits.
type Workspace struct {
	Name string `toml:"name"`
	// KeySHA256 lists the hexadecimal SHA-256 hashes of the bearer keys.
	KeySHA256 []string `toml:"key_sha256"`
	Limits    Limits   `toml:"limits,omitempty"`
}

// Limits bound the resources that one workspace may use; zero means unlimited.
type Limits struct {
	RequestsPerSecond float64 `toml:"requests_per_second,omitempty"`
	Burst             int     `toml:"burst,omitempty"`
	MaxOnline         int     `toml:"max_online,omitempty"`
	MaxJobs           int     `toml:"max_jobs,omitempty"`
}

// Service is a service for online and batch requests.
type Service struct {
	Name string      `toml:"name"`
	Kind ServiceKind `toml:"kind"`
	// Models lists the model names that callers may request. Only a model service
	// has models.
	Models []string `toml:"models,omitempty"`
	// Deploy lists what the backend servers load, in order of importance. If it is
	// empty, the backend servers are not changed and serve every model of Models.
	Deploy []Deployment `toml:"deploy,omitempty"`
	// OnlineWeight and BatchWeight weigh online tail latency against batch
	// throughput; only their ratio matters.
	OnlineWeight float64 `toml:"online_weight,omitempty"`
	BatchWeight  float64 `toml:"batch_weight,omitempty"`
	// TTFTTarget and TBTTarget are the time to first token and the time between
	// tokens that 95 of 100 online requests should meet.
	TTFTTarget Duration `toml:"ttft_target,omitempty"`
	TBTTarget  Duration `toml:"tbt_target,omitempty"`
	// Deadline is the maximum duration of an online request.
	Deadline Duration `toml:"deadline,omitempty"`
	// Slots is the number of attempts that one backend server runs concurrently.
	Slots int `toml:"slots,omitempty"`
	// Store records every reply; the store field of a request overrides it.
	Store   bool        `toml:"store,omitempty"`
	LogDown LogDownRule `toml:"log_down,omitempty"`
	// ResultRetention is the time for which results remain readable.
	ResultRetention Duration `toml:"result_retention,omitempty"`
	// MaxTries bounds the number of attempts of one batch item.
	MaxTries int `toml:"max_tries,omitempty"`
	// ChecksFencing reports whether the backend servers refuse orders with an old
	// fencing token.
	ChecksFencing bool `toml:"checks_fencing,omitempty"`
	// SharePrefixes allows prompt caches to be shared across workspaces.
	SharePrefixes bool `toml:"share_prefixes,omitempty"`
	// Calls lists the calls of a plain service that need special handling.
	Calls []Call `toml:"call,omitempty"`
}

// Deployment is a model that backend servers load.
type Deployment struct {
	Model   string `toml:"model"`
	Version string `toml:"version"`
	// Adapters are loaded together with the model.
	Adapters []string `toml:"adapters,omitempty"`
	// Role is passed to the engine, as in "prefill"; it may be empty.
	Role string `toml:"role,omitempty"`
	// Replicas is the minimum number of backend servers that load it.
	Replicas int `toml:"replicas,omitempty"`
}

// Call describes calls of a plain service. Path may end in "*" to match a prefix.
type Call struct {
	Method        string `toml:"method"`
	Path          string `toml:"path"`
	NonIdempotent bool   `toml:"non_idempotent,omitempty"`
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

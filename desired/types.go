// Package desired holds the operators' desired state: whole TOML documents,
// checked strictly, accepted in log order against the version they were based
// on, and never lowered.
package desired

import "time"

// Duration is a time.Duration written like "1.4s" in TOML.
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

// ServiceKind tells a model engine from a plain service.
type ServiceKind string

// The kinds of service.
const (
	Model ServiceKind = "model"
	Plain ServiceKind = "plain"
)

// LogDownRule is what a service does with replies it must record while the
// log service is down.
type LogDownRule string

// The rules for a log outage.
const (
	AnswerUnrecorded LogDownRule = "answer_unrecorded"
	RefuseNotRun     LogDownRule = "refuse"
)

// Document is one whole desired state.
type Document struct {
	// Base is the version the document was based on.
	Base       uint64      `toml:"base"`
	Workspaces []Workspace `toml:"workspace,omitempty"`
	Services   []Service   `toml:"service"`
}

// Workspace owns files, jobs, results, idempotency keys and limits.
type Workspace struct {
	Name string `toml:"name"`
	// KeySHA256 lists the hashes of its bearer keys, in hexadecimal.
	KeySHA256 []string `toml:"key_sha256"`
	Limits    Limits   `toml:"limits,omitempty"`
}

// Limits bound what one workspace may use; zero is unlimited.
type Limits struct {
	RequestsPerSecond float64 `toml:"requests_per_second,omitempty"`
	Burst             int     `toml:"burst,omitempty"`
	MaxOnline         int     `toml:"max_online,omitempty"`
	MaxJobs           int     `toml:"max_jobs,omitempty"`
}

// Service is one online and batch service.
type Service struct {
	Name string      `toml:"name"`
	Kind ServiceKind `toml:"kind"`
	// Models are the model names callers may ask for; a model service only.
	Models []string `toml:"models,omitempty"`
	// Deploy says what the backend servers are to load, in order of importance.
	// Without it they are left as they are and serve every model of Models.
	Deploy []Deploy `toml:"deploy,omitempty"`
	// OnlineWeight and BatchWeight trade the online tail against batch
	// throughput; only their ratio matters.
	OnlineWeight float64 `toml:"online_weight,omitempty"`
	BatchWeight  float64 `toml:"batch_weight,omitempty"`
	// TTFTTarget and TBTTarget are the time to first token and the time
	// between tokens that 95 in 100 online requests should meet.
	TTFTTarget Duration `toml:"ttft_target,omitempty"`
	TBTTarget  Duration `toml:"tbt_target,omitempty"`
	// Deadline is how long an online request may take.
	Deadline Duration `toml:"deadline,omitempty"`
	// Slots is how many attempts one backend server takes at once.
	Slots int `toml:"slots,omitempty"`
	// Store records every reply; a request's own store field overrides it.
	Store   bool        `toml:"store,omitempty"`
	LogDown LogDownRule `toml:"log_down,omitempty"`
	// ResultRetention is how long results stay readable.
	ResultRetention Duration `toml:"result_retention,omitempty"`
	// MaxTries bounds the tries of one batch item.
	MaxTries int `toml:"max_tries,omitempty"`
	// ChecksFencing says that the backend servers refuse old fencing numbers.
	ChecksFencing bool `toml:"checks_fencing,omitempty"`
	// SharePrefixes lets prompt caches be used across workspaces.
	SharePrefixes bool `toml:"share_prefixes,omitempty"`
	// Calls lists the plain service's calls that need care.
	Calls []Call `toml:"call,omitempty"`
}

// Deploy is one model as backend servers are to load it.
type Deploy struct {
	Model   string `toml:"model"`
	Version string `toml:"version"`
	// Adapters are loaded beside the model.
	Adapters []string `toml:"adapters,omitempty"`
	// Role is passed on to the engine, like "prefill"; may be empty.
	Role string `toml:"role,omitempty"`
	// Replicas is how many backend servers load it at least.
	Replicas int `toml:"replicas,omitempty"`
}

// Call marks one call of a plain service. Path may end in "*".
type Call struct {
	Method        string `toml:"method"`
	Path          string `toml:"path"`
	NonIdempotent bool   `toml:"non_idempotent,omitempty"`
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

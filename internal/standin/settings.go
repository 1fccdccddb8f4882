// Package standin provides small stand-ins for the services that the system
// depends on: the platform's log service and instance list, a model engine, a
// weight store and a plain service.
package standin

import (
	"bytes"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/internal/logservice"
)

// Settings configure the stand-ins that one process serves. Addresses are
// IP:port.
type Settings struct {
	Log       LogSettings       `toml:"log,omitempty"`
	Instances InstancesSettings `toml:"instances,omitempty"`
	Engines   []EngineSettings  `toml:"engine,omitempty"`
	Plain     []PlainSettings   `toml:"plain,omitempty"`
	Weights   WeightSettings    `toml:"weights,omitempty"`
}

// WeightSettings configure the weight store.
type WeightSettings struct {
	Listen string `toml:"listen,omitempty"`
	// LoadTime is how long the store takes to send one model to one engine.
	// Engines that load at the same time share the store's rate.
	LoadTime desired.Duration `toml:"load_time,omitempty"`
}

// LogSettings configure the log service.
type LogSettings struct {
	Listen string `toml:"listen,omitempty"`
	// Retention is how long records are kept. Zero keeps them forever.
	Retention desired.Duration `toml:"retention,omitempty"`
}

// InstancesSettings configure the instance list.
type InstancesSettings struct {
	Listen string        `toml:"listen,omitempty"`
	List   []InstanceRow `toml:"instance,omitempty"`
}

// InstanceRow describes one instance of the list.
type InstanceRow struct {
	Name     string `toml:"instance"`
	Role     string `toml:"role"`
	Service  string `toml:"service,omitempty"`
	Region   string `toml:"region"`
	Zone     string `toml:"availability_zone"`
	PeerAddr string `toml:"peer_addr"`
}

// EngineSettings configure one model engine.
type EngineSettings struct {
	Listen string   `toml:"listen"`
	Models []string `toml:"models"`
	// Version is the model version that is loaded at startup.
	Version string `toml:"version,omitempty"`
	// Weights is the weight store's address. Without it, loading takes no time.
	Weights string `toml:"weights,omitempty"`
	// ChecksFencing makes the engine reject a load command with an old fencing
	// number.
	ChecksFencing bool `toml:"checks_fencing,omitempty"`
	// StepBase is the fixed duration of one step. StepPerStream is added to it
	// for each running stream.
	StepBase      desired.Duration `toml:"step_base,omitempty"`
	StepPerStream desired.Duration `toml:"step_per_stream,omitempty"`
	// PrefillPerToken is added for each prompt token to the step that prefills it.
	PrefillPerToken desired.Duration `toml:"prefill_per_token,omitempty"`
}

// PlainSettings configure one plain service.
type PlainSettings struct {
	Listen string           `toml:"listen"`
	Delay  desired.Duration `toml:"delay,omitempty"`
}

const (
	defaultStepBase        = 5 * time.Millisecond
	defaultStepPerStream   = 200 * time.Microsecond
	defaultPrefillPerToken = 20 * time.Microsecond
)

// Load reads a settings file. Unknown keys are errors.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "standin settings")
	}
	var s Settings
	dec := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, errors.Wrapf(err, "standin settings %s", path)
	}
	return s, nil
}

func (e *EngineSettings) setDefaults() {
	if e.StepBase == 0 {
		e.StepBase = desired.Duration(defaultStepBase)
	}
	if e.StepPerStream == 0 {
		e.StepPerStream = desired.Duration(defaultStepPerStream)
	}
	if e.PrefillPerToken == 0 {
		e.PrefillPerToken = desired.Duration(defaultPrefillPerToken)
	}
}

func (r InstanceRow) instance() logservice.Instance {
	return logservice.Instance{
		Name: r.Name, Role: r.Role, Service: r.Service,
		Region: r.Region, Zone: r.Zone, PeerAddr: r.PeerAddr,
		State: logservice.Live,
	}
}

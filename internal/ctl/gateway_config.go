package ctl

import (
	"context"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/platform"
)

const (
	flagAgainst       = "against"
	flagPlatformStore = "store"
)

// checkGatewayCommand checks a configuration of the gateways before it is written to the store.
func (t Tool) checkGatewayCommand() *cli.Command {
	return &cli.Command{
		Name: "check-gateway", Usage: "check a configuration of the gateways and compare it with the version in force", ArgsUsage: "FILE",
		Action: withTimeout(t.checkGateway),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagAgainst, Usage: "`FILE` of the version in force"},
			&cli.StringFlag{Name: flagPlatformStore, Usage: "platform's store to read the version in force from, `IP:PORT`", Sources: cli.EnvVars("CATKINRUDDER_STORE")},
		},
	}
}

// gatewayCheck is the result of check-gateway.
type gatewayCheck struct {
	File     string            `json:"file"`
	Version  int64             `json:"version"`
	Valid    bool              `json:"valid"`
	Findings []catalog.Finding `json:"findings"`
	// InForce is the version that Differences refers to; 0 if there was none to compare with.
	InForce     int64                `json:"in_force,omitempty"`
	Differences []catalog.Difference `json:"differences,omitempty"`
}

func (t Tool) checkGateway(ctx context.Context, c *cli.Command) error {
	file, err := oneArg(c, "file")
	if err != nil {
		return err
	}
	config, err := readGatewayConfig(file)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	current, err := inForceAtGateways(ctx, c)
	if err != nil {
		return err
	}
	r := gatewayCheck{File: file, Version: config.Version, Findings: config.Check()}
	if current != nil {
		r.InForce, r.Differences = current.Version, catalog.Diff(current, config)
		r.Findings = append(r.Findings, checkSuccession(current, config)...)
	}
	r.Valid = !hasErrors(r.Findings)
	if err := t.printGatewayCheck(c, r); err != nil {
		return err
	}
	if !r.Valid {
		return withCode(ExitUsage, errors.Errorf("%s is not a valid configuration", file))
	}
	return nil
}

// readGatewayConfig reads a file with the decoder that the gateways use.
func readGatewayConfig(file string) (*catalog.Config, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the configuration")
	}
	config, err := platform.DecodeConfig(raw)
	return config, errors.Wrap(err, file)
}

// inForceAtGateways returns the configuration to compare with, or nil if none is named.
func inForceAtGateways(ctx context.Context, c *cli.Command) (*catalog.Config, error) {
	if file := c.String(flagAgainst); file != "" {
		config, err := readGatewayConfig(file)
		if err != nil {
			return nil, withCode(ExitUsage, err)
		}
		return config, nil
	}
	address := c.String(flagPlatformStore)
	if address == "" {
		return nil, nil
	}
	page, err := platform.NewStore(address).Newest(ctx, keyedlog.Partition{Topic: platform.ConfigTopic}, "")
	if err != nil {
		return nil, withCode(ExitUnavailable, err)
	}
	for _, r := range page.Records {
		if r.Key == platform.ConfigKey {
			config, err := platform.DecodeConfig(r.Value)
			return config, errors.Wrap(err, "the version in force")
		}
	}
	return nil, nil
}

// checkSuccession returns the finding that gateways would ignore a configuration as an older one.
func checkSuccession(current, next *catalog.Config) []catalog.Finding {
	if next.Version > current.Version {
		return nil
	}
	return []catalog.Finding{{
		Severity: catalog.Error, Place: "version",
		Message: "is not above the version in force: gateways would ignore the configuration",
	}}
}

func hasErrors(findings []catalog.Finding) bool {
	for _, f := range findings {
		if f.Severity == catalog.Error {
			return true
		}
	}
	return false
}

func (t Tool) printGatewayCheck(c *cli.Command, r gatewayCheck) error {
	if c.Bool(flagJSON) {
		return t.writeJSON(r)
	}
	for _, f := range r.Findings {
		t.printf("%s: %s\n", r.File, f)
	}
	if r.InForce > 0 {
		t.printf("against version %d:\n%s", r.InForce, differenceLines(r.Differences))
	}
	if r.Valid {
		t.printf("%s: valid, version %d\n", r.File, r.Version)
	}
	return nil
}

func differenceLines(differences []catalog.Difference) string {
	if len(differences) == 0 {
		return "  no difference\n"
	}
	var b strings.Builder
	for _, d := range differences {
		b.WriteString("  " + d.String() + "\n")
	}
	return b.String()
}

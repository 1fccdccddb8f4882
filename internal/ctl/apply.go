package ctl

import (
	"context"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/catkinrudder/catkinrudder/desired"
)

// apply publishes a desired state file. A conflict with a version in force that
// has the same content is reported as success, so that a command whose response
// was lost can be repeated.
func (t Tool) apply(ctx context.Context, c *cli.Command) error {
	file, err := oneArg(c, "file")
	if err != nil {
		return err
	}
	pub, err := readDocument(c, file)
	if err != nil {
		return err
	}
	p, err := t.publisher(c)
	if err != nil {
		return err
	}
	v, err := p.Publish(ctx, pub)
	if err != nil {
		return withLogServiceCode(err)
	}
	if v.State == desired.Conflicted {
		if same, version := t.alreadyInForce(ctx, p, pub); same {
			return t.reportUnchanged(c, version)
		}
	}
	if c.Bool(flagJSON) {
		if err := t.writeJSON(v); err != nil {
			return err
		}
	}
	return t.reportVerdict(c, file, v)
}

// withLogServiceCode sets the exit code ExitUnavailable on an error that has no
// exit code of its own, which is an error of the log service. ErrNothingToRecover
// keeps ExitFailed.
func withLogServiceCode(err error) error {
	if code := exitCode(err); code != ExitFailed || errors.Is(err, desired.ErrNothingToRecover) {
		return err
	}
	return withCode(ExitUnavailable, err)
}

// alreadyInForce reports whether the version in force has the content of the
// publication, as after a publication whose response was lost. It also returns
// the number of that version.
func (t Tool) alreadyInForce(ctx context.Context, p *desired.Publisher, pub desired.Publication) (bool, uint64) {
	s, err := p.Read(ctx)
	if err != nil || s.InForce == nil {
		return false, 0
	}
	d, err := desired.Parse("document", pub.Document)
	return err == nil && len(desired.Diff(s.InForce.Document, d)) == 0, s.InForce.Number
}

func (t Tool) reportUnchanged(c *cli.Command, version uint64) error {
	if c.Bool(flagJSON) {
		return t.writeJSON(desired.Verdict{State: desired.Accepted, Version: version})
	}
	t.printf("already in force as version %d, nothing published\n", version)
	return nil
}

func (t Tool) reportVerdict(c *cli.Command, file string, v desired.Verdict) error {
	switch v.State {
	case desired.Accepted, desired.Superseded:
		if !c.Bool(flagJSON) {
			t.printf("%s: %s\n", file, v)
		}
		return nil
	case desired.Conflicted:
		return withCode(ExitConflict, errors.Errorf(
			"%s: %s\nnothing changed; review the version in force with \"get\" and \"diff %s\", merge, set base = %d and apply again", file, v, file, v.Winner))
	}
	return withCode(ExitFailed, errors.Errorf("%s: %s", file, v))
}

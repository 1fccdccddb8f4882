package ctl

import (
	"context"
	"fmt"
	"os/user"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/desired/stricttoml"
)

const (
	flagBase    = "base"
	flagAuthor  = "author"
	flagNote    = "note"
	flagRecover = "recover"
	flagVersion = "number"
)

func (t Tool) desiredCommands() []*cli.Command {
	return []*cli.Command{
		{Name: "check", Usage: "check desired state files", ArgsUsage: "FILE...", Action: t.check},
		t.checkGatewayCommand(),
		{Name: "diff", Usage: "compare a file with the version in force", ArgsUsage: "FILE", Action: withTimeout(t.diff)},
		{
			Name: "apply", Usage: "publish a complete desired state", ArgsUsage: "FILE", Action: withTimeout(t.apply),
			Flags: []cli.Flag{
				&cli.Uint64Flag{Name: flagBase, Usage: "`VERSION` that the file is based on (default: base in the file)"},
				&cli.StringFlag{Name: flagAuthor, Usage: "author of the publication", Value: userName()},
				&cli.StringFlag{Name: flagNote, Usage: "reason for the publication"},
				&cli.BoolFlag{Name: flagRecover, Usage: "publish even if the log has lost every copy of the version in force"},
			},
		},
		{
			Name: "get", Usage: "print the version in force so that it can be edited and applied", Action: withTimeout(t.get),
			Flags: []cli.Flag{&cli.Uint64Flag{Name: flagVersion, Usage: "print an older `VERSION` instead"}},
		},
		{Name: "history", Usage: "list the publications", Action: withTimeout(t.history)},
	}
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// fileCheck is the result of check for one file.
type fileCheck struct {
	File     string               `json:"file"`
	Valid    bool                 `json:"valid"`
	Problems []stricttoml.Problem `json:"problems,omitempty"`
}

func (t Tool) check(_ context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return withCode(ExitUsage, errors.New("check: FILE is missing"))
	}
	var results []fileCheck
	var first error
	for _, file := range c.Args().Slice() {
		r, err := checkFile(file)
		if err != nil && first == nil {
			first = withCode(ExitUsage, errors.Errorf("%s is not a valid desired state", file))
		}
		results = append(results, r)
	}
	if c.Bool(flagJSON) {
		if err := t.writeJSON(results); err != nil {
			return err
		}
		return first
	}
	for _, r := range results {
		t.printCheck(r)
	}
	return first
}

func checkFile(file string) (fileCheck, error) {
	_, _, err := desired.Load(file)
	r := fileCheck{File: file, Valid: err == nil}
	var invalid *stricttoml.Error
	switch {
	case errors.As(err, &invalid):
		r.Problems = invalid.Problems
	case err != nil:
		r.Problems = []stricttoml.Problem{{File: file, Message: err.Error()}}
	}
	return r, err
}

func (t Tool) printCheck(r fileCheck) {
	if r.Valid {
		t.printf("%s: valid\n", r.File)
	}
	for _, p := range r.Problems {
		t.printf("%s\n", p)
	}
}

func (t Tool) diff(ctx context.Context, c *cli.Command) error {
	file, err := oneArg(c, "file")
	if err != nil {
		return err
	}
	to, _, err := desired.Load(file)
	if err != nil {
		return err
	}
	current, err := t.inForce(ctx, c)
	if err != nil {
		return err
	}
	changes := desired.Diff(current.Document, to)
	if c.Bool(flagJSON) {
		return t.writeJSON(struct {
			Version uint64           `json:"version"`
			Changes []desired.Change `json:"changes"`
		}{current.Number, changes})
	}
	t.printChanges(current.Number, changes)
	return nil
}

func (t Tool) printChanges(version uint64, changes []desired.Change) {
	if len(changes) == 0 {
		t.printf("no difference from version %d\n", version)
	}
	for _, change := range changes {
		t.printf("%s\n", change)
	}
}

// inForce returns the version in force, or the zero version if there is none yet.
func (t Tool) inForce(ctx context.Context, c *cli.Command) (desired.Version, error) {
	p, err := t.publisher(c)
	if err != nil {
		return desired.Version{}, err
	}
	s, err := p.Read(ctx)
	if err != nil {
		return desired.Version{}, withCode(ExitUnavailable, err)
	}
	if !s.Known {
		return desired.Version{}, errors.New("the log no longer contains the version in force; see docs/OPERATIONS.md, lost configuration")
	}
	if s.InForce == nil {
		return desired.Version{}, nil
	}
	return *s.InForce, nil
}

func (t Tool) get(ctx context.Context, c *cli.Command) error {
	number := c.Uint64(flagVersion)
	if c.IsSet(flagVersion) {
		return t.getVersion(ctx, c, number)
	}
	v, err := t.inForce(ctx, c)
	if err != nil {
		return err
	}
	if v.Number == 0 {
		return errors.New("no version is in force yet")
	}
	return t.printDocument(c, v.Number, v.Raw)
}

func (t Tool) getVersion(ctx context.Context, c *cli.Command, number uint64) error {
	p, err := t.publisher(c)
	if err != nil {
		return err
	}
	raw, err := p.Document(ctx, number)
	if err != nil {
		return err
	}
	return t.printDocument(c, number, raw)
}

// printDocument prints a document with its version number set as the base.
func (t Tool) printDocument(c *cli.Command, number uint64, raw []byte) error {
	if c.Bool(flagJSON) {
		return t.writeJSON(struct {
			Version  uint64 `json:"version"`
			Document string `json:"document"`
		}{number, string(raw)})
	}
	text, err := desired.WithBase(raw, number)
	if err != nil {
		return err
	}
	t.printf("%s", text)
	return nil
}

func (t Tool) history(ctx context.Context, c *cli.Command) error {
	p, err := t.publisher(c)
	if err != nil {
		return err
	}
	s, err := p.Read(ctx)
	if err != nil {
		return withCode(ExitUnavailable, err)
	}
	if c.Bool(flagJSON) {
		return t.writeJSON(struct {
			Publications []desired.Verdict `json:"publications"`
		}{s.History})
	}
	w := tabwriter.NewWriter(t.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "OFFSET\tVERSION\tBASE\tAUTHOR\tNOTE\tRESULT")
	for _, v := range s.History {
		_, _ = fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%s\t%s\n", v.Offset, versionText(v), v.Base, v.Author, v.Note, v)
	}
	return errors.Wrap(w.Flush(), "write history")
}

func versionText(v desired.Verdict) string {
	if !v.Accepted() {
		return "-"
	}
	return fmt.Sprint(v.Version)
}

// readDocument reads and validates the file to publish.
func readDocument(c *cli.Command, file string) (desired.Publication, error) {
	d, raw, err := desired.Load(file)
	if err != nil {
		return desired.Publication{}, err
	}
	base := d.Base
	if c.IsSet(flagBase) {
		base = c.Uint64(flagBase)
	}
	return desired.Publication{
		Base: base, Document: raw, Author: c.String(flagAuthor),
		Note: c.String(flagNote), Recover: c.Bool(flagRecover),
	}, nil
}

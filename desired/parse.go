package desired

import (
	"bytes"
	"fmt"
	"os"
	"regexp"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/desired/stricttoml"
)

// MaxDocumentBytes bounds the size of a document.
const MaxDocumentBytes = 256 << 10

// Parse reads a complete document strictly, sets the defaults and validates it.
// name is used only in errors. For an invalid document it returns a
// *stricttoml.Error that lists the problems with their positions.
func Parse(name string, raw []byte) (Document, error) {
	if len(raw) > MaxDocumentBytes {
		return Document{}, errors.Errorf("%s: %d bytes, more than %d", name, len(raw), MaxDocumentBytes)
	}
	var d Document
	if err := stricttoml.Decode(name, raw, &d); err != nil {
		return Document{}, err
	}
	d.SetDefaults()
	if err := d.Validate(); err != nil {
		return Document{}, stricttoml.Locate(name, raw, err)
	}
	return d, nil
}

// Load reads a document from a file.
func Load(path string) (Document, []byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Document{}, nil, errors.Wrap(err, "desired state")
	}
	d, err := Parse(path, raw)
	return d, raw, err
}

// Marshal returns the document as TOML that Parse accepts.
func (d Document) Marshal() ([]byte, error) {
	b, err := toml.Marshal(d)
	return b, errors.Wrap(err, "desired state: encode")
}

var baseValue = regexp.MustCompile(`^(\s*base\s*=\s*)[^\s#]+`)

// WithBase returns the document with its base replaced, or added if it has none.
// Comments and order are preserved.
func WithBase(raw []byte, base uint64) ([]byte, error) {
	lines := bytes.SplitAfter(raw, []byte("\n"))
	if at := stricttoml.KeyLine(raw, "base"); at > 0 {
		lines[at-1] = baseValue.ReplaceAll(lines[at-1], fmt.Appendf(nil, "${1}%d", base))
	} else {
		lines = append([][]byte{fmt.Appendf(nil, "base = %d\n", base)}, lines...)
	}
	out := bytes.Join(lines, nil)
	d, err := Parse("document", out)
	if err == nil && d.Base != base {
		err = errors.New("desired: can't set the base of the document")
	}
	return out, err
}

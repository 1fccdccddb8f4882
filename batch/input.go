package batch

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/blob"
)

// errLineTooLong reports a line that is longer than MaxLineBytes.
var errLineTooLong = errors.New("batch: line too long")

// lineReader returns the lines of an input that are not blank.
type lineReader struct {
	r *bufio.Reader
	// offset is the byte offset after the last line, and number its line number.
	offset int64
	number int64
}

func newLineReader(r io.Reader, offset int64) *lineReader {
	return &lineReader{r: bufio.NewReaderSize(r, 64<<10), offset: offset}
}

// next returns a line and the byte offset at which it starts, or io.EOF at the
// end of the input. After errLineTooLong the next line can still be read.
func (l *lineReader) next() ([]byte, int64, error) {
	for {
		start := l.offset
		line, err := l.read()
		if err != nil && !errors.Is(err, errLineTooLong) {
			return nil, 0, err
		}
		if err != nil || len(bytes.TrimSpace(line)) > 0 {
			return line, start, err
		}
	}
}

// read returns one line without its line ending.
func (l *lineReader) read() ([]byte, error) {
	var line []byte
	n := 0
	for {
		part, err := l.r.ReadSlice('\n')
		n += len(part)
		l.offset += int64(len(part))
		if len(line) <= MaxLineBytes {
			line = append(line, part...)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil && (!errors.Is(err, io.EOF) || n == 0) {
			return nil, err
		}
		break
	}
	l.number++
	line = bytes.TrimRight(line, "\r\n")
	if len(line) > MaxLineBytes {
		return nil, errLineTooLong
	}
	return line, nil
}

// inputCheck is the result of validating a job's input: the facts of a Started
// record, or the errors of a Failed one.
type inputCheck struct {
	service string
	total   uint32
	blocks  []int64
	errors  []LineError
}

// Catalog looks up services.
type Catalog interface {
	// ServiceForModel returns the service that serves a model.
	ServiceForModel(model string) (string, bool)
	// HasService reports whether a plain service with that name exists.
	HasService(name string) bool
}

// checkInput reads the whole input of a job. Its memory grows by 28 bytes per
// item, which the detection of duplicate ids needs.
func checkInput(r io.Reader, endpoint string, catalog Catalog) (inputCheck, error) {
	var c inputCheck
	seen := make(map[[16]byte]uint32)
	lines := newLineReader(r, 0)
	for len(c.errors) < MaxLineErrors {
		raw, at, err := lines.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil && !errors.Is(err, errLineTooLong) {
			return inputCheck{}, err
		}
		if c.total == MaxItems {
			c.addError(lines.number, &LineError{Code: "too_many_requests", Message: fmt.Sprintf("a batch may hold %d requests", MaxItems)})
			break
		}
		if c.total%BlockItems == 0 {
			c.blocks = append(c.blocks, at)
		}
		c.total++
		if err != nil {
			c.addError(lines.number, &LineError{Code: "line_too_large", Message: "the line is longer than 1 MiB"})
			continue
		}
		c.checkLine(raw, lines.number, endpoint, catalog, seen)
	}
	if c.total == 0 {
		c.addError(0, &LineError{Code: "empty_file", Message: "the input file holds no requests", Param: "input_file_id"})
	}
	return c, nil
}

func (c *inputCheck) addError(line int64, le *LineError) {
	le.Line = line
	c.errors = append(c.errors, *le)
}

func (c *inputCheck) checkLine(raw []byte, number int64, endpoint string, catalog Catalog, seen map[[16]byte]uint32) {
	l, le := ParseLine(raw, endpoint)
	if le != nil {
		c.addError(number, le)
		return
	}
	sum := sha256.Sum256([]byte(l.CustomID))
	id := [16]byte(sum[:16])
	if first, ok := seen[id]; ok {
		c.addError(number, &LineError{
			Code: "duplicate_custom_id", Param: "custom_id",
			Message: fmt.Sprintf("custom_id %q was used on line %d already", l.CustomID, first),
		})
		return
	}
	seen[id] = uint32(number)
	service, le := lineService(l, endpoint, catalog)
	switch {
	case le != nil:
		c.addError(number, le)
	case c.service == "":
		c.service = service
	case c.service != service:
		c.addError(number, &LineError{Code: "mismatched_model", Message: "all requests of a batch must go to one service", Param: "body.model"})
	}
}

func lineService(l Line, endpoint string, catalog Catalog) (string, *LineError) {
	if endpoint != EndpointChat {
		name := ServiceOf(l.URL)
		if !catalog.HasService(name) {
			return "", &LineError{Code: "unknown_service", Message: fmt.Sprintf("there is no service %q", name), Param: "url"}
		}
		return name, nil
	}
	model := l.Model()
	if model == "" {
		return "", &LineError{Code: "missing_required_parameter", Message: "body.model is missing", Param: "body.model"}
	}
	name, ok := catalog.ServiceForModel(model)
	if !ok {
		return "", &LineError{Code: "model_not_found", Message: fmt.Sprintf("there is no model %q", model), Param: "body.model"}
	}
	return name, nil
}

// readItems reads count items of a validated input. They must lie in one block.
func readItems(ctx context.Context, store *blob.Store, input blob.Manifest, blocks []int64, first, count uint32) ([][]byte, error) {
	block := first / BlockItems
	if int(block) >= len(blocks) {
		return nil, errors.Errorf("batch: input has no item %d", first)
	}
	lines := newLineReader(store.Open(ctx, input, blocks[block]), blocks[block])
	out := make([][]byte, 0, count)
	for i := block * BlockItems; i < first+count; i++ {
		raw, _, err := lines.next()
		if err != nil {
			return nil, errors.Wrapf(err, "batch: read item %d", i)
		}
		if i >= first {
			out = append(out, raw)
		}
	}
	return out, nil
}

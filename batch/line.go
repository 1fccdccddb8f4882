package batch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// MaxLineBytes bounds the length of one line of a batch input.
const MaxLineBytes = 1 << 20

const (
	maxCustomIDBytes = 512
	maxMethodBytes   = 16
)

// Line is one request of a batch input.
type Line struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// The endpoints of a job.
const (
	EndpointChat     = "/v1/chat/completions"
	EndpointServices = "/services/"
)

// ValidEndpoint reports whether a job may name this endpoint.
func ValidEndpoint(e string) bool {
	if e == EndpointChat {
		return true
	}
	u, err := url.Parse(e)
	return err == nil && u.EscapedPath() == e && !hasDotSegment(u.Path) && ServiceOf(e) != ""
}

// ServiceOf returns the service that a /services/ path names, or "".
func ServiceOf(path string) string {
	rest, ok := strings.CutPrefix(path, EndpointServices)
	if !ok {
		return ""
	}
	rest, _, _ = strings.Cut(rest, "?")
	service, _, _ := strings.Cut(rest, "/")
	return service
}

// ParseLine parses one line of the input of a job with this endpoint. If the line
// is invalid, it returns a LineError without a line number.
func ParseLine(raw []byte, endpoint string) (Line, *LineError) {
	if len(raw) > MaxLineBytes {
		return Line{}, &LineError{Code: "line_too_large", Message: "the line is longer than 1 MiB"}
	}
	var l Line
	if err := json.Unmarshal(raw, &l); err != nil {
		return Line{}, jsonError(err)
	}
	if le := l.check(endpoint); le != nil {
		return Line{}, le
	}
	return l, nil
}

func jsonError(err error) *LineError {
	var typ *json.UnmarshalTypeError
	if errors.As(err, &typ) && typ.Field != "" {
		return &LineError{Code: "invalid_type", Message: typ.Field + " must be a " + typ.Type.String(), Param: typ.Field}
	}
	return &LineError{Code: "invalid_json_line", Message: "the line is not a JSON object: " + err.Error()}
}

func (l Line) check(endpoint string) *LineError {
	missing := func(param string) *LineError {
		return &LineError{Code: "missing_required_parameter", Message: param + " is missing", Param: param}
	}
	switch {
	case l.CustomID == "":
		return missing("custom_id")
	case l.Method == "":
		return missing("method")
	case l.URL == "":
		return missing("url")
	case len(l.CustomID) > maxCustomIDBytes:
		return &LineError{Code: "invalid_value", Message: fmt.Sprintf("custom_id is longer than %d bytes", maxCustomIDBytes), Param: "custom_id"}
	case !validMethod(l.Method):
		return &LineError{Code: "invalid_method", Message: "the method must be an HTTP method in capitals", Param: "method"}
	case !matchesEndpoint(endpoint, l.URL):
		return &LineError{Code: "invalid_url", Message: "the url does not belong to the batch's endpoint " + endpoint, Param: "url"}
	}
	if endpoint != EndpointChat {
		return nil
	}
	if l.Method != "POST" {
		return &LineError{Code: "invalid_method", Message: "the method must be POST", Param: "method"}
	}
	if body := bytes.TrimSpace(l.Body); len(body) == 0 || body[0] != '{' {
		return missing("body")
	}
	return nil
}

func validMethod(m string) bool {
	return strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == "" && len(m) <= maxMethodBytes
}

// hasDotSegment reports whether a path has a "." or ".." segment.
func hasDotSegment(path string) bool {
	for _, part := range strings.Split(path, "/") {
		if part == "." || part == ".." {
			return true
		}
	}
	return false
}

// matchesEndpoint reports whether the URL of a line belongs to a job's endpoint:
// the same path, or a path of the same service below it.
func matchesEndpoint(endpoint, raw string) bool {
	u, err := url.Parse(raw)
	if err != nil || u.Host != "" || u.Scheme != "" {
		return false
	}
	if u.EscapedPath() == endpoint {
		return true
	}
	if endpoint == EndpointChat {
		return false
	}
	return !hasDotSegment(u.Path) && strings.HasPrefix(u.Path, strings.TrimSuffix(endpoint, "/")+"/")
}

// Model returns the model that the body of the line requests, or "".
func (l Line) Model() string {
	var b struct {
		Model string `json:"model"`
	}
	if json.Unmarshal(l.Body, &b) != nil {
		return ""
	}
	return b.Model
}

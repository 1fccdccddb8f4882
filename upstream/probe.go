package upstream

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/serving"
)

// The errors of a probe. After any other error nothing is known of the process.
var (
	// ErrProcessEnded is returned if the process that was asked for no longer serves at its address.
	ErrProcessEnded = errors.New("upstream: the process has ended")
	// ErrUnidentified is returned if a process serves at the address and does not say which one it is.
	ErrUnidentified = errors.New("upstream: the process does not identify itself")
)

// maxIdentityBytes bounds the response to a request for the identity of a process.
const maxIdentityBytes = 128 << 10

// Expected is the process that a probe asks for.
type Expected struct {
	BackendID string
	Address   string
	// HealthPath is the path of the service's health check; it may be empty.
	HealthPath string
	// StartedMs is when the process has started, in Unix milliseconds; 0 if it is not known.
	StartedMs int64
}

// Probe finds out whether a process still serves, and returns nil if it does. It keeps its
// connection for the next request.
func (p *Pool) Probe(ctx context.Context, expected Expected) error {
	c, err := p.dial(ctx, expected.Address)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return errors.Wrap(ErrProcessEnded, err.Error())
	}
	if err != nil {
		return err
	}
	unwatch := closeOnDone(ctx, c)
	reusable, err := c.identify(expected, p.opts.Codec)
	if !unwatch() || !reusable {
		_ = c.Close()
		return err
	}
	c.idleUntil = time.Now().Add(defaultIdleTime)
	c.reused = true
	p.put(expected.Address, c)
	return err
}

// identify asks the process at the other end of an unused connection who it is. reusable states that
// the connection can carry another request.
func (c *conn) identify(expected Expected, codec serving.Codec) (reusable bool, err error) {
	for _, out := range codec.EncodeIdentityRequests(expected.BackendID, expected.Address, expected.HealthPath) {
		process, reusable, err := c.askProcess(out, codec)
		if err != nil {
			return false, err
		}
		switch v := expected.compare(process); {
		case v == sameProcess:
			return reusable, nil
		case v == anotherProcess:
			return false, errors.Wrap(ErrProcessEnded, "another process serves at its address")
		case !reusable:
			return false, ErrUnidentified
		}
	}
	return true, ErrUnidentified
}

// askProcess sends one request for the identity of the process.
func (c *conn) askProcess(out serving.OutgoingRequest, codec serving.Codec) (process serving.Process, reusable bool, err error) {
	if err := writeRequest(c.w, out); err != nil {
		return serving.Process{}, false, err
	}
	c.beginHead(maxIdentityBytes)
	defer c.bounded.removeBound()
	resp, err := http.ReadResponse(c.r, &http.Request{Method: out.Method})
	if err != nil {
		return serving.Process{}, false, errors.Wrap(err, "read identity")
	}
	defer func() { _ = resp.Body.Close() }()
	if err := checkStatus(resp); err != nil {
		return serving.Process{}, false, err
	}
	process = codec.DecodeProcess(resp)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return serving.Process{}, false, errors.Wrap(err, "read identity")
	}
	return process, !resp.Close && isFramed(resp) && c.r.Buffered() == 0, nil
}

// verdict is what the statement of a process shows.
type verdict uint8

const (
	unknownProcess verdict = iota
	sameProcess
	anotherProcess
)

// compare compares the process with what a process says of itself. The time of the start decides if
// both are known, as a backend server may start again under its id.
func (e Expected) compare(p serving.Process) verdict {
	switch {
	case p.Another || p.ID != "" && p.ID != e.BackendID:
		return anotherProcess
	case p.StartedMs != 0 && e.StartedMs != 0 && p.StartedMs != e.StartedMs:
		return anotherProcess
	case p.ID != "" || p.StartedMs != 0 && e.StartedMs != 0:
		return sameProcess
	}
	return unknownProcess
}

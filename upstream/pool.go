// Package upstream sends requests to backend servers over persistent connections. It
// distinguishes requests that were never sent from those that may have run, and returns
// a response only for the request that the response identifies.
package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/internal/intake"
	"github.com/catkinrudder/catkinrudder/serving"
)

// The errors of an exchange. After any other error it is unknown whether the request
// ran.
var (
	// ErrNotSent is returned if no byte of the request reached the backend server.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrMalformed is returned for a request that can't be sent to any backend server. Nothing was sent.
	ErrMalformed = errors.New("upstream: malformed request")
	// ErrNoPermit is returned if the backend server names a limit that leaves no room for the
	// request now. Nothing was sent.
	ErrNoPermit = errors.New("upstream: no permit")
	// ErrMismatchedResponse is returned if the backend server only sent responses to
	// other requests.
	ErrMismatchedResponse = errors.New("upstream: responses belong to other requests")
)

const (
	// defaultIdleTime is how long an idle connection is kept if the backend server
	// does not announce its own limit. idleMargin is subtracted from an announced
	// limit, to allow for the network delay.
	defaultIdleTime = 4 * time.Second
	idleMargin      = 500 * time.Millisecond
	// maxIdleConns bounds the idle connections to one backend server.
	maxIdleConns = 32
)

// Outcome is the outcome of an attempt.
type Outcome string

// The outcomes.
const (
	// NotSent: no byte of the request was sent.
	NotSent Outcome = "unreached"
	// NotPermitted: the limit that the backend server names left no room.
	NotPermitted Outcome = "not_permitted"
	// NoResponse: the request was sent, but no head of a response was received.
	NoResponse Outcome = "unanswered"
	// NotRun: the backend server reported that it did not run the request.
	NotRun Outcome = "not_run"
	// Failed: the backend server responded with an error of its own.
	Failed Outcome = "failed"
	// Interrupted: the response ended early, or this process aborted it.
	Interrupted Outcome = "broken"
	// Complete: the response was read to its end.
	Complete Outcome = "whole"
)

// Outcomes lists every outcome.
func Outcomes() []Outcome {
	return []Outcome{NotSent, NotPermitted, NoResponse, NotRun, Failed, Interrupted, Complete}
}

// Options are the settings of a Pool.
type Options struct {
	Codec       serving.Codec
	DialTimeout time.Duration
	// Memory bounds what is kept of all responses together; nil is unbounded.
	Memory *intake.Budget
	// OnConnect, if set, is called for each new connection. OnAttemptEnd, if set, is
	// called at the end of each attempt.
	OnConnect    func(address string)
	OnAttemptEnd func(backendID string, o Outcome)
	// Admit, if set, is called before each attempt. An error keeps it from being sent.
	Admit func(ctx context.Context, a serving.Attempt) error
	// OnResponse, if set, is called with the head of each response of a backend server before
	// the response is returned.
	OnResponse func(a serving.Attempt, info serving.ResponseInfo)
	// OnTransfer, if set, is called at the end of each response with the bytes of the bodies of
	// the request and the response.
	OnTransfer func(a serving.Attempt, bytes int64)
}

// Pool keeps idle connections to backend servers by address.
type Pool struct {
	opts   Options
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	if opts.Memory == nil {
		opts.Memory = intake.Unbounded()
	}
	return &Pool{
		opts:   opts,
		dialer: net.Dialer{Timeout: opts.DialTimeout, KeepAliveConfig: KeepAlive, Control: SetUserTimeout},
		idle:   make(map[string][]*conn),
	}
}

// Response is a response of a backend server. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it is unknown.
	Length int64
	Info   serving.ResponseInfo

	// requestID is the id of the request.
	requestID string

	body     io.Reader
	pool     *Pool
	attempt  serving.Attempt
	exchange *exchange
	resp     *http.Response
	// unwatch is the stop function of closeOnDone.
	unwatch     func() bool
	complete    bool
	interrupted bool
	// headBytes is what is kept of the head.
	headBytes int64
	// transferred counts the bytes of the bodies of the request and, so far, of the response.
	transferred int64
}

// Do sends r to the backend server of a and returns the head of the response. The
// connection is closed when ctx ends, even while the body is read.
func (p *Pool) Do(ctx context.Context, r *serving.Request, a serving.Attempt) (*Response, error) {
	if err := checkRequest(r); err != nil {
		p.ended(a.BackendID, NotSent)
		return nil, err
	}
	if p.opts.Admit != nil {
		if err := p.opts.Admit(ctx, a); err != nil {
			p.ended(a.BackendID, NotPermitted)
			return nil, errors.Wrap(ErrNoPermit, err.Error())
		}
	}
	c, err := p.get(ctx, a.Address, r.ID)
	if err != nil {
		p.ended(a.BackendID, NotSent)
		return nil, err
	}
	unwatch := closeOnDone(ctx, c)
	c.openAccount(p.opts.Memory)
	e := c.start(p.opts.Codec.Encode(r, a))
	resp, info, err := e.readHead(r.ID, r.Method, p.opts.Codec) //nolint:bodyclose // Response.Close ends the connection
	if err != nil {
		unwatch()
		_ = c.Close()
		c.closeAccount()
		p.ended(a.BackendID, NoResponse)
		return nil, err
	}
	if !info.Misdirected && p.opts.OnResponse != nil {
		p.opts.OnResponse(a, info)
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Info: info, requestID: r.ID,
		body: resp.Body, pool: p, attempt: a, exchange: e, resp: resp, unwatch: unwatch, transferred: int64(len(r.Body)),
		headBytes: headCopies * c.bounded.head.bytes,
	}, nil
}

func (p *Pool) ended(backendID string, o Outcome) {
	if p.opts.OnAttemptEnd != nil {
		p.opts.OnAttemptEnd(backendID, o)
	}
}

// Framed reports whether the end of the body is marked by its length or its last chunk, and not
// by closing the connection.
func (r *Response) Framed() bool { return isFramed(r.resp) }

func isFramed(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Body == http.NoBody
}

// outcome returns the outcome of the attempt.
func (r *Response) outcome() Outcome {
	switch {
	case r.Info.NotRun:
		return NotRun
	case r.Status >= http.StatusInternalServerError:
		return Failed
	case !r.complete || r.interrupted:
		return Interrupted
	}
	return Complete
}

// Read reads the body. It returns io.EOF only after a complete body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	r.transferred += int64(n)
	if errors.Is(err, io.EOF) {
		r.complete = true
		return n, io.EOF
	}
	if err != nil {
		r.interrupted = true
		return n, errors.Wrap(r.exchange.conn.explain(err), "read response")
	}
	return n, nil
}

// Keep states that the reader of the body keeps n bytes of it in all from now on. It returns an error if the
// response is dropped to make room for others.
func (r *Response) Keep(n int64) error { return r.exchange.conn.account.Keep(r.headBytes + n) }

// TryKeep is Keep, but returns false if there is no room.
func (r *Response) TryKeep(n int64) bool { return r.exchange.conn.account.TryKeep(r.headBytes + n) }

// discardBytes bounds the bytes that Discard reads, discardTime the time that it takes: a new connection
// costs less than waiting longer.
const (
	discardBytes = 8 << 10
	discardTime  = 50 * time.Millisecond
)

// Discard reads and drops a short body, so that its connection can be reused. After an
// error, or if the body does not end soon, the connection is closed instead.
func (r *Response) Discard() {
	c := r.exchange.conn
	_ = c.SetReadDeadline(time.Now().Add(discardTime)) // fails on a closed connection only, as below
	_, _ = io.Copy(io.Discard, io.LimitReader(r, discardBytes))
	_ = c.SetReadDeadline(time.Time{})
}

// Close ends the exchange. The connection is kept if the response was read completely
// and no bytes follow it.
func (r *Response) Close() {
	r.pool.ended(r.attempt.BackendID, r.outcome())
	if r.pool.opts.OnTransfer != nil {
		r.pool.opts.OnTransfer(r.attempt, r.transferred)
	}
	watching := r.unwatch()
	c := r.exchange.conn
	c.closeAccount()
	keep := watching && r.complete && !r.interrupted && r.Framed() && !r.resp.Close &&
		r.exchange.finishedWriting() && c.r.Buffered() == 0
	if !keep {
		_ = c.Close()
		return
	}
	idle := defaultIdleTime
	if announced := r.Info.KeepAlive; announced > 0 {
		idle = min(idle, announced-idleMargin)
	}
	c.idleUntil = time.Now().Add(idle)
	c.reused = true
	if r.Info.NotRun || r.Status != http.StatusOK {
		c.rejected = append(c.rejected, r.requestID)
	}
	if len(c.rejected) > maxRejected {
		_ = c.Close()
		return
	}
	r.pool.put(r.attempt.Address, c)
}

// get returns a connection for the request id, an idle one if possible. It is not one on which
// the same request was refused or has failed: a repetition of that response would be read as the answer.
func (p *Pool) get(ctx context.Context, address, id string) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(address, id)
		if c == nil {
			break
		}
		if c.usable(now) {
			return c, nil
		}
		_ = c.Close()
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return c, nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial backend server")
	}
	if p.opts.OnConnect != nil {
		p.opts.OnConnect(address)
	}
	return newConn(raw), nil
}

// pop removes the most recently used idle connection on which the request id was not rejected.
// It is the least likely to have been closed by the other side.
func (p *Pool) pop(address, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !slices.Contains(c.rejected, id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// CloseIdle closes the idle connections to address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseExpired closes the idle connections that are too old to be reused.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

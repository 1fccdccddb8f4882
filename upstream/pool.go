// Package upstream carries requests to backend servers over kept connections.
// It tells apart what was never sent from what may have run, and gives an
// answer only to the request that it names.
package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/serving"
)

// Errors of an exchange. Any other error leaves it open whether the request
// ran.
var (
	// ErrNotSent says that no byte of the request reached the backend server.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrStray says that the backend server answered other requests only.
	ErrMismatchedResponse = errors.New("upstream: answers belong to other requests")
)

const (
	// idleDefault is how long a connection is kept if the backend server does
	// not say; idleMargin is taken off what it says, for the way there.
	idleDefault = 4 * time.Second
	idleMargin  = 500 * time.Millisecond
	// maxIdle bounds the kept connections to one backend server.
	maxIdle = 32
)

// Outcome is how far an attempt came.
type Outcome string

// The outcomes.
const (
	// Unreached: no byte of the request was sent.
	NotSent Outcome = "unreached"
	// Unanswered: sent, and no head of an answer came.
	NoResponse Outcome = "unanswered"
	// NotRun: the backend server said that it did not run the request.
	NotRun Outcome = "not_run"
	// Failed: the backend server answered with an error of its own.
	Failed Outcome = "failed"
	// Broken: the answer broke off, or this process ended it.
	Interrupted Outcome = "broken"
	// Whole: the answer was read to its end.
	Complete Outcome = "whole"
)

// Outcomes lists every outcome.
func Outcomes() []Outcome {
	return []Outcome{NotSent, NoResponse, NotRun, Failed, Interrupted, Complete}
}

// Options are the settings of a Pool.
type Options struct {
	Codec       serving.Codec
	DialTimeout time.Duration
	// Opened, if set, is called for each new connection, Ended for each attempt.
	OnConnect    func(address string)
	OnAttemptEnd func(backendID string, o Outcome)
}

// Pool keeps connections to backend servers by address.
type Pool struct {
	opts   Options
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	return &Pool{
		opts:   opts,
		dialer: net.Dialer{Timeout: opts.DialTimeout, KeepAliveConfig: KeepAlive, Control: SetUserTimeout},
		idle:   make(map[string][]*conn),
	}
}

// Response is a backend server's answer. Close must be called.
type Response struct {
	Status int
	Header http.Header
	Length int64
	Info   serving.ResponseInfo

	body     io.Reader
	pool     *Pool
	attempt  serving.Attempt
	exchange *exchange
	resp     *http.Response
	unwatch  func() bool
	complete bool
	broken   bool
}

// Do sends r to the backend server of a and returns the head of its answer.
// The connection is closed when ctx ends, also while the body is read.
func (p *Pool) Do(ctx context.Context, r *serving.Request, a serving.Attempt) (*Response, error) {
	c, err := p.get(ctx, a.Address)
	if err != nil {
		p.ended(a.BackendID, NotSent)
		return nil, err
	}
	unwatch := closeOnDone(ctx, c)
	e := c.start(p.opts.Codec.Encode(r, a))
	resp, verdict, err := e.head(r.ID, r.Method, p.opts.Codec) //nolint:bodyclose // Answer.Close ends the connection
	if err != nil {
		unwatch()
		_ = c.Close()
		p.ended(a.BackendID, NoResponse)
		return nil, err
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Info: verdict,
		body: resp.Body, pool: p, attempt: a, exchange: e, resp: resp, unwatch: unwatch,
	}, nil
}

func (p *Pool) ended(backendID string, o Outcome) {
	if p.opts.OnAttemptEnd != nil {
		p.opts.OnAttemptEnd(backendID, o)
	}
}

// outcome returns how far the attempt came.
func (a *Response) outcome() Outcome {
	switch {
	case a.Info.NotRun:
		return NotRun
	case a.Status >= http.StatusInternalServerError:
		return Failed
	case !a.complete || a.broken:
		return Interrupted
	}
	return Complete
}

// Read reads the body. It returns io.EOF only after a complete body.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if errors.Is(err, io.EOF) {
		a.complete = true
		return n, io.EOF
	}
	if err != nil {
		a.broken = true
		return n, errors.Wrap(err, "read answer")
	}
	return n, nil
}

// discardBytes is what Discard reads.
const discardBytes = 8 << 10

// Discard reads a short body that nobody wants, so that its connection can be
// kept. An error only means that it is not.
func (a *Response) Discard() { _, _ = io.Copy(io.Discard, io.LimitReader(a, discardBytes)) }

// Close ends the exchange. The connection is kept if the answer was read whole
// and nothing follows it.
func (a *Response) Close() {
	a.pool.ended(a.attempt.BackendID, a.outcome())
	watching := a.unwatch()
	c := a.exchange.conn
	framed := a.resp.ContentLength >= 0 || len(a.resp.TransferEncoding) > 0
	keep := watching && a.complete && !a.broken && framed && !a.resp.Close &&
		a.exchange.finishedWriting() && c.r.Buffered() == 0
	if !keep {
		_ = c.Close()
		return
	}
	idle := idleDefault
	if told := a.Info.KeepAlive; told > 0 {
		idle = min(idle, told-idleMargin)
	}
	c.idleUntil = time.Now().Add(idle)
	a.pool.put(a.attempt.Address, c)
}

func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if c.usable(now) {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if p.opts.OnConnect != nil {
		p.opts.OnConnect(address)
	}
	return newConn(raw), nil
}

// pop takes the connection that was used last, which is the least likely to
// have been closed.
func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdle {
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

// CloseExpired closes connections that are too old to be used again.
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

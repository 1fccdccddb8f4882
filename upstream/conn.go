package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/internal/connend"
	"github.com/catkinrudder/catkinrudder/internal/intake"
	"github.com/catkinrudder/catkinrudder/serving"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 2 << 10
	// inlineBodyBytes is the size of the largest body that is written before the response
	// is read. Larger bodies are written concurrently, as the backend server may respond
	// early.
	inlineBodyBytes = 8 << 10
	// maxMismatched bounds the responses to other requests that are skipped.
	maxMismatched = 2
	// maxRejected bounds the requests that a connection remembers; then it is not reused.
	maxRejected = 64
)

// conn is one connection to a backend server. It carries one request at a time.
type conn struct {
	*connend.Conn
	// r reads from bounded, which reads from Conn.
	r       *bufio.Reader
	bounded *boundedReader
	// account is what is kept of the response in progress; nil between two requests.
	account *intake.Account
	w       *bufio.Writer
	// idleUntil is when the connection is too old to be reused.
	idleUntil time.Time
	// reused states that the connection has carried another request before.
	reused bool
	// rejected holds the ids of the requests that were refused or have failed on the connection. They
	// may be sent again, and a repetition of that response would be read as the answer.
	rejected []string
}

func newConn(raw net.Conn) *conn {
	c := connend.New(raw)
	bounded := &boundedReader{r: c}
	return &conn{Conn: c, bounded: bounded, r: bufio.NewReaderSize(bounded, readBufferBytes), w: bufio.NewWriterSize(c, writeBufferBytes)}
}

// openAccount begins to account for what is kept of a response. The connection is closed if the response is dropped.
func (c *conn) openAccount(memory *intake.Budget) {
	c.account = memory.Open(func() { _ = c.Close() })
	c.bounded.keep = c.account.Keep
}

// closeAccount ends the account of a response.
func (c *conn) closeAccount() {
	c.bounded.keep = nil
	c.account.Close()
}

// explain returns why a read has failed: an error of the connection, unless the response was dropped.
func (c *conn) explain(err error) error {
	if c.account != nil && c.account.Dropped() {
		return errors.Wrap(intake.ErrDropped, err.Error())
	}
	return err
}

// beginHead bounds the next n bytes, which begin with a head.
func (c *conn) beginHead(n int64) {
	buffered, _ := c.r.Peek(c.r.Buffered()) // no more than is buffered
	c.bounded.beginHead(n, buffered)
}

// usable reports whether the idle connection may be reused for another request.
func (c *conn) usable(now time.Time) bool {
	return now.Before(c.idleUntil) && c.r.Buffered() == 0 && idleOpen(c.Conn)
}

// exchange is one request and its response on a connection.
type exchange struct {
	conn *conn
	// written is closed when the request has been written or the write has failed.
	written  chan struct{}
	writeErr error
}

// start begins an exchange. It returns after the request has been written, or at once if
// the body is larger than inlineBodyBytes.
func (c *conn) start(out serving.OutgoingRequest) *exchange {
	e := &exchange{conn: c, written: make(chan struct{})}
	if len(out.Body) <= inlineBodyBytes {
		e.write(out)
		return e
	}
	go e.write(out)
	return e
}

func (e *exchange) write(out serving.OutgoingRequest) {
	defer close(e.written)
	e.writeErr = writeRequest(e.conn.w, out)
}

// checkRequest returns ErrMalformed if the first lines of a request would not be read as this one request.
// Its target may come from a caller's data.
func checkRequest(r *serving.Request) error {
	for _, part := range []string{r.Method, r.Target, r.Host} {
		if strings.ContainsFunc(part, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
			return errors.Wrapf(ErrMalformed, "%.40q", part)
		}
	}
	return nil
}

// writeRequest writes a request with a body of known length.
func writeRequest(w *bufio.Writer, out serving.OutgoingRequest) error {
	_, _ = fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", out.Method, out.Target, out.Host)
	header := out.Header
	header.Del("Content-Length")
	if len(out.Body) > 0 || out.Method == http.MethodPost || out.Method == http.MethodPut {
		header.Set("Content-Length", strconv.Itoa(len(out.Body)))
	}
	if err := header.Write(w); err != nil {
		return errors.Wrap(err, "write request")
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(out.Body)
	return errors.Wrap(w.Flush(), "write request")
}

// finishedWriting reports whether the whole request was sent.
func (e *exchange) finishedWriting() bool {
	select {
	case <-e.written:
		return e.writeErr == nil
	default:
		return false
	}
}

// readHead reads the head of the response. It skips responses that belong to other
// requests. A refusal without an id may answer an earlier request of the connection, and then
// this one runs.
func (e *exchange) readHead(id, method string, codec serving.Codec) (*http.Response, serving.ResponseInfo, error) {
	defer e.conn.bounded.removeBound()
	for range maxMismatched + 1 {
		e.conn.beginHead(maxHeadBytes)
		resp, err := http.ReadResponse(e.conn.r, &http.Request{Method: method})
		if err != nil {
			return nil, serving.ResponseInfo{}, errors.Wrap(e.conn.explain(err), "read response")
		}
		if joinsHeads(resp) {
			return nil, serving.ResponseInfo{}, errors.New("upstream: a head was cut off and another one follows")
		}
		if isInformational(resp.StatusCode) {
			continue
		}
		if err := checkStatus(resp); err != nil {
			return nil, serving.ResponseInfo{}, err
		}
		info := codec.Decode(resp)
		if info.RequestID == id || (info.RequestID == "" && info.NotRun && !e.conn.reused) {
			return resp, info, nil
		}
		e.conn.bounded.setBound(maxMismatchedBytes)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, serving.ResponseInfo{}, errors.Wrap(err, "read mismatched response")
		}
	}
	return nil, serving.ResponseInfo{}, ErrMismatchedResponse
}

// errNoStatus is returned for a response whose status ends no request.
var errNoStatus = errors.New("upstream: the response has no status")

// isInformational reports whether a response with the status precedes another one. One with 101 does not: it ends the
// use of HTTP on the connection, which no request asks for.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// checkStatus returns errNoStatus unless the status of resp ends its request. Three characters that form a number are
// read as a status, such as 000 or +99.
func checkStatus(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK {
		return errors.Wrapf(errNoStatus, "%.40q", resp.Status)
	}
	return nil
}

// statusLine is the begin of the first line of a response.
const statusLine = "HTTP/1."

// joinsHeads reports whether the head of a response was cut off and the one of another response was
// read as its rest.
func joinsHeads(resp *http.Response) bool {
	if strings.Contains(resp.Status, statusLine) {
		return true
	}
	for name, values := range resp.Header {
		if strings.Contains(name, statusLine) || slices.ContainsFunc(values, func(v string) bool { return strings.Contains(v, statusLine) }) {
			return true
		}
	}
	return false
}

// closeOnDone closes the connection when ctx ends. The returned function stops the
// watch of ctx; it returns false if ctx has already ended.
func closeOnDone(ctx context.Context, c net.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.Close() })
}

package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/platform"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
	"github.com/catkinrudder/catkinrudder/serving"
	"github.com/catkinrudder/catkinrudder/upstream"
)

func newPool() *upstream.Pool {
	return upstream.NewPool(upstream.Options{Codec: platform.Codec{}, DialTimeout: time.Second})
}

func request(id, path string) *serving.Request {
	return &serving.Request{ID: id, Method: http.MethodPost, Host: "h", Target: path, Path: path, Header: make(http.Header), Body: []byte("body")}
}

func to(b *platformtest.Backend) serving.Attempt {
	return serving.Attempt{BackendID: b.ID, Address: b.Address}
}

func fetch(t *testing.T, p *upstream.Pool, r *serving.Request, a serving.Attempt) string {
	t.Helper()
	resp, err := p.Do(t.Context(), r, a)
	assert.NilError(t, err)
	defer resp.Close()
	body, err := io.ReadAll(resp)
	assert.NilError(t, err)
	return string(body)
}

func TestConnectionIsReusedAfterCompleteResponse(t *testing.T) {
	b, p := platformtest.NewBackend(t, "b"), newPool()
	for _, id := range []string{"1", "2", "3"} {
		assert.Equal(t, fetch(t, p, request(id, "/call"), to(b)), "answer "+id)
	}
	assert.Equal(t, b.Connections(), 1)
	assert.Equal(t, b.Requests()[2].Body, "body")
}

func TestMismatchedResponseIsSkipped(t *testing.T) {
	b, p := platformtest.NewBackend(t, "b"), newPool()
	b.SetFault(func(platformtest.Request) platformtest.Fault { return platformtest.MismatchedResponse })
	assert.Equal(t, fetch(t, p, request("1", "/call"), to(b)), "answer 1")
}

func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	b, p := platformtest.NewBackend(t, "b"), newPool()
	b.SetFault(func(a platformtest.Request) platformtest.Fault {
		if a.ID == "1" {
			return platformtest.TrailingBytes
		}
		return platformtest.None
	})
	assert.Assert(t, strings.Contains(fetch(t, p, request("1", "/stream"), to(b)), "1-5"))
	time.Sleep(20 * time.Millisecond) // the extra response arrives on the idle connection
	assert.Equal(t, fetch(t, p, request("2", "/call"), to(b)), "answer 2")
	assert.Equal(t, b.Connections(), 2)
}

func TestUnframedResponseIsCompleteAtEOF(t *testing.T) {
	b, p := platformtest.NewBackend(t, "b"), newPool()
	b.SetFault(func(platformtest.Request) platformtest.Fault { return platformtest.CloseDelimited })
	assert.Assert(t, strings.Contains(fetch(t, p, request("1", "/stream"), to(b)), "1-5"))
	fetch(t, p, request("2", "/stream"), to(b))
	assert.Equal(t, b.Connections(), 2)
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	_, err = newPool().Do(t.Context(), request("1", "/call"), serving.Attempt{Address: address})
	assert.ErrorIs(t, err, upstream.ErrNotSent)
}

func TestLostResponseHasUnknownOutcome(t *testing.T) {
	b := platformtest.NewBackend(t, "b")
	b.SetFault(func(platformtest.Request) platformtest.Fault { return platformtest.ResetAfterRun })
	_, err := newPool().Do(t.Context(), request("1", "/call"), to(b))
	assert.Assert(t, err != nil)
	assert.Assert(t, !strings.Contains(err.Error(), upstream.ErrNotSent.Error()))
	assert.Equal(t, b.Runs("1"), 1)
}

func TestContextCancelStopsBackendServer(t *testing.T) {
	b, p := platformtest.NewBackend(t, "b"), newPool()
	b.Events, b.EventInterval = 1000, 5*time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := p.Do(ctx, request("1", "/stream"), to(b))
	assert.NilError(t, err)
	defer resp.Close()
	cancel()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.Aborted("1") {
			return poll.Success()
		}
		return poll.Continue("backend server is still running the request")
	})
	_, err = io.ReadAll(resp)
	assert.Assert(t, err != nil, "an interrupted response was read as complete")
}

func TestTruncatedResponseIsNotComplete(t *testing.T) {
	b, p := platformtest.NewBackend(t, "b"), newPool()
	b.SetFault(func(platformtest.Request) platformtest.Fault { return platformtest.CutMidEvent })
	resp, err := p.Do(t.Context(), request("1", "/stream"), to(b))
	assert.NilError(t, err)
	defer resp.Close()
	_, err = io.ReadAll(resp)
	assert.ErrorContains(t, err, "EOF")
}

func TestRefusalWithoutIDOnAReusedConnectionIsNoAnswer(t *testing.T) {
	b, p := platformtest.NewBackend(t, "b"), newPool()
	b.SetFault(func(platformtest.Request) platformtest.Fault { return platformtest.LateRefusal })
	for _, id := range []string{"1", "2", "3"} {
		assert.Equal(t, fetch(t, p, request(id, "/call"), to(b)), "answer "+id)
	}
	assert.Equal(t, b.Connections(), 1)
}

// TestRepeatedRefusalIsNoAnswerToTheNextSend covers a backend server that repeats a refusal
// when the same request comes again on the same connection, and runs it then.
func TestRepeatedRefusalIsNoAnswerToTheNextSend(t *testing.T) {
	b, p := platformtest.NewBackend(t, "b"), newPool()
	b.SetFault(func(platformtest.Request) platformtest.Fault { return platformtest.RefuseTwice })
	resp, err := p.Do(t.Context(), request("1", "/call"), to(b))
	assert.NilError(t, err)
	assert.Assert(t, resp.Info.NotRun)
	resp.Discard()
	resp.Close()
	b.SetFault(func(platformtest.Request) platformtest.Fault { return platformtest.None })
	assert.Equal(t, fetch(t, p, request("1", "/call"), to(b)), "answer 1")
	assert.Equal(t, fetch(t, p, request("2", "/call"), to(b)), "answer 2")
	assert.Equal(t, b.Runs("1"), 1)
}

func TestRequestWithoutAPermitIsNotSent(t *testing.T) {
	b := platformtest.NewBackend(t, "b")
	var outcomes []upstream.Outcome
	pool := upstream.NewPool(upstream.Options{
		Codec: platform.Codec{}, DialTimeout: time.Second,
		Admit:        func(context.Context, serving.Attempt) error { return errors.New("limit reached") },
		OnAttemptEnd: func(_ string, o upstream.Outcome) { outcomes = append(outcomes, o) },
	})
	_, err := pool.Do(t.Context(), &serving.Request{ID: "1", Method: "POST"}, serving.Attempt{BackendID: "b", Address: b.Address})
	assert.Assert(t, errors.Is(err, upstream.ErrNoPermit))
	assert.Assert(t, !errors.Is(err, upstream.ErrNotSent), "the server is not at fault")
	assert.Equal(t, b.Connections(), 0)
	assert.DeepEqual(t, outcomes, []upstream.Outcome{upstream.NotPermitted})
}

// TestMalformedRequestIsNotSent guards against a target that holds a second request.
func TestMalformedRequestIsNotSent(t *testing.T) {
	b := platformtest.NewBackend(t, "b")
	pool := newPool()
	for _, r := range []*serving.Request{
		{ID: "1", Method: "POST", Host: "h", Target: "/a HTTP/1.1\r\n\r\nPOST /b"},
		{ID: "2", Method: "POST", Host: "h\r\nX: y", Target: "/a"},
		{ID: "3", Method: "POST x", Host: "h", Target: "/a"},
	} {
		_, err := pool.Do(t.Context(), r, to(b)) //nolint:bodyclose // there is no response
		assert.ErrorIs(t, err, upstream.ErrMalformed)
	}
	assert.Equal(t, b.Connections(), 0)
}

package upstream_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/platform/platformtest"
	"github.com/catkinrudder/catkinrudder/serving"
)

// response returns a response with a length. An empty id is left out.
func response(status, header, id, body string) string {
	if id != "" {
		header += "Request-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\nResponse-Stamp: s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

func refusal(id string) string {
	return response("503 Service Unavailable", "Not-Run: 1\r\n", id, "full")
}

func success(id string) string { return response("200 OK", "", id, "answer "+id) }

func toScript(s *platformtest.Script) serving.Attempt {
	return serving.Attempt{BackendID: "s", Address: s.Address}
}

// exchange sends a request and returns whether the answer says that it has not run, and its text. An
// error has an unknown outcome.
func exchange(t *testing.T, send func(id string) (status int, notRun bool, body string, err error), id string) string {
	t.Helper()
	status, notRun, body, err := send(id)
	switch {
	case err != nil:
		return "unknown"
	case notRun:
		return "refused"
	}
	return strconv.Itoa(status) + " " + body
}

func sender(t *testing.T, s *platformtest.Script) func(id string) (int, bool, string, error) {
	p := newPool()
	return func(id string) (int, bool, string, error) {
		resp, err := p.Do(t.Context(), request(id, "/call"), toScript(s))
		if err != nil {
			return 0, false, "", err
		}
		defer resp.Close()
		body, err := io.ReadAll(resp)
		return resp.Status, resp.Info.NotRun, string(body), err
	}
}

func TestForgottenRefusalIsNoAnswerToTheNextSend(t *testing.T) {
	const others = 40
	var s *platformtest.Script
	s = platformtest.NewScript(t, func(r *http.Request, _ int) platformtest.Answer {
		id := r.Header.Get("Request-Id")
		switch {
		case s.Received(id) == 1:
			return platformtest.Answer{Bytes: refusal(id)}
		case s.Connections() == 1: // the one that refused it
			return platformtest.Answer{Bytes: refusal(id) + success(id)}
		}
		return platformtest.Answer{Bytes: success(id)}
	})
	send := sender(t, s)
	for i := range others {
		assert.Equal(t, exchange(t, send, fmt.Sprint("o", i)), "refused")
	}
	assert.Equal(t, s.Connections(), 1)
	for i := range others {
		id := fmt.Sprint("o", i)
		assert.Equal(t, exchange(t, send, id), "200 answer "+id)
	}
}

func TestRepeatedFailureIsNoAnswerToTheNextRun(t *testing.T) {
	failed := response("500 Internal Server Error", "", "1", "failed")
	var s *platformtest.Script
	s = platformtest.NewScript(t, func(_ *http.Request, before int) platformtest.Answer {
		switch {
		case s.Received("1") == 1:
			return platformtest.Answer{Bytes: failed}
		case before > 0:
			return platformtest.Answer{Bytes: failed + success("1")}
		}
		return platformtest.Answer{Bytes: success("1")}
	})
	send := sender(t, s)
	assert.Equal(t, exchange(t, send, "1"), "500 failed")
	assert.Equal(t, exchange(t, send, "1"), "200 answer 1")
}

// TestCutRefusalOfAnotherRequestIsNoRefusal writes an earlier refusal once more, cut after each byte,
// before the answer of the request that runs.
func TestCutRefusalOfAnotherRequestIsNoRefusal(t *testing.T) {
	for name, repeated := range map[string]string{
		"named":              refusal("1"),
		"without id":         refusal(""),
		"id first":           "HTTP/1.1 503 X\r\nRequest-Id: 1\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
		"misdirected":        response("421 Misdirected Request", "", "1", "other"),
		"misdirected, no id": response("421 Misdirected Request", "", "", "other"),
		"success":            response("200 OK", "Not-Run: 1\r\n", "1", "full"),
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(repeated) + 1 {
				s := platformtest.NewScript(t, func(_ *http.Request, before int) platformtest.Answer {
					if before == 0 {
						return platformtest.Answer{Bytes: refusal("1")}
					}
					return platformtest.Answer{Bytes: repeated[:cut] + success("2")}
				})
				send := sender(t, s)
				assert.Equal(t, exchange(t, send, "1"), "refused")
				got := exchange(t, send, "2")
				assert.Assert(t, got == "200 answer 2" || got == "unknown", "after %q: %s", repeated[:cut], got)
				assert.Equal(t, s.Connections(), 1)
			}
		})
	}
}

func TestRefusalRepeatedSeveralTimesIsNoRefusal(t *testing.T) {
	for times := range 5 {
		s := platformtest.NewScript(t, func(_ *http.Request, before int) platformtest.Answer {
			if before == 0 {
				return platformtest.Answer{Bytes: refusal("1")}
			}
			return platformtest.Answer{Bytes: strings.Repeat(refusal("1"), times) + success("2")}
		})
		send := sender(t, s)
		assert.Equal(t, exchange(t, send, "1"), "refused")
		got := exchange(t, send, "2")
		assert.Assert(t, got == "200 answer 2" || got == "unknown" && times > 2, "%d times: %s", times, got)
	}
}

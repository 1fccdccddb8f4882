package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/internal/sidecar"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
	"github.com/catkinrudder/catkinrudder/peer/v1/peerv1connect"
)

const (
	// tokenText is the text of one generated token.
	tokenText = "word "
	// attemptsPerSample is the number of attempts over which one sample is
	// averaged.
	attemptsPerSample   = 20
	engineHeaderTimeout = 5 * time.Second
)

// newCoreWithAttempts returns a core with n running online attempts.
func newCoreWithAttempts(n int) *admission.Core {
	c := admission.New(admission.Policy{Slots: n + 1, TTFTTarget: time.Second, TBTTarget: 60 * time.Millisecond})
	for i := range n {
		c.Tick(0, admission.Arrive{Attempt: admission.Attempt{
			ID: identifier(i), Deadline: time.Hour, PromptTokens: 500, MaxTokens: 400,
		}})
	}
	return c
}

func measureAdmission(context.Context) ([]Quantity, error) {
	sizes := []int{8, 32, 128}
	return measureAll(
		measurement{Quantity{ID: "admission.token", Help: "tick for one token", Unit: Nanoseconds, Per: "running attempt"},
			sizes, func(n int) (float64, error) {
				c, now := newCoreWithAttempts(n), time.Duration(0)
				return nanosPerCall(func() {
					now += time.Millisecond
					c.Tick(now, admission.Token{ID: identifier(0)})
				}), nil
			}},
		measurement{Quantity{ID: "admission.attempt", Help: "arrival and end of one attempt", Unit: Nanoseconds, Per: "running attempt"},
			sizes, func(n int) (float64, error) {
				c, i := newCoreWithAttempts(n), n
				return nanosPerCall(func() {
					i++
					id := strconv.Itoa(i)
					c.Tick(time.Second, admission.Arrive{Attempt: admission.Attempt{ID: id, Deadline: time.Hour, PromptTokens: 500, MaxTokens: 400}})
					c.Tick(time.Second, admission.Finish{ID: id})
				}), nil
			}},
		measurement{Quantity{ID: "admission.idle", Help: "tick of the timer, 100 a second", Unit: Nanoseconds, Per: "running attempt"},
			sizes, func(n int) (float64, error) {
				c, now := newCoreWithAttempts(n), time.Duration(0)
				return nanosPerCall(func() { now += time.Microsecond; c.Tick(now) }), nil
			}},
	)
}

// newEngine serves a model engine that streams the requested number of tokens
// without delay.
func newEngine() (addr string, stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrap(err, "capacity: listen")
	}
	srv := &http.Server{Handler: http.HandlerFunc(generate), ReadHeaderTimeout: engineHeaderTimeout}
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), func() { _ = srv.Close() }, nil
}

// generate streams a chat completion; the X-Tokens header sets the number of
// tokens.
func generate(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	tokens, _ := strconv.Atoi(r.Header.Get("X-Tokens"))
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for range tokens {
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", tokenText)
		_ = flush.Flush()
	}
	_, _ = io.WriteString(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
}

// newRunRequest returns an online request for the given number of tokens.
func newRunRequest(s *sidecar.Server, attempt string, tokens int) *peerv1.RunRequest {
	return &peerv1.RunRequest{
		AttemptId: attempt, Incarnation: s.Incarnation(), Class: peerv1.Class_CLASS_ONLINE, Service: modelService,
		Workspace: workspaceName(0), DeadlineMs: 30_000, Method: http.MethodPost, Path: "/v1/chat/completions",
		Headers: []*peerv1.Header{{Name: "X-Tokens", Value: strconv.Itoa(tokens)}},
		Body:    []byte(`{"model":"m","messages":[]}`), Model: true, PromptTokens: 500, MaxTokens: 400, Prefix: 1 << 60,
	}
}

// measureStreams runs attempts through a sidecar and its engine and measures the
// traffic between entry and sidecar and the processor time.
func measureStreams(ctx context.Context) ([]Quantity, error) {
	engine, stop, err := newEngine()
	if err != nil {
		return nil, err
	}
	defer stop()
	s := sidecar.New(sidecarSettings(engine), log.New(io.Discard))
	path, h := peerv1connect.NewSidecarHandler(s)
	l, err := newLoopback(ctx, path, h)
	if err != nil {
		return nil, err
	}
	defer l.stop()
	wireBytes := Quantity{ID: "stream.bytes", Help: "answer between entry and sidecar", Unit: Bytes, Per: "token"}
	processorNanos := Quantity{ID: "stream.cpu", Help: "entry side, sidecar and engine stand-in", Unit: Nanoseconds, Per: "token"}
	// The first attempts open the connections and are not measured.
	if err := runAttempts(ctx, l, s, 1, attemptsPerSample, "warm"); err != nil {
		return nil, err
	}
	for _, tokens := range []int{1, 50, 200, 400} {
		bytes, ns, err := l.cost(func() error { return runAttempts(ctx, l, s, tokens, attemptsPerSample, strconv.Itoa(tokens)) })
		if err != nil {
			return nil, err
		}
		wireBytes.Points = append(wireBytes.Points, Point{float64(tokens), bytes / attemptsPerSample})
		processorNanos.Points = append(processorNanos.Points, Point{float64(tokens), ns / attemptsPerSample})
	}
	wireBytes.Line, processorNanos.Line = Fit(wireBytes.Points), Fit(processorNanos.Points)
	encoded, err := measureSizes(Quantity{ID: "stream.event", Help: "encoded event without framing", Unit: Bytes, Per: "token"},
		[]int{1, 2, 4}, func(n int) (float64, error) { return float64(n * proto.Size(tokenEvent())), nil })
	return []Quantity{wireBytes, processorNanos, encoded}, err
}

func tokenEvent() *peerv1.RunEvent {
	return &peerv1.RunEvent{
		Seq: 200, Event: &peerv1.RunEvent_Delta{Delta: &peerv1.Delta{Data: []byte(tokenText), Tokens: 1}},
		Load: &peerv1.Load{RunningOnline: 7, RunningBatch: 3, Slots: 32, BatchRoom: 2, StepUs: 30_000, ConfigVersion: 1 << 20},
	}
}

// runAttempts runs n attempts, one after the other, with IDs that start with
// idPrefix.
func runAttempts(ctx context.Context, l *loopback, s *sidecar.Server, tokens, n int, idPrefix string) error {
	for i := range n {
		req := newRunRequest(s, fmt.Sprintf("%s-%d", idPrefix, i), tokens)
		if err := runAttempt(ctx, l, req, tokens); err != nil {
			return err
		}
	}
	return nil
}

// runAttempt runs one attempt and returns an error unless exactly the given number
// of tokens and the end event arrive.
func runAttempt(ctx context.Context, l *loopback, req *peerv1.RunRequest, tokens int) error {
	stream, err := l.clients.Online(l.addr).Run(ctx, connect.NewRequest(req))
	if err != nil {
		return errors.Wrap(err, "capacity: run")
	}
	defer func() { _ = stream.Close() }()
	got, ended := 0, false
	for stream.Receive() {
		switch ev := stream.Msg().Event.(type) {
		case *peerv1.RunEvent_Delta:
			got++
		case *peerv1.RunEvent_End:
			ended = true
		case *peerv1.RunEvent_Refused:
			return errors.Errorf("capacity: attempt refused: %s", ev.Refused.Message)
		}
	}
	if !ended || got != tokens {
		return errors.Errorf("capacity: received %d of %d tokens, stream ended %t", got, tokens, ended)
	}
	return errors.Wrap(stream.Err(), "capacity: run")
}

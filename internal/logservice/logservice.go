// Package logservice provides clients for the platform's services: the
// append-only log and the list of instances. It uses net/http because hertz's
// client can't be cancelled while it waits for a response header.
package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/internal/bounded"
)

const (
	idleConnTimeout = 90 * time.Second
	callTimeout     = 5 * time.Second
	maxErrorBody    = 1 << 10
	maxHeadBytes    = 64 << 10
	maxBodyBytes    = 64 << 20
)

// State is the state of an instance as the platform reports it.
type State string

// The states of an instance.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is one row of the platform's list of instances, which may be out of
// date.
type Instance struct {
	Name    string `json:"instance"`
	Role    string `json:"role"`
	Service string `json:"service,omitempty"`
	Region  string `json:"region"`
	Zone    string `json:"availability_zone"`
	// PeerAddr is the address at which the system's process on the instance
	// serves its peers.
	PeerAddr string `json:"peer_addr"`
	State    State  `json:"state"`
}

// InstanceList is the response body of a list request.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// AppendResponse is the response body of an append.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// ReadResponse is the response body of a read. First is the offset of the oldest
// retained record, Next the offset that the stream's next record will get.
type ReadResponse struct {
	First   uint64       `json:"first"`
	Next    uint64       `json:"next"`
	Records []ReadRecord `json:"records"`
}

// ReadRecord is one record of a ReadResponse.
type ReadRecord struct {
	Offset  uint64 `json:"offset"`
	Payload []byte `json:"payload"`
}

// LogClient is the HTTP client of the log service.
type LogClient struct{ c client }

// NewLog returns a client of the log service at addr, an IP:port.
func NewLog(addr string) *LogClient { return &LogClient{newClient(addr)} }

// Append implements commitlog.Log. It has no timeout besides that of ctx.
func (l *LogClient) Append(ctx context.Context, stream string, payload []byte) (commitlog.Offset, error) {
	var out AppendResponse
	path := "/v1/streams/" + url.PathEscape(stream) + "/records"
	err := l.c.do(ctx, http.MethodPost, path, payload, &out)
	return commitlog.Offset(out.Offset), err
}

// Read implements commitlog.Log.
func (l *LogClient) Read(ctx context.Context, stream string, from commitlog.Offset, limit int, wait time.Duration) (commitlog.Page, error) {
	var out ReadResponse
	path := fmt.Sprintf("/v1/streams/%s/records?from=%d&max=%d&wait_ms=%d",
		url.PathEscape(stream), uint64(from), limit, wait.Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	if err := l.c.do(ctx, http.MethodGet, path, nil, &out); err != nil {
		return commitlog.Page{}, err
	}
	page := commitlog.Page{First: commitlog.Offset(out.First), Next: commitlog.Offset(out.Next)}
	for _, r := range out.Records {
		page.Records = append(page.Records, commitlog.Record{Offset: commitlog.Offset(r.Offset), Payload: r.Payload})
	}
	return page, nil
}

// InstancesClient is the HTTP client of the instance list.
type InstancesClient struct{ c client }

// NewInstances returns a client of the instance list at addr, an IP:port.
func NewInstances(addr string) *InstancesClient { return &InstancesClient{newClient(addr)} }

// List returns the platform's present list, which may be out of date.
func (i *InstancesClient) List(ctx context.Context) ([]Instance, error) {
	var out InstanceList
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := i.c.do(ctx, http.MethodGet, "/v1/instances", nil, &out)
	return out.Instances, err
}

// client sends requests to one of the platform's services.
type client struct {
	base string
	http *http.Client
}

func newClient(addr string) client {
	return client{
		base: "http://" + addr,
		http: &http.Client{Transport: &http.Transport{IdleConnTimeout: idleConnTimeout, MaxIdleConnsPerHost: 16, MaxResponseHeaderBytes: maxHeadBytes}},
	}
}

// do sends a request and decodes the JSON response into out. A connection that was
// closed without a response is reported as io.ErrUnexpectedEOF.
func (c client) do(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	resp, err := c.http.Do(req)
	if errors.Is(err, io.EOF) {
		return errors.Wrapf(io.ErrUnexpectedEOF, "platform: %s %s", method, path)
	}
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
		return errors.Errorf("platform: %s %s: status %d: %s", method, path, resp.StatusCode, text)
	}
	raw, err := bounded.ReadAll(resp.Body, maxBodyBytes)
	if err != nil {
		return errors.Wrapf(err, "platform: %s %s", method, path)
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return errors.Errorf("platform: decode response: %v", err)
	}
	return nil
}

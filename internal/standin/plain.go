package standin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// Execution describes one request that a plain service has executed.
type Execution struct {
	Serial  int    `json:"serial"`
	Attempt string `json:"attempt"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	// Send is the client's X-Send header, which distinguishes resent requests.
	Send string    `json:"send,omitempty"`
	At   time.Time `json:"at"`
}

// PlainService executes and records every request.
type PlainService struct {
	settings PlainSettings

	mu         sync.Mutex
	executions []Execution
}

// NewPlainService returns a plain service without recorded executions.
func NewPlainService(s PlainSettings) *PlainService {
	return &PlainService{settings: s}
}

// Routes registers the service's HTTP handlers.
func (p *PlainService) Routes(h *server.Hertz) {
	h.GET("/executions", p.list)
	h.NoRoute(p.run)
}

func (p *PlainService) run(_ context.Context, c *app.RequestContext) {
	e := p.record(c)
	time.Sleep(p.delay(c))
	if strings.HasPrefix(e.Path, "/fail") {
		c.JSON(http.StatusInternalServerError, e)
		return
	}
	c.JSON(http.StatusOK, e)
}

// delay returns how long a request takes: the query's delay_ms if it is a number,
// else the delay of the settings.
func (p *PlainService) delay(c *app.RequestContext) time.Duration {
	ms, err := strconv.Atoi(c.Query("delay_ms"))
	if err != nil {
		return time.Duration(p.settings.Delay)
	}
	return time.Duration(ms) * time.Millisecond
}

// Executions returns a copy of all executions so far, oldest first.
func (p *PlainService) Executions() []Execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Execution(nil), p.executions...)
}

func (p *PlainService) record(c *app.RequestContext) Execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := Execution{
		Serial:  len(p.executions) + 1,
		Attempt: string(c.GetHeader("X-Request-Id")),
		Method:  string(c.Method()),
		Path:    string(c.Path()),
		Body:    string(c.Request.Body()),
		Send:    string(c.GetHeader("X-Send")),
		At:      time.Now(),
	}
	p.executions = append(p.executions, e)
	return e
}

func (p *PlainService) list(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, p.Executions())
}

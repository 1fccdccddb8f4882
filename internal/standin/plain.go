package standin

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// Execution is one call that a plain service has run.
type Execution struct {
	Serial  int    `json:"serial"`
	Attempt string `json:"attempt"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// PlainService runs every call and remembers it.
type PlainService struct {
	settings PlainSettings

	mu         sync.Mutex
	executions []Execution
}

// NewPlainService returns a plain service that has run nothing.
func NewPlainService(s PlainSettings) *PlainService {
	return &PlainService{settings: s}
}

// Routes registers the service's calls.
func (p *PlainService) Routes(h *server.Hertz) {
	h.GET("/executions", p.list)
	h.NoRoute(p.run)
}

func (p *PlainService) run(_ context.Context, c *app.RequestContext) {
	e := p.record(c)
	time.Sleep(time.Duration(p.settings.Delay))
	if strings.HasPrefix(e.Path, "/fail") {
		c.JSON(http.StatusInternalServerError, e)
		return
	}
	c.JSON(http.StatusOK, e)
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
	}
	p.executions = append(p.executions, e)
	return e
}

func (p *PlainService) list(_ context.Context, c *app.RequestContext) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.JSON(http.StatusOK, p.executions)
}

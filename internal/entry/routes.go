package entry

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/internal/ops"
)

// callerRoutes registers the endpoints of the caller listener.
func (e *Server) callerRoutes(h *server.Hertz) {
	h.Use(e.track, e.checkHeader)
	h.NoRoute(e.noRoute)
	h.NoMethod(e.noMethod)
	ops.Health(h, e.ready)
	h.POST(chatPath, e.chat)
	h.GET(chatPath+"/:id", e.storedReply)
	h.GET("/v1/models", e.models)
	e.batchRoutes(h)
	h.Any("/services/:service/*path", e.plain)
}

// ready reports whether the entry accepts requests. It is false while draining,
// before a configuration is in force and until stored data has been folded. If the
// log is down it does not wait for stored data: online requests are served.
func (e *Server) ready() bool {
	_, ok := e.config.InForce()
	logRead := e.caughtUp.Load() || e.claims.stream.Down()
	return ok && logRead && !e.draining.Load()
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (e *Server) models(_ context.Context, c *app.RequestContext) {
	doc, err := e.document()
	if err != nil {
		e.writeError(c, err)
		return
	}
	if _, err := workspaceOf(doc, c); err != nil {
		e.writeError(c, err)
		return
	}
	out := modelList{Object: "list", Data: []modelInfo{}}
	for _, svc := range doc.Services {
		if svc.Kind != desired.Model {
			continue
		}
		for _, m := range svc.Models {
			out.Data = append(out.Data, modelInfo{ID: m, Object: "model", OwnedBy: svc.Name})
		}
	}
	e.writeJSON(c, out)
}

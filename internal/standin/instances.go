package standin

import (
	"context"
	"net/http"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/catkinrudder/catkinrudder/internal/logservice"
)

// InstanceList serves the platform's list of live and leaving instances.
type InstanceList struct {
	mu   sync.Mutex
	rows []logservice.Instance
}

// NewInstanceList returns a list in which every instance is live.
func NewInstanceList(rows []InstanceRow) *InstanceList {
	l := &InstanceList{}
	for _, r := range rows {
		l.rows = append(l.rows, r.instance())
	}
	return l
}

// Routes registers the list's HTTP handlers.
func (l *InstanceList) Routes(h *server.Hertz) {
	h.GET("/v1/instances", l.list)
	h.PUT("/v1/instances/:instance", l.put)
	h.DELETE("/v1/instances/:instance", l.remove)
}

func (l *InstanceList) list(_ context.Context, c *app.RequestContext) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.JSON(http.StatusOK, logservice.InstanceList{Instances: l.rows})
}

func (l *InstanceList) put(_ context.Context, c *app.RequestContext) {
	var row logservice.Instance
	if err := c.BindJSON(&row); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	row.Name = c.Param("instance")
	l.Put(row)
	c.JSON(http.StatusOK, row)
}

// Put adds an instance or replaces its row.
func (l *InstanceList) Put(row logservice.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.rows {
		if l.rows[i].Name == row.Name {
			l.rows[i] = row
			return
		}
	}
	l.rows = append(l.rows, row)
}

// Remove removes an instance from the list.
func (l *InstanceList) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.rows {
		if l.rows[i].Name == name {
			l.rows = append(l.rows[:i:i], l.rows[i+1:]...)
			return
		}
	}
}

func (l *InstanceList) remove(_ context.Context, c *app.RequestContext) {
	l.Remove(c.Param("instance"))
	c.Status(http.StatusNoContent)
}

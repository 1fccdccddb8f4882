package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// EngineState describes the model that an engine runs and its load commands.
type EngineState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	// Fence is the fencing token of the last load command, kept by engines that
	// check it.
	Fence   uint64 `json:"fence"`
	Loading bool   `json:"loading"`
	// Cut counts the streams that were running when load commands were accepted.
	Cut int `json:"cut"`
	// Loads counts the load commands that were accepted.
	Loads int `json:"loads"`
}

func initialState(s EngineSettings) EngineState {
	st := EngineState{Version: s.Version}
	if len(s.Models) > 0 {
		st.Model = s.Models[0]
	}
	return st
}

// State returns the engine's present state.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// serves reports whether the engine can run a model now. An engine that has
// accepted no load command runs every model of its settings.
func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current.Loading {
		return false
	}
	if e.current.Loads == 0 {
		return slices.Contains(e.settings.Models, model)
	}
	return e.current.Model == model
}

func (e *Engine) getState(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, e.State())
}

// loadModel handles a load command: it counts the running streams as cut, although
// they continue, and starts to load the model.
func (e *Engine) loadModel(_ context.Context, c *app.RequestContext) {
	var next EngineState
	if err := c.BindJSON(&next); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing && next.Fence < e.current.Fence {
		c.String(http.StatusConflict, "order %d is older than %d", next.Fence, e.current.Fence)
		return
	}
	if !e.settings.ChecksFencing {
		next.Fence = 0
	}
	next.Loads = e.current.Loads + 1
	next.Cut = e.current.Cut + len(e.streams)
	next.Loading = e.settings.Weights != ""
	e.current = next
	if next.Loading {
		go e.fetchWeights(next.Loads)
	}
	c.JSON(http.StatusOK, next)
}

// fetchWeights fetches the weights for one load command and marks its loading as
// finished.
func (e *Engine) fetchWeights(load int) {
	resp, err := http.Get("http://" + e.settings.Weights + "/v1/weights")
	if err == nil {
		_ = resp.Body.Close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current.Loads == load {
		e.current.Loading = false
	}
}

// WeightStore serves model weights to engines at a limited rate.
type WeightStore struct {
	settings WeightSettings
	// mu is held during a download, so that engines fetch weights one at a time.
	mu sync.Mutex
}

// NewWeightStore returns a weight store with the given settings.
func NewWeightStore(s WeightSettings) *WeightStore { return &WeightStore{settings: s} }

// Routes registers the store's HTTP handlers.
func (w *WeightStore) Routes(h *server.Hertz) {
	h.GET("/v1/weights", func(_ context.Context, c *app.RequestContext) {
		w.mu.Lock()
		defer w.mu.Unlock()
		time.Sleep(w.settings.LoadTime.Std())
		c.Status(http.StatusNoContent)
	})
}

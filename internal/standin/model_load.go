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

// EngineState is what an engine runs.
type EngineState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	// Fence is the number of the last order, kept by engines that check it.
	Fence   uint64 `json:"fence"`
	Loading bool   `json:"loading"`
	// Cut counts the streams that a load cut off.
	Cut int `json:"cut"`
	// Loads counts the orders that were taken.
	Loads int `json:"loads"`
}

func initialState(s EngineSettings) EngineState {
	st := EngineState{Version: s.Version}
	if len(s.Models) > 0 {
		st.Model = s.Models[0]
	}
	return st
}

// State returns what the engine runs.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded
}

// serves reports whether the engine can run a model now. An engine that was
// never ordered runs every model of its settings.
func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loaded.Loading {
		return false
	}
	if e.loaded.Loads == 0 {
		return slices.Contains(e.settings.Models, model)
	}
	return e.loaded.Model == model
}

func (e *Engine) state(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, e.State())
}

// order takes an order: what runs is cut off, and the engine loads.
func (e *Engine) order(_ context.Context, c *app.RequestContext) {
	var next EngineState
	if err := c.BindJSON(&next); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing && next.Fence < e.loaded.Fence {
		c.String(http.StatusConflict, "order %d is older than %d", next.Fence, e.loaded.Fence)
		return
	}
	if !e.settings.ChecksFencing {
		next.Fence = 0
	}
	next.Loads = e.loaded.Loads + 1
	next.Cut = e.loaded.Cut + len(e.streams)
	next.Loading = e.settings.Weights != ""
	e.loaded = next
	if next.Loading {
		go e.load(next.Loads)
	}
	c.JSON(http.StatusOK, next)
}

// load fetches the weights and ends the loading of one order.
func (e *Engine) load(order int) {
	resp, err := http.Get("http://" + e.settings.Weights + "/v1/weights")
	if err == nil {
		_ = resp.Body.Close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loaded.Loads == order {
		e.loaded.Loading = false
	}
}

// WeightStore gives model weights to engines at a limited rate.
type WeightStore struct {
	settings WeightSettings
	// turn is held while one engine gets its weights.
	turn sync.Mutex
}

// NewWeightStore returns a weight store.
func NewWeightStore(s WeightSettings) *WeightStore { return &WeightStore{settings: s} }

// Routes registers the store's calls.
func (w *WeightStore) Routes(h *server.Hertz) {
	h.GET("/v1/weights", func(_ context.Context, c *app.RequestContext) {
		w.turn.Lock()
		defer w.turn.Unlock()
		time.Sleep(w.settings.LoadTime.Std())
		c.Status(http.StatusNoContent)
	})
}

package engineserver

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/standin/weightserver"
)

// Kinds of orders.
const (
	orderLoadVersion = "load_version"
	orderLoadAdapter = "load_adapter"
	orderSetRole     = "set_role"
)

// Order is a command to load a weight version or an adapter, or to change the role.
type Order struct {
	Fence         uint64 `json:"fence"`
	Kind          string `json:"kind"`
	WeightVersion string `json:"weight_version,omitempty"`
	Adapter       string `json:"adapter,omitempty"`
	Role          string `json:"role,omitempty"`
}

// State is the response to GET /v1/state: the loaded weight versions and adapters, and the role.
type State struct {
	WeightVersions []string `json:"weight_versions"`
	Serving        string   `json:"serving"`
	Loading        string   `json:"loading"`
	Adapters       []string `json:"adapters"`
	Role           string   `json:"role"`
	HighestFence   uint64   `json:"highest_fence"`
}

// State returns a copy of the engine's state.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	s.WeightVersions = append([]string{}, s.WeightVersions...)
	s.Adapters = append([]string{}, s.Adapters...)
	return s
}

// Orders returns the orders that the engine has accepted, oldest first.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order{}, e.orders...)
}

// applyOrder carries out an order. It returns false when the engine checks fencing tokens and the order's is stale.
func (e *Engine) applyOrder(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFence && o.Fence < e.state.HighestFence {
		return false
	}
	e.state.HighestFence = max(e.state.HighestFence, o.Fence)
	e.orders = append(e.orders, o)
	switch o.Kind {
	case orderLoadVersion:
		e.startLoad(o.WeightVersion)
	case orderLoadAdapter:
		if !slices.Contains(e.state.Adapters, o.Adapter) {
			e.state.Adapters = append(e.state.Adapters, o.Adapter)
		}
	case orderSetRole:
		e.state.Role = o.Role
	}
	return true
}

// startLoad starts to load a version and cancels the load of any other. The caller holds the mutex.
func (e *Engine) startLoad(version string) {
	if e.state.Loading == version {
		return
	}
	e.cancelLoad()
	if slices.Contains(e.state.WeightVersions, version) {
		e.state.Loading = ""
		e.state.Serving = version
		e.unloadUnused()
		return
	}
	e.state.Loading = version
	ctx, cancel := context.WithCancel(e.ctx)
	e.cancelLoad = cancel
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		defer cancel()
		e.load(ctx, version)
	}()
}

func (e *Engine) load(ctx context.Context, version string) {
	factor := e.reportToWeightStore(ctx, "/loads/begin")
	defer e.reportToWeightStore(e.ctx, "/loads/end")
	wait := e.scaled(float64(e.settings.LoadMS) * factor * float64(time.Millisecond))
	if e.pauseUntil(ctx, time.Now().Add(wait)) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil || e.state.Loading != version {
		return
	}
	e.state.Loading = ""
	e.state.Serving = version
	e.state.WeightVersions = append(e.state.WeightVersions, version)
	e.unloadUnused()
}

// unloadUnused unloads the versions that are neither the serving one nor used by a run. The caller holds the mutex.
func (e *Engine) unloadUnused() {
	keep := e.state.WeightVersions[:0]
	for _, version := range e.state.WeightVersions {
		if version == e.state.Serving || e.runsByVersion[version] > 0 {
			keep = append(keep, version)
			continue
		}
		e.cache.removeVersion(version, time.Now())
	}
	e.state.WeightVersions = keep
}

// reportToWeightStore reports the start or end of a load to the weight store, by path. It returns how many times
// longer the load takes than at full speed, or 1 when the weight store does not respond.
func (e *Engine) reportToWeightStore(ctx context.Context, path string) float64 {
	if e.weights == nil {
		return 1
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + e.weights.Address() + path + "?engine=" + e.Address())
	if err := e.weights.Do(ctx, request, response); err != nil {
		return 1
	}
	var loads weightserver.Loads
	if json.Unmarshal(response.Body(), &loads) != nil || loads.MaxParallel == 0 {
		return 1
	}
	return max(1, float64(loads.Running)/float64(loads.MaxParallel))
}

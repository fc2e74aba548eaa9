package engine

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonspar.example/standin/listener"
)

type order struct {
	OrderID string `json:"order_id"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
	Fence   uint64 `json:"fence"`
}

// orderRecord is an order that was received, for tests to inspect.
type orderRecord struct {
	order
	Accepted bool  `json:"accepted"` // Not refused because of its fencing token.
	AtUnixMS int64 `json:"at_unix_ms"`
}

type ordersResponse struct {
	Fence  uint64        `json:"fence"`
	Role   string        `json:"role"`
	Orders []orderRecord `json:"orders"`
}

// orderState is the state that orders change, and the orders received.
type orderState struct {
	readyModels []Model
	role        string
	fence       uint64 // The highest fencing token received.
	history     []orderRecord
}

func (s *orderState) hasModel(m Model) bool { return slices.Contains(s.readyModels, m) }

func (s *orderState) add(m Model) {
	if !s.hasModel(m) {
		s.readyModels = append(s.readyModels, m)
	}
}

func (s *orderState) remove(m Model) {
	s.readyModels = slices.DeleteFunc(s.readyModels, func(other Model) bool { return other == m })
}

func (s *Server) serveOrders(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.IsGet() {
		r := ordersResponse{Fence: s.orders.fence, Role: s.orders.role, Orders: s.orders.history}
		listener.WriteJSON(ctx, fasthttp.StatusOK, r)
		return
	}
	var o order
	if json.Unmarshal(ctx.PostBody(), &o) != nil || o.OrderID == "" {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_request")
		return
	}
	stale := s.cfg.CheckFencingTokens && o.Fence < s.orders.fence
	record := orderRecord{order: o, Accepted: !stale, AtUnixMS: time.Now().UnixMilli()}
	s.orders.history = append(s.orders.history, record)
	if stale {
		writeError(ctx, fasthttp.StatusConflict, "stale_fence")
		return
	}
	s.orders.fence = max(s.orders.fence, o.Fence)
	if !s.execute(o) {
		writeError(ctx, fasthttp.StatusBadRequest, "unknown_kind")
		return
	}
	listener.WriteJSON(ctx, fasthttp.StatusOK, struct{}{})
}

// execute carries out an order. It returns false if the kind is unknown. The
// caller holds the lock.
func (s *Server) execute(o order) bool {
	m := Model{Model: o.Model, Version: o.Version, Adapter: o.Adapter}
	switch o.Kind {
	case "load":
		if !consume(&s.faults.FailLoads) {
			s.startLoad(m)
		}
	case "unload":
		s.orders.remove(m)
	case "role":
		s.orders.role = o.Role
	default:
		return false
	}
	return true
}

func (s *Server) startLoad(m Model) {
	if s.cfg.LoadTime == 0 {
		s.orders.add(m)
		return
	}
	s.group.Go(func() {
		if s.sleep(s.cfg.LoadTime) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.orders.add(m)
		}
	})
}

package generator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/cataloger"

	"github.com/pkg/errors"
)

// Load is the load report of an engine.
type Load struct {
	Report        admitter.LoadReport
	BootID        string                // Changes with each restart of the engine.
	Ready         []cataloger.Placement // The models that are loaded.
	ShuttingDown  bool
	Role          string // Name of a cataloger.Role.
	TokenCapacity int    // Capacity of the KV cache in tokens.
}

// loadBody is the wire form of Load.
type loadBody struct {
	AgeMS        int     `json:"age_ms"`
	Running      int     `json:"running"`
	Waiting      int     `json:"waiting"`
	MemoryTokens int     `json:"memory_tokens"`
	UsedTokens   int     `json:"used_tokens"`
	StepMS       float64 `json:"step_ms"`
	Preemptions  int     `json:"preemptions"`
	ShuttingDown bool    `json:"leaving"`
	Role         string  `json:"role"`
	BootID       string  `json:"boot_id"`
	Models       []struct {
		Model   string `json:"model"`
		Version string `json:"version"`
		Adapter string `json:"adapter"`
	} `json:"models"`
	Sequences []struct {
		AttemptID    string `json:"attempt_id"`
		Produced     int    `json:"produced"`
		PromptTokens int    `json:"prompt_tokens"`
	} `json:"sequences"`
}

// Load reads the load report of the endpoint at addr. The time of the report is
// now less the age that the engine reports. The list of sequences makes up most
// of a report and is requested only if sequences is set.
func (c *Client) Load(ctx context.Context, addr string, now time.Time, sequences bool) (Load, error) {
	path := "/load?sequences=0"
	if sequences {
		path = "/load"
	}
	var b loadBody
	if err := c.call(ctx, requester.Request{Method: "GET", Addr: addr, Path: path}, &b); err != nil {
		return Load{}, err
	}
	if b.AgeMS < 0 || b.Running < 0 || b.UsedTokens < 0 || b.StepMS < 0 {
		return Load{}, errors.Wrap(ErrMalformed, "negative number in a load report")
	}
	l := Load{BootID: b.BootID, ShuttingDown: b.ShuttingDown, Role: b.Role, TokenCapacity: b.MemoryTokens}
	l.Report = admitter.LoadReport{
		At:      now.Add(-time.Duration(b.AgeMS) * time.Millisecond),
		Running: b.Running, Waiting: b.Waiting, UsedTokens: b.UsedTokens,
		StepTime:    time.Duration(b.StepMS * float64(time.Millisecond)),
		Preemptions: b.Preemptions, ShuttingDown: b.ShuttingDown,
	}
	for _, m := range b.Models {
		l.Ready = append(l.Ready, cataloger.Placement{Model: m.Model, Version: m.Version, Adapter: m.Adapter})
	}
	for _, q := range b.Sequences {
		l.Report.Sequences = append(l.Report.Sequences, admitter.Sequence{
			ID: admitter.PermitID(q.AttemptID), Produced: q.Produced, PromptTokens: q.PromptTokens,
		})
	}
	return l, nil
}

// cacheEventsBody is the wire form of a batch of KV cache events.
type cacheEventsBody struct {
	Events []struct {
		Seq  uint64 `json:"seq"`
		Type string `json:"type"`
		Hash uint64 `json:"hash"`
	} `json:"events"`
}

// CacheEvents reads the KV cache events that follow sequence number after.
// Events of an unknown type are skipped, so that the caller detects a gap in the
// sequence numbers.
func (c *Client) CacheEvents(ctx context.Context, addr string, after uint64) ([]router.CacheEvent, error) {
	var b cacheEventsBody
	path := fmt.Sprintf("/cache_events?after=%d", after)
	if err := c.call(ctx, requester.Request{Method: "GET", Addr: addr, Path: path}, &b); err != nil {
		return nil, err
	}
	var events []router.CacheEvent
	for _, e := range b.Events {
		t, ok := cacheEventType(e.Type)
		if !ok {
			continue
		}
		events = append(events, router.CacheEvent{Seq: e.Seq, Type: t, Hash: e.Hash})
	}
	return events, nil
}

// cacheEventType returns the event type with the given wire name.
func cacheEventType(name string) (router.CacheEventType, bool) {
	switch name {
	case "stored":
		return router.CacheStored, true
	case "evicted":
		return router.CacheEvicted, true
	case "cleared":
		return router.CacheCleared, true
	}
	return 0, false
}

// Order asks an engine to load or unload a model, or to change its role.
type Order struct {
	ID           string
	Kind         string // "load", "unload" or "role".
	Placement    cataloger.Placement
	Role         cataloger.Role
	FencingToken uint64 // An engine that checks it refuses a lower token than the highest it has seen.
}

// orderBody is the wire form of Order.
type orderBody struct {
	OrderID string `json:"order_id"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Fence   uint64 `json:"fence"`
}

// Order sends an order to the engine at addr.
func (c *Client) Order(ctx context.Context, addr string, o Order) error {
	body, err := json.Marshal(orderBody{
		OrderID: o.ID, Kind: o.Kind, Fence: o.FencingToken, Role: string(o.Role),
		Model: o.Placement.Model, Version: o.Placement.Version, Adapter: o.Placement.Adapter,
	})
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	var out struct{}
	return c.call(ctx, requester.Request{
		Method: "POST", Addr: addr, Path: "/orders", Body: body, NonIdempotent: true, OwnConnection: true,
		Header: []requester.Header{{Name: "Content-Type", Value: "application/json"}},
	}, &out)
}

package messenger

import (
	"context"
	"time"

	"monsoonspar.example/coordination/admitter"
)

// permitMessage is the wire form of admitter.Request for one endpoint.
type permitMessage struct {
	_msgpack     struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.
	Endpoint     string
	ID           string
	Daemon       string
	Customer     string
	Model        string
	Version      string
	Adapter      string
	Kind         string
	Level        int
	Weight       float64
	PromptTokens int
	CachedTokens int
	MaxTokens    int
	Age          time.Duration
	Timeout      time.Duration
	MaxQueued    int
	MaxRunning   int
	TokensPerSec float64
	Produced     int // For a permit that is already held.
}

// actionMessage is the wire form of admitter.Action.
type actionMessage struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.
	Kind       int
	Priority   int
	Reason     string
	RetryAfter time.Duration
}

// releaseMessage ends a permit.
type releaseMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.
	Endpoint string
	ID       string
	Daemon   string
	Produced int
	Finished bool
}

// releaseReply tells whether the daemon held the permit.
type releaseReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.
	Holder   bool
}

// quoteMessage is the wire form of admitter.Quote.
type quoteMessage struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.
	Wait      time.Duration
	Run       time.Duration
	Feasible  bool
	Available bool
}

// holdMessage reports permits that are held.
type holdMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.
	Endpoint string
	Daemon   string
	Permits  []permitMessage
}

// empty is a message without content.
type empty struct{}

// newPermitMessage encodes r relative to now.
func newPermitMessage(endpoint string, r admitter.Request, produced int, now time.Time) permitMessage {
	return permitMessage{
		Endpoint: endpoint, ID: string(r.ID), Daemon: r.Daemon, Customer: r.Customer,
		Model: r.Model, Version: r.Version, Adapter: r.Adapter, Kind: r.Kind,
		Level: r.Level, Weight: r.Weight,
		PromptTokens: r.PromptTokens, CachedTokens: r.CachedTokens, MaxTokens: r.MaxTokens,
		Age: max(now.Sub(r.Arrived), 0), Timeout: remaining(now, r.Deadline),
		MaxQueued: r.Limits.MaxQueued, MaxRunning: r.Limits.MaxRunning,
		TokensPerSec: r.Limits.TokensPerSecond, Produced: produced,
	}
}

// request decodes m relative to now.
func (m permitMessage) request(now time.Time) admitter.Request {
	return admitter.Request{
		ID: admitter.PermitID(m.ID), Daemon: m.Daemon, Customer: m.Customer,
		Model: m.Model, Version: m.Version, Adapter: m.Adapter, Kind: m.Kind,
		Level: m.Level, Weight: m.Weight,
		PromptTokens: m.PromptTokens, CachedTokens: m.CachedTokens, MaxTokens: m.MaxTokens,
		Arrived: now.Add(-m.Age), Deadline: after(now, m.Timeout),
		Limits: admitter.Limits{MaxQueued: m.MaxQueued, MaxRunning: m.MaxRunning, TokensPerSecond: m.TokensPerSec},
	}
}

// Permit asks the owner at addr for a permit and waits for its decision.
func (m *Messenger) Permit(ctx context.Context, addr, endpoint string, r admitter.Request) (admitter.Action, error) {
	in := newPermitMessage(endpoint, r, 0, m.clock.Now())
	out, err := invoke[permitMessage, actionMessage](ctx, m.caller, addr, methodPermit, in)
	if err != nil {
		return admitter.Action{}, err
	}
	return admitter.Action{
		Kind: admitter.ActionKind(out.Kind), ID: r.ID, EnginePriority: out.Priority,
		Reason: admitter.Reason(out.Reason), RetryAfter: out.RetryAfter,
	}, nil
}

// Release ends a permit and reports whether this daemon still held it.
func (m *Messenger) Release(ctx context.Context, addr, endpoint string, id admitter.PermitID, res admitter.Result) (bool, error) {
	in := releaseMessage{Endpoint: endpoint, ID: string(id), Daemon: m.name, Produced: res.Produced, Finished: res.Finished}
	out, err := invoke[releaseMessage, releaseReply](ctx, m.caller, addr, methodRelease, in)
	return out.Holder, err
}

// Quote asks the owner at addr for a forecast.
func (m *Messenger) Quote(ctx context.Context, addr, endpoint string, r admitter.Request) (admitter.Quote, error) {
	in := newPermitMessage(endpoint, r, 0, m.clock.Now())
	out, err := invoke[permitMessage, quoteMessage](ctx, m.caller, addr, methodQuote, in)
	if err != nil {
		return admitter.Quote{}, err
	}
	return admitter.Quote{Wait: out.Wait, Run: out.Run, Feasible: out.Feasible, Available: out.Available}, nil
}

// Hold reports permits held by this daemon to the owner at addr.
func (m *Messenger) Hold(ctx context.Context, addr, endpoint string, held []admitter.Held) error {
	in := holdMessage{Endpoint: endpoint, Daemon: m.name}
	now := m.clock.Now()
	for _, h := range held {
		in.Permits = append(in.Permits, newPermitMessage(endpoint, h.Request, h.Produced, now))
	}
	_, err := invoke[holdMessage, empty](ctx, m.caller, addr, methodHold, in)
	return err
}

package messenger

import (
	"context"
	"encoding/hex"
	"time"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/state/cataloger"

	"github.com/cespare/xxhash/v2"
)

// NoBound as the longest wait lets a request queue however long that takes.
const NoBound = time.Duration(-1)

// idBytes is the length of an attempt id of this system without its
// hexadecimal form.
const idBytes = 12

// Answer is what an owner says to a request for a permit.
type Answer struct {
	Busy   bool              // The wait would exceed the bound; nothing was queued.
	Quote  admitter.Estimate // For Busy.
	Action admitter.Action   // Otherwise: Grant or Refuse.
}

// Names resolves the short hashes of names in the manifest in force.
type Names interface {
	// Name returns the name with a hash, or false if none or several have it.
	Name(hash uint32) (string, bool)
}

// Hash returns the short hash by which messages refer to a name.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// permitMessage asks for a permit, or reports one that is held. Names are sent
// in full only to a daemon that does not know a hash.
type permitMessage struct {
	Endpoint     uint32
	ID           []byte
	Customer     uint32
	Placement    uint32
	Kind         string
	Prefix       uint32
	CachedTokens int
	PromptTokens int
	MaxTokens    int
	AgeMS        int64
	TimeoutMS    int64
	MaxWaitMS    int64 // Negative for no bound.
	Produced     int   // For a permit that is held.
	Names        *permitNames
	Trace        string // The asker's span as a traceparent, if it is sampled.
}

// permitNames are the names whose hashes a permitMessage holds.
type permitNames struct {
	Endpoint string
	Customer string
	Model    string
	Version  string
	Adapter  string
}

// answerKind tells the answers to a permitMessage apart.
type answerKind uint8

const (
	answerGrant answerKind = iota
	answerRefuse
	answerBusy
	answerUnknownNames
)

// answerMessage is the wire form of Answer.
type answerMessage struct {
	Kind     answerKind
	Priority int
	Reason   string
	TimeMS   int64 // When to come back for a refusal; the wait for a busy owner.
	RunMS    int64
	Feasible bool
	Leaving  bool
}

// releaseMessage ends a permit.
type releaseMessage struct {
	Endpoint uint32
	ID       []byte
	Produced int
	Finished bool
}

// releaseReply tells whether the daemon held the permit.
type releaseReply struct {
	Holder bool
}

// holdMessage reports permits that are held.
type holdMessage struct {
	Endpoint string
	Permits  []permitMessage
}

// empty is a message without content.
type empty struct{}

// encodeID returns the short form of an id.
func encodeID(id admitter.PermitID) []byte {
	if b, err := hex.DecodeString(string(id)); err == nil && len(b) == idBytes {
		return b
	}
	return []byte(id)
}

// decodeID returns the id with a short form.
func decodeID(b []byte) admitter.PermitID {
	if len(b) == idBytes {
		return admitter.PermitID(hex.EncodeToString(b))
	}
	return admitter.PermitID(b)
}

// PlacementName returns the name of a placement whose hash messages carry.
func PlacementName(p cataloger.Placement) string { return p.Model + "@" + p.Version + ":" + p.Adapter }

// newPermitMessage encodes r relative to now.
func newPermitMessage(endpoint string, r admitter.Request, now time.Time) permitMessage {
	placement := cataloger.Placement{Model: r.Model, Version: r.Version, Adapter: r.Adapter}
	return permitMessage{
		Endpoint: Hash(endpoint), ID: encodeID(r.ID), Customer: Hash(r.Customer),
		Placement: Hash(PlacementName(placement)), Kind: r.Kind, Prefix: uint32(r.Prefix),
		CachedTokens: r.CachedTokens, PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens,
		AgeMS: max(now.Sub(r.Arrived).Milliseconds(), 0), TimeoutMS: remaining(now, r.Deadline).Milliseconds(),
	}
}

// namesOf returns the names of a request in full.
func namesOf(endpoint string, r admitter.Request) *permitNames {
	return &permitNames{Endpoint: endpoint, Customer: r.Customer, Model: r.Model, Version: r.Version, Adapter: r.Adapter}
}

// request decodes m relative to now, without its names.
func (m permitMessage) request(daemon string, now time.Time) admitter.Request {
	return admitter.Request{
		ID: decodeID(m.ID), Daemon: daemon, Kind: m.Kind, Prefix: uint64(m.Prefix),
		CachedTokens: m.CachedTokens, PromptTokens: m.PromptTokens, MaxTokens: m.MaxTokens,
		Arrived:  now.Add(-time.Duration(m.AgeMS) * time.Millisecond),
		Deadline: after(now, time.Duration(m.TimeoutMS)*time.Millisecond),
	}
}

// newAnswerMessage encodes an answer.
func newAnswerMessage(a Answer) answerMessage {
	if a.Busy {
		return answerMessage{
			Kind: answerBusy, TimeMS: a.Quote.QueueWait.Milliseconds(), RunMS: a.Quote.RunTime.Milliseconds(),
			Feasible: a.Quote.Feasible, Leaving: !a.Quote.Available,
		}
	}
	m := answerMessage{Kind: answerGrant, Priority: a.Action.EnginePriority}
	if a.Action.Kind == admitter.Refuse {
		m = answerMessage{Kind: answerRefuse, Reason: string(a.Action.Reason), TimeMS: a.Action.RetryAfter.Milliseconds()}
	}
	return m
}

// answer decodes an answer about the permit id.
func (m answerMessage) answer(id admitter.PermitID) Answer {
	d := time.Duration(m.TimeMS) * time.Millisecond
	switch m.Kind {
	case answerBusy:
		return Answer{Busy: true, Quote: admitter.Estimate{
			QueueWait: d, RunTime: time.Duration(m.RunMS) * time.Millisecond, Feasible: m.Feasible, Available: !m.Leaving,
		}}
	case answerRefuse:
		return Answer{Action: admitter.Action{Kind: admitter.Refuse, ID: id, Reason: admitter.Reason(m.Reason), RetryAfter: d}}
	case answerGrant, answerUnknownNames:
	}
	return Answer{Action: admitter.Action{Kind: admitter.Grant, ID: id, EnginePriority: m.Priority}}
}

// Permit asks the owner at addr for a permit and waits for its decision. An
// owner whose wait would exceed maxWait answers at once that it is busy.
func (m *Messenger) Permit(ctx context.Context, addr, endpoint string, r admitter.Request, maxWait time.Duration) (Answer, error) {
	in := newPermitMessage(endpoint, r, m.clock.Now())
	in.Trace = encodeTrace(ctx)
	in.MaxWaitMS = maxWait.Milliseconds()
	if maxWait < 0 {
		in.MaxWaitMS = -1
	}
	out, err := invoke[permitMessage, answerMessage](ctx, m.caller, addr, methodPermit, in)
	if err == nil && out.Kind == answerUnknownNames {
		in.Names = namesOf(endpoint, r)
		out, err = invoke[permitMessage, answerMessage](ctx, m.caller, addr, methodPermit, in)
	}
	if err != nil {
		return Answer{}, err
	}
	if out.Kind == answerUnknownNames {
		return Answer{}, ErrNames
	}
	return out.answer(r.ID), nil
}

// Finish ends a permit whose generation is complete. It may be lost; the owner
// then sees from the load report that the generation has ended.
func (m *Messenger) Finish(ctx context.Context, addr, endpoint string, id admitter.PermitID, res admitter.Result) error {
	body, err := pack(&releaseMessage{Endpoint: Hash(endpoint), ID: encodeID(id), Produced: res.Produced, Finished: res.Finished})
	if err != nil {
		return err
	}
	return m.caller.Send(ctx, addr, methodRelease, body)
}

// Release ends a permit and reports whether this daemon still held it.
func (m *Messenger) Release(ctx context.Context, addr, endpoint string, id admitter.PermitID, res admitter.Result) (bool, error) {
	in := releaseMessage{Endpoint: Hash(endpoint), ID: encodeID(id), Produced: res.Produced, Finished: res.Finished}
	out, err := invoke[releaseMessage, releaseReply](ctx, m.caller, addr, methodRelease, in)
	return out.Holder, err
}

// Hold reports permits held by this daemon to the owner at addr.
func (m *Messenger) Hold(ctx context.Context, addr, endpoint string, held []admitter.HeldPermit) error {
	in := holdMessage{Endpoint: endpoint}
	now := m.clock.Now()
	for _, h := range held {
		p := newPermitMessage(endpoint, h.Request, now)
		p.Produced = h.Produced
		p.Names = namesOf(endpoint, h.Request)
		in.Permits = append(in.Permits, p)
	}
	_, err := invoke[holdMessage, empty](ctx, m.caller, addr, methodHold, in)
	return err
}

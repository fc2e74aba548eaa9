package messenger

import (
	"context"
	"encoding/hex"
	"time"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/state/cataloger"

	"github.com/cespare/xxhash/v2"
)

// UnlimitedWait is the maxWait of a request that is queued without a limit on the wait.
const UnlimitedWait = time.Duration(-1)

// idBytes is the decoded length of an attempt ID, which is written in hexadecimal.
const idBytes = 12

// PermitResult is the result of a request for a permit.
type PermitResult struct {
	Busy     bool              // The queue wait would exceed maxWait; the request was not queued.
	Estimate admitter.Estimate // Set if Busy.
	Action   admitter.Action   // Grant or Refuse; set unless Busy.
}

// NameResolver resolves the short hashes of names in the current manifest.
type NameResolver interface {
	// Name returns the name with the given hash, or false unless exactly one name
	// has it.
	Name(hash uint32) (string, bool)
}

// Hash returns the short hash that stands for a name in messages.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// permitRequest requests a permit, or describes one that is held. Names are sent
// in full with held permits, and to an owner that can't resolve a hash.
type permitRequest struct {
	EndpointHash  uint32
	ID            []byte
	CustomerHash  uint32
	PlacementHash uint32
	Kind          string
	Prefix        uint32
	CachedTokens  int
	PromptTokens  int
	MaxTokens     int
	AgeMS         int64
	TimeoutMS     int64
	MaxWaitMS     int64 // Negative for no limit.
	Produced      int   // Output tokens so far; set only for a held permit.
	Names         *permitNames
	Traceparent   string // Span of the caller if it is sampled, otherwise empty.
}

// permitNames holds the names whose hashes are in a permitRequest.
type permitNames struct {
	Endpoint string
	Customer string
	Model    string
	Version  string
	Adapter  string
}

// replyKind is the kind of a permitReply.
type replyKind uint8

const (
	replyGranted replyKind = iota
	replyRefused
	replyBusy
	replyUnknownNames
)

// permitReply is the wire form of PermitResult.
type permitReply struct {
	Kind         replyKind
	Priority     int
	Reason       string
	DelayMS      int64 // Delay before a retry if refused; estimated queue wait if busy.
	RunTimeMS    int64
	Feasible     bool
	ShuttingDown bool
}

// releaseRequest ends a permit.
type releaseRequest struct {
	EndpointHash uint32
	ID           []byte
	Produced     int
	Finished     bool
}

// releaseReply reports whether the daemon held the permit.
type releaseReply struct {
	Holder bool
}

// restoreRequest reports permits that the sender holds.
type restoreRequest struct {
	Endpoint string
	Permits  []permitRequest
}

// empty is a message without content.
type empty struct{}

// encodeID returns the binary form of an ID: its decoded bytes if it is idBytes in
// hexadecimal, otherwise its text.
func encodeID(id admitter.PermitID) []byte {
	if b, err := hex.DecodeString(string(id)); err == nil && len(b) == idBytes {
		return b
	}
	return []byte(id)
}

// decodeID returns the ID with the given binary form.
func decodeID(b []byte) admitter.PermitID {
	if len(b) == idBytes {
		return admitter.PermitID(hex.EncodeToString(b))
	}
	return admitter.PermitID(b)
}

// PlacementName returns the name of a placement from which its hash is computed.
func PlacementName(p cataloger.Placement) string { return p.Model + "@" + p.Version + ":" + p.Adapter }

// newPermitRequest encodes r with its times relative to now.
func newPermitRequest(endpoint string, r admitter.Request, now time.Time) permitRequest {
	placement := cataloger.Placement{Model: r.Model, Version: r.Version, Adapter: r.Adapter}
	return permitRequest{
		EndpointHash: Hash(endpoint), ID: encodeID(r.ID), CustomerHash: Hash(r.Customer),
		PlacementHash: Hash(PlacementName(placement)), Kind: r.Kind, Prefix: uint32(r.Prefix),
		CachedTokens: r.CachedTokens, PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens,
		AgeMS: max(now.Sub(r.Arrived).Milliseconds(), 0), TimeoutMS: remaining(now, r.Deadline).Milliseconds(),
	}
}

// newPermitNames returns the names in a request.
func newPermitNames(endpoint string, r admitter.Request) *permitNames {
	return &permitNames{Endpoint: endpoint, Customer: r.Customer, Model: r.Model, Version: r.Version, Adapter: r.Adapter}
}

// request decodes m, except for its names, with times relative to now.
func (m permitRequest) request(daemon string, now time.Time) admitter.Request {
	return admitter.Request{
		ID: decodeID(m.ID), Daemon: daemon, Kind: m.Kind, Prefix: uint64(m.Prefix),
		CachedTokens: m.CachedTokens, PromptTokens: m.PromptTokens, MaxTokens: m.MaxTokens,
		Arrived:  now.Add(-time.Duration(m.AgeMS) * time.Millisecond),
		Deadline: deadlineAfter(now, time.Duration(m.TimeoutMS)*time.Millisecond),
	}
}

func newPermitReply(result PermitResult) permitReply {
	if result.Busy {
		return permitReply{
			Kind: replyBusy, DelayMS: result.Estimate.QueueWait.Milliseconds(), RunTimeMS: result.Estimate.RunTime.Milliseconds(),
			Feasible: result.Estimate.Feasible, ShuttingDown: !result.Estimate.Available,
		}
	}
	m := permitReply{Kind: replyGranted, Priority: result.Action.EnginePriority}
	if result.Action.Kind == admitter.Refuse {
		m = permitReply{Kind: replyRefused, Reason: string(result.Action.Reason), DelayMS: result.Action.RetryAfter.Milliseconds()}
	}
	return m
}

// result decodes a reply about the permit with the given ID.
func (m permitReply) result(id admitter.PermitID) PermitResult {
	delay := time.Duration(m.DelayMS) * time.Millisecond
	switch m.Kind {
	case replyBusy:
		return PermitResult{Busy: true, Estimate: admitter.Estimate{
			QueueWait: delay, RunTime: time.Duration(m.RunTimeMS) * time.Millisecond, Feasible: m.Feasible, Available: !m.ShuttingDown,
		}}
	case replyRefused:
		return PermitResult{Action: admitter.Action{Kind: admitter.Refuse, ID: id, Reason: admitter.Reason(m.Reason), RetryAfter: delay}}
	case replyGranted, replyUnknownNames:
	}
	return PermitResult{Action: admitter.Action{Kind: admitter.Grant, ID: id, EnginePriority: m.Priority}}
}

// Permit requests a permit from the owner at addr and waits for its decision. If
// the queue wait would exceed maxWait, the owner replies immediately that it is
// busy. If it can't resolve a hash, the request is sent again with the names in
// full.
func (m *Messenger) Permit(ctx context.Context, addr, endpoint string, r admitter.Request, maxWait time.Duration) (PermitResult, error) {
	in := newPermitRequest(endpoint, r, m.clock.Now())
	in.Traceparent = encodeTrace(ctx)
	in.MaxWaitMS = maxWait.Milliseconds()
	if maxWait < 0 {
		in.MaxWaitMS = -1
	}
	out, err := invoke[permitRequest, permitReply](ctx, m.transport, addr, methodPermit, in)
	if err == nil && out.Kind == replyUnknownNames {
		in.Names = newPermitNames(endpoint, r)
		out, err = invoke[permitRequest, permitReply](ctx, m.transport, addr, methodPermit, in)
	}
	if err != nil {
		return PermitResult{}, err
	}
	if out.Kind == replyUnknownNames {
		return PermitResult{}, ErrUnknownName
	}
	return out.result(r.ID), nil
}

// Finish ends a permit whose generation is complete, without waiting for a reply.
// If the message is lost, the owner detects the end of the generation from the
// load report.
func (m *Messenger) Finish(ctx context.Context, addr, endpoint string, id admitter.PermitID, res admitter.Result) error {
	body, err := encode(&releaseRequest{EndpointHash: Hash(endpoint), ID: encodeID(id), Produced: res.Produced, Finished: res.Finished})
	if err != nil {
		return err
	}
	return m.transport.Send(ctx, addr, methodRelease, body)
}

// Release ends a permit and reports whether this daemon still held it.
func (m *Messenger) Release(ctx context.Context, addr, endpoint string, id admitter.PermitID, res admitter.Result) (bool, error) {
	in := releaseRequest{EndpointHash: Hash(endpoint), ID: encodeID(id), Produced: res.Produced, Finished: res.Finished}
	out, err := invoke[releaseRequest, releaseReply](ctx, m.transport, addr, methodRelease, in)
	return out.Holder, err
}

// ReportHeld reports permits that this daemon holds to the owner at addr.
func (m *Messenger) ReportHeld(ctx context.Context, addr, endpoint string, held []admitter.HeldPermit) error {
	in := restoreRequest{Endpoint: endpoint}
	now := m.clock.Now()
	for _, h := range held {
		p := newPermitRequest(endpoint, h.Request, now)
		p.Produced = h.Produced
		p.Names = newPermitNames(endpoint, h.Request)
		in.Permits = append(in.Permits, p)
	}
	_, err := invoke[restoreRequest, empty](ctx, m.transport, addr, methodRestore, in)
	return err
}

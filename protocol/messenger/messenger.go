// Package messenger encodes what daemons say to each other: permits, gossip,
// configuration, news of endpoints and status.
//
// Points in time travel as durations from now, since clocks of VMs differ.
// Structs travel as arrays and names of the manifest as short hashes, which
// keeps a request for a permit below 100 bytes.
package messenger

import (
	"bytes"
	"context"
	"time"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/coordination/configurer"
	"monsoonspar.example/coordination/prober"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/state/timekeeper"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Errors of messages.
var (
	ErrMalformed = errors.New("messenger: malformed message")
	ErrMethod    = errors.New("messenger: unknown method")
	ErrNames     = errors.New("messenger: the owner does not know a name")
)

// The methods. Their names are short since each message carries one.
const (
	methodPermit  = "p"
	methodRelease = "r"
	methodHold    = "h"
	methodGossip  = "g"
	methodConfig  = "c"
	methodNews    = "n"
	methodStatus  = "s"
)

// Caller carries calls to other daemons.
type Caller interface {
	Call(ctx context.Context, addr, method string, body []byte) ([]byte, error)
	Send(ctx context.Context, addr, method string, body []byte) error
}

// Owners answers what other daemons ask of the endpoints owned here.
type Owners interface {
	// Permit queues a request and returns once it is granted or refused, or at
	// once if the wait would exceed maxWait; NoBound waits however long.
	Permit(ctx context.Context, endpoint string, r admitter.Request, maxWait time.Duration) (Answer, error)
	// Release ends a permit held by daemon and reports whether it was the holder.
	Release(endpoint, daemon string, id admitter.PermitID, res admitter.Result) (bool, error)
	// Hold takes over permits that their holder reports.
	Hold(endpoint, daemon string, held []admitter.HeldPermit) error
}

// Gossip handles messages about membership, configuration and endpoints.
type Gossip interface {
	HandleGossip(ctx context.Context, msg prober.Message)
	HandleConfig(ev configurer.Event)
	HandleNews(rep router.Report)
	Status() ([]byte, error)
}

// Messenger is both sides of the protocol. It is safe for concurrent use.
type Messenger struct {
	caller Caller
	clock  timekeeper.Clock
}

// New returns a Messenger that sends through caller.
func New(caller Caller, clock timekeeper.Clock) *Messenger {
	return &Messenger{caller: caller, clock: clock}
}

// invoke performs a call with encoded arguments and result.
func invoke[In, Out any](ctx context.Context, c Caller, addr, method string, in In) (Out, error) {
	var out Out
	body, err := pack(&in)
	if err != nil {
		return out, err
	}
	got, err := c.Call(ctx, addr, method, body)
	if err != nil {
		return out, err
	}
	return out, decode(got, &out)
}

// pack encodes a message with its structs as arrays, which saves the names of
// the fields.
func pack(m any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(m); err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return buf.Bytes(), nil
}

// decode decodes a message.
func decode(body []byte, out any) error {
	if err := msgpack.Unmarshal(body, out); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// remaining returns the time until t, at least a millisecond, or zero for the
// zero time.
func remaining(now, t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(t.Sub(now), time.Millisecond)
}

// after returns the time d from now, or the zero time for zero.
func after(now time.Time, d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return now.Add(d)
}

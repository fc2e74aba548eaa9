// Package messenger encodes what daemons say to each other: permits, quotes,
// gossip, configuration and status.
//
// Points in time travel as durations from now, since clocks of VMs differ.
package messenger

import (
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

// ErrMalformed is returned for a message that can't be decoded.
var ErrMalformed = errors.New("messenger: malformed message")

// ErrMethod is returned for a call of an unknown method.
var ErrMethod = errors.New("messenger: unknown method")

// The methods.
const (
	methodPermit  = "permit"
	methodRelease = "release"
	methodQuote   = "quote"
	methodHold    = "hold"
	methodGossip  = "gossip"
	methodConfig  = "config"
	methodNews    = "news"
	methodStatus  = "status"
)

// Caller carries calls to other daemons.
type Caller interface {
	Call(ctx context.Context, addr, method string, body []byte) ([]byte, error)
	Send(ctx context.Context, addr, method string, body []byte) error
}

// Owners answers what other daemons ask of the endpoints owned here.
type Owners interface {
	// Permit queues a request and returns once it is granted or refused.
	Permit(ctx context.Context, endpoint string, r admitter.Request) (admitter.Action, error)
	// Release ends a permit held by daemon and reports whether it was the holder.
	Release(endpoint, daemon string, id admitter.PermitID, res admitter.Result) (bool, error)
	// Quote forecasts the wait of a request.
	Quote(endpoint string, r admitter.Request) (admitter.Quote, error)
	// Hold takes over permits that their holder reports.
	Hold(endpoint, daemon string, held []admitter.Held) error
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
	name   string
	caller Caller
	clock  timekeeper.Clock
}

// New returns a Messenger for the daemon called name.
func New(name string, caller Caller, clock timekeeper.Clock) *Messenger {
	return &Messenger{name: name, caller: caller, clock: clock}
}

// invoke performs a call with encoded arguments and result.
func invoke[In, Out any](ctx context.Context, c Caller, addr, method string, in In) (Out, error) {
	var out Out
	body, err := msgpack.Marshal(&in)
	if err != nil {
		return out, errors.Wrap(err, "encode "+method)
	}
	got, err := c.Call(ctx, addr, method, body)
	if err != nil {
		return out, err
	}
	return out, decode(got, &out)
}

// decode decodes a message.
func decode(body []byte, out any) error {
	if err := msgpack.Unmarshal(body, out); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// remaining returns the time until t, or zero for the zero time.
func remaining(now, t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(t.Sub(now), 1)
}

// after returns the time d from now, or the zero time for zero.
func after(now time.Time, d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return now.Add(d)
}

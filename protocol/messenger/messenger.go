// Package messenger implements the protocol between peers: permits, gossip,
// configuration, endpoint status and daemon status. Each endpoint is owned by one
// daemon, which grants the permits to run requests there; a daemon that receives
// a request from a client asks the owner for one.
//
// A Messenger encodes calls and sends them over a Transport; at the receiver, a
// Dispatcher decodes them and passes them to handlers.
//
// Times are encoded as durations relative to now, since the clocks of VMs differ.
// Structs are encoded as arrays and names from the manifest as short hashes,
// which keeps a request for a permit below 100 bytes.
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

// Errors of the protocol.
var (
	ErrMalformed     = errors.New("messenger: malformed message")
	ErrUnknownMethod = errors.New("messenger: unknown method")
	ErrUnknownName   = errors.New("messenger: the owner does not know a name")
)

// Names of the methods. They are short since each message carries one.
const (
	methodPermit         = "p"
	methodRelease        = "r"
	methodRestore        = "h"
	methodGossip         = "g"
	methodConfig         = "c"
	methodEndpointStatus = "n"
	methodDaemonStatus   = "s"
)

// Transport sends calls and one-way messages to peers.
type Transport interface {
	Call(ctx context.Context, addr, method string, body []byte) ([]byte, error)
	Send(ctx context.Context, addr, method string, body []byte) error
}

// PermitHandler handles requests from peers about endpoints owned by this daemon.
type PermitHandler interface {
	// Permit queues a request and returns when it is granted or refused. It
	// returns immediately if the estimated wait exceeds maxWait; UnlimitedWait
	// sets no limit.
	Permit(ctx context.Context, endpoint string, r admitter.Request, maxWait time.Duration) (PermitResult, error)
	// Release ends a permit and reports whether daemon was its holder.
	Release(endpoint, daemon string, id admitter.PermitID, res admitter.Result) (bool, error)
	// Restore records permits that daemon reports as held by it.
	Restore(endpoint, daemon string, held []admitter.HeldPermit) error
}

// ClusterHandler handles messages from peers about membership, configuration and
// endpoint status.
type ClusterHandler interface {
	HandleGossip(ctx context.Context, msg prober.Message)
	HandleConfig(ev configurer.Event)
	HandleEndpointStatus(status router.EndpointStatus)
	// Status returns the encoded status of this daemon.
	Status() ([]byte, error)
}

// Messenger sends calls to peers. It is safe for concurrent use.
type Messenger struct {
	transport Transport
	clock     timekeeper.Clock
}

// New returns a Messenger that sends over transport.
func New(transport Transport, clock timekeeper.Clock) *Messenger {
	return &Messenger{transport: transport, clock: clock}
}

// invoke encodes in, calls method and decodes the reply.
func invoke[In, Out any](ctx context.Context, transport Transport, addr, method string, in In) (Out, error) {
	var out Out
	body, err := encode(&in)
	if err != nil {
		return out, err
	}
	reply, err := transport.Call(ctx, addr, method, body)
	if err != nil {
		return out, err
	}
	return out, decode(reply, &out)
}

// encode encodes a message with its structs as arrays, which leaves out the names
// of the fields.
func encode(m any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(m); err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return buf.Bytes(), nil
}

func decode(body []byte, out any) error {
	if err := msgpack.Unmarshal(body, out); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// remaining returns the duration from now to t, at least 1 ms, or zero for the
// zero time.
func remaining(now, t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(t.Sub(now), time.Millisecond)
}

// deadlineAfter returns the time d after now, or the zero time if d is zero.
func deadlineAfter(now time.Time, d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return now.Add(d)
}

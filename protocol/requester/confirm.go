package requester

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/verifier"
)

// Connector opens connections.
type Connector interface {
	// Connect opens a connection to an address, given as IP address and port, and keeps it
	// for a later request. It fails if the server does not accept it before ctx ends.
	Connect(ctx context.Context, addr string) error
}

// Client sends requests and opens connections in advance.
type Client interface {
	Doer
	Connector
}

// Limits of ConfirmEnd.
const (
	confirmTimeout  = 500 * time.Millisecond
	confirmAttempts = 2 // A packet may be lost.
)

// ConfirmEnd is called at the end of the body of r, which the server at addr sent. It returns an
// error that matches verifier.ErrIncomplete if the body ends with its connection and the
// server accepts no new connection: the operating system closes those of a process that has
// ended in the same way. It takes a second at most.
func (r Response) ConfirmEnd(ctx context.Context, c Connector, addr string) error {
	if r.Framing != verifier.ByConnection {
		return nil
	}
	var err error
	for range confirmAttempts {
		if err = connect(ctx, c, addr); err == nil {
			return nil
		}
		if ctx.Err() != nil || errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
	}
	b := verifier.Body{Framing: r.Framing}
	return errors.Wrap(b.CheckEnd(verifier.MaybeStopped), err.Error())
}

// connect opens a connection within confirmTimeout.
func connect(ctx context.Context, c Connector, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return c.Connect(ctx, addr)
}

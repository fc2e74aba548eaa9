package forwarder

import (
	"context"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/verifier"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/registrar"
)

// confirmEnd returns an error that matches verifier.ErrIncomplete if the process of the endpoint
// may have ended before the end of a response that ends with its connection. The body of the
// response has been read.
func (f *Forwarder) confirmEnd(ctx context.Context, e registrar.Endpoint, res Response) error {
	if res.Framing != verifier.ByConnection {
		return nil
	}
	err := requester.Response{Framing: res.Framing}.ConfirmEnd(ctx, f.endpoints, e.Addr)
	if err == nil && f.registry.Replaced(e) {
		err = errors.Wrap(verifier.ErrIncomplete, "another endpoint has the address or the name")
	}
	if err != nil {
		f.metrics.count("ends_doubted")
	}
	return err
}

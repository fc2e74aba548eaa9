package forwarder

import (
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"monsoonspar.example/protocol/requester"
)

// proof is what proves that no endpoint has executed a request, in logs and counters.
type proof string

const (
	proofNotAttempted proof = "not_attempted"       // Nothing was to be sent.
	proofNotSent      proof = "not_sent"            // No byte of the request was written.
	proofRefused      proof = "refused_by_endpoint" // The endpoint says that it has not executed the request.
	proofNone         proof = "none"
)

// proofOf returns the proof of an attempt that ended with err, or without an error if the endpoint has responded.
func proofOf(notRun bool, err error) proof {
	switch {
	case !notRun:
		return proofNone
	case err != nil && provesNotRun(err):
		return proofNotSent
	default:
		return proofRefused
	}
}

// attemptProofs counts the attempts at a request by their proofs.
type attemptProofs struct {
	notSent, refused, unproven atomic.Int64
}

func (a *attemptProofs) record(p proof) {
	switch p {
	case proofNotSent:
		a.notSent.Add(1)
	case proofRefused:
		a.refused.Add(1)
	default:
		a.unproven.Add(1)
	}
}

// weakest returns the proof on which a promise that the request was not executed rests.
func (a *attemptProofs) weakest() proof {
	switch {
	case a.unproven.Load() > 0:
		return proofNone
	case a.refused.Load() > 0:
		return proofRefused
	case a.notSent.Load() > 0:
		return proofNotSent
	default:
		return proofNotAttempted
	}
}

// sent returns the number of attempts that may have reached an endpoint.
func (a *attemptProofs) sent() int64 { return a.refused.Load() + a.unproven.Load() }

// recordProof records how an attempt that failed ended, and adds it to a log event: the proof, how many bytes of the
// request were written, and the peer through which they went.
func (f *Forwarder) recordProof(e *zerolog.Event, x *exchange, via string, notRun bool, err error) *zerolog.Event {
	p := proofOf(notRun, err)
	x.proofs.record(p)
	f.metrics.count("attempts_failed_" + string(p))
	var failure requester.FailureError
	if errors.As(err, &failure) {
		via = failure.Via
		e.Int("written", failure.Written)
	}
	return e.Str("proof", string(p)).Str("via", via)
}

// addPromise adds to a log event about a response on what its status, if that promises that the request was not
// executed, rests.
func (f *Forwarder) addPromise(e *zerolog.Event, x *exchange, status int) *zerolog.Event {
	if !promisesNotRun(status) {
		return e
	}
	p := x.proofs.weakest()
	f.metrics.count("promises_" + string(p))
	return e.Str("proof", string(p)).Int64("sent", x.proofs.sent())
}

// withCause returns the error of a request that was canceled for a cause.
func withCause(err, cause error) error {
	var failure requester.FailureError
	_ = errors.As(err, &failure) // Otherwise nothing is known of the connection.
	failure.Kind, failure.Cause = sendErrorKind(err), cause
	return failure
}

// Package sealer makes and checks the event ids with which a caller resumes a
// stream at any daemon.
//
// An id is "INDEX.BODY.MAC". The body names the endpoint and the attempt; the
// authentication code binds it to the customer. The index stays outside the
// code: a caller that changes it reads its own stream from another token.
package sealer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"monsoonspar.example/coordination/sequencer"

	"github.com/pkg/errors"
)

// ErrForged is returned for an id that this deployment did not give to the
// customer.
var ErrForged = errors.New("sealer: event id is not valid for this customer")

const (
	macBytes   = 16
	maxIDBytes = 1 << 10
	separator  = "\x00"
)

// Position is a place in a stream.
type Position struct {
	Endpoint string
	Attempt  sequencer.AttemptID
	Index    int // Index of the last token that was received.
}

// Sealer seals positions with a key that all daemons share.
type Sealer struct {
	key []byte
}

// New returns a Sealer whose key is derived from the shared key of the
// deployment.
func New(shared []byte) *Sealer {
	h := hmac.New(sha256.New, shared)
	h.Write([]byte("event id"))
	return &Sealer{key: h.Sum(nil)}
}

// Stream returns the part of an event id that all tokens of a stream share.
func (s *Sealer) Stream(customer, endpoint string, attempt sequencer.AttemptID) string {
	body := endpoint + separator + string(attempt)
	return "." + encode([]byte(body)) + "." + encode(s.mac(customer, body))
}

// Open checks an event id that customer presents.
func (s *Sealer) Open(customer, id string) (Position, error) {
	if len(id) > maxIDBytes {
		return Position{}, ErrForged
	}
	parts := strings.Split(id, ".")
	if len(parts) != 3 {
		return Position{}, ErrForged
	}
	index, err := strconv.Atoi(parts[0])
	if err != nil || index < 0 {
		return Position{}, ErrForged
	}
	body, err := base64.RawURLEncoding.DecodeString(parts[1])
	if err != nil {
		return Position{}, ErrForged
	}
	mac, err := base64.RawURLEncoding.DecodeString(parts[2])
	if err != nil || !hmac.Equal(mac, s.mac(customer, string(body))) {
		return Position{}, ErrForged
	}
	endpoint, attempt, _ := strings.Cut(string(body), separator)
	return Position{Endpoint: endpoint, Attempt: sequencer.AttemptID(attempt), Index: index}, nil
}

// mac returns the authentication code of body for customer.
func (s *Sealer) mac(customer, body string) []byte {
	h := hmac.New(sha256.New, s.key)
	h.Write([]byte(customer))
	h.Write([]byte(separator))
	h.Write([]byte(body))
	return h.Sum(nil)[:macBytes]
}

// encode returns b in the alphabet of event ids.
func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }

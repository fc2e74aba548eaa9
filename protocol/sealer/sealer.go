// Package sealer creates and verifies the event IDs with which a client resumes a
// stream at any daemon.
//
// An ID is "INDEX.BODY.MAC". The index is that of the token in the event. The
// body names the endpoint and the attempt, which is one generation there; the
// message authentication code (MAC) binds it to the customer. The MAC does not
// cover the index: a client that changes it only resumes its own stream from
// another token.
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

// ErrInvalidID is returned for an ID that is malformed or that this deployment
// did not issue to the customer.
var ErrInvalidID = errors.New("sealer: event id is not valid for this customer")

const (
	macBytes   = 16 // Length to which MACs are truncated.
	maxIDBytes = 1 << 10
	separator  = "\x00"
)

// Position is a position in a stream.
type Position struct {
	Endpoint string
	Attempt  sequencer.AttemptID
	Index    int // Index of the last token that was received.
}

// Sealer authenticates positions with a key that all daemons share.
type Sealer struct {
	key []byte
}

// New returns a Sealer whose key is derived from the shared key of the
// deployment.
func New(sharedKey []byte) *Sealer {
	h := hmac.New(sha256.New, sharedKey)
	h.Write([]byte("event id"))
	return &Sealer{key: h.Sum(nil)}
}

// StreamSuffix returns the part of an event ID after the index, which is the same for
// all events of a stream.
func (s *Sealer) StreamSuffix(customer, endpoint string, attempt sequencer.AttemptID) string {
	body := endpoint + separator + string(attempt)
	return "." + encode([]byte(body)) + "." + encode(s.mac(customer, body))
}

// Open verifies an event ID that customer presents and returns its position, or
// ErrInvalidID.
func (s *Sealer) Open(customer, id string) (Position, error) {
	if len(id) > maxIDBytes {
		return Position{}, ErrInvalidID
	}
	parts := strings.Split(id, ".")
	if len(parts) != 3 {
		return Position{}, ErrInvalidID
	}
	index, err := strconv.Atoi(parts[0])
	if err != nil || index < 0 {
		return Position{}, ErrInvalidID
	}
	body, err := base64.RawURLEncoding.DecodeString(parts[1])
	if err != nil {
		return Position{}, ErrInvalidID
	}
	mac, err := base64.RawURLEncoding.DecodeString(parts[2])
	if err != nil || !hmac.Equal(mac, s.mac(customer, string(body))) {
		return Position{}, ErrInvalidID
	}
	endpoint, attempt, _ := strings.Cut(string(body), separator)
	return Position{Endpoint: endpoint, Attempt: sequencer.AttemptID(attempt), Index: index}, nil
}

// mac returns the MAC of body for customer.
func (s *Sealer) mac(customer, body string) []byte {
	h := hmac.New(sha256.New, s.key)
	h.Write([]byte(customer))
	h.Write([]byte(separator))
	h.Write([]byte(body))
	return h.Sum(nil)[:macBytes]
}

// encode returns b in the encoding of event IDs.
func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }

package framer

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const nonceBytes = 32

// hello opens a handshake in each direction.
type hello struct {
	Version uint8  `msgpack:"version"`
	Name    string `msgpack:"name"`
	Nonce   []byte `msgpack:"nonce"`
}

// proof shows that its sender holds the shared key.
type proof struct {
	MAC []byte `msgpack:"mac"`
}

// handshake proves the shared key to the other side, checks its proof and
// returns its name. The dialing side passes dialed true.
func handshake(conn net.Conn, r *bufio.Reader, w *bufio.Writer, name string, key []byte, dialed bool) (string, error) {
	own := hello{Version: Version, Name: name, Nonce: make([]byte, nonceBytes)}
	if _, err := rand.Read(own.Nonce); err != nil {
		return "", errors.Wrap(err, "make nonce")
	}
	var other hello
	if err := exchange(r, w, own, &other); err != nil {
		return "", err
	}
	if other.Version != Version {
		return "", ErrVersion
	}
	var theirs proof
	if err := exchange(r, w, proof{MAC: mac(key, own, other, dialed)}, &theirs); err != nil {
		return "", err
	}
	if !hmac.Equal(theirs.MAC, mac(key, other, own, !dialed)) {
		return "", errors.Wrapf(ErrKey, "peer %s", conn.RemoteAddr())
	}
	return other.Name, nil
}

// exchange writes out and reads the other side's value into in.
func exchange(r *bufio.Reader, w *bufio.Writer, out, in any) error {
	body, err := msgpack.Marshal(out)
	if err != nil {
		return errors.Wrap(err, "encode handshake")
	}
	if err := writeBytes(w, body); err != nil {
		return err
	}
	got, err := readBytes(r, handshakeBytes)
	if err != nil {
		return err
	}
	if err := msgpack.Unmarshal(got, in); err != nil {
		return errors.Wrap(ErrFrame, err.Error())
	}
	return nil
}

// mac authenticates the sender's hello for the receiver's nonce. The role byte
// keeps a proof from being sent back to the side that made it.
func mac(key []byte, sender, receiver hello, dialed bool) []byte {
	role := byte('a')
	if dialed {
		role = 'd'
	}
	h := hmac.New(sha256.New, key)
	h.Write([]byte{role})
	h.Write(sender.Nonce)
	h.Write(receiver.Nonce)
	h.Write([]byte(sender.Name))
	return h.Sum(nil)
}

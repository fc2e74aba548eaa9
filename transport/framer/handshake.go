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

// proof proves that its sender holds the shared key.
type proof struct {
	MAC []byte `msgpack:"mac"`
}

// handshake proves possession of the shared key to the peer, verifies the peer's
// proof and returns the peer's name. dialed is true on the side that dialed.
func handshake(conn net.Conn, r *bufio.Reader, w *bufio.Writer, name string, key []byte, dialed bool) (string, error) {
	ownHello := hello{Version: Version, Name: name, Nonce: make([]byte, nonceBytes)}
	if _, err := rand.Read(ownHello.Nonce); err != nil {
		return "", errors.Wrap(err, "make nonce")
	}
	var peerHello hello
	if err := exchange(r, w, ownHello, &peerHello); err != nil {
		return "", err
	}
	if peerHello.Version != Version {
		return "", ErrVersion
	}
	var peerProof proof
	if err := exchange(r, w, proof{MAC: mac(key, ownHello, peerHello, dialed)}, &peerProof); err != nil {
		return "", err
	}
	if !hmac.Equal(peerProof.MAC, mac(key, peerHello, ownHello, !dialed)) {
		return "", errors.Wrapf(ErrKey, "peer %s", conn.RemoteAddr())
	}
	return peerHello.Name, nil
}

// exchange writes out and reads the peer's message into in.
func exchange(r *bufio.Reader, w *bufio.Writer, out, in any) error {
	body, err := msgpack.Marshal(out)
	if err != nil {
		return errors.Wrap(err, "encode handshake")
	}
	if err := writeBytes(w, body); err != nil {
		return err
	}
	got, err := readBytes(r, maxHandshakeBytes)
	if err != nil {
		return err
	}
	if err := msgpack.Unmarshal(got, in); err != nil {
		return errors.Wrap(ErrFrame, err.Error())
	}
	return nil
}

// mac returns a MAC of the sender's name and nonce and the receiver's nonce. The
// role byte prevents reflection: a proof is not valid if it is sent back to the
// side that made it.
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

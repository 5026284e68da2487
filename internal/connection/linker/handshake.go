package linker

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
)

// ErrHandshake is returned when a peer does not prove that it knows the fleet's secret.
var ErrHandshake = errors.New("peer did not prove that it knows the fleet secret")

const nonceBytes = 32

// Identity identifies a process and one of its incarnations.
type Identity struct {
	Name        string
	Incarnation string
}

// dialHandshake performs the mutual authentication on the side that opened the
// connection, and returns the identity of the peer.
func dialHandshake(f *framer.Framer, secret []byte, self Identity) (Identity, error) {
	nonce := newNonce()
	err := f.Write(&framer.Hello{Nonce: nonce, Name: self.Name, Incarnation: self.Incarnation})
	if err != nil {
		return Identity{}, err
	}
	hello, err := framer.ReadAs[*framer.Hello](f)
	if err != nil {
		return Identity{}, err
	}
	peer := Identity{Name: hello.Name, Incarnation: hello.Incarnation}
	expected := handshakeMAC(secret, "listen", nonce, hello.Nonce, self, peer)
	if !hmac.Equal(expected, hello.MAC) {
		return Identity{}, ErrHandshake
	}
	mac := handshakeMAC(secret, "dial", nonce, hello.Nonce, self, peer)
	return peer, f.Write(&framer.Proof{MAC: mac})
}

// listenHandshake performs the mutual authentication on the side that accepted the
// connection, and returns the identity of the peer.
func listenHandshake(f *framer.Framer, secret []byte, self Identity) (Identity, error) {
	hello, err := framer.ReadAs[*framer.Hello](f)
	if err != nil {
		return Identity{}, err
	}
	if len(hello.Nonce) != nonceBytes {
		return Identity{}, ErrHandshake
	}
	peer := Identity{Name: hello.Name, Incarnation: hello.Incarnation}
	nonce := newNonce()
	mac := handshakeMAC(secret, "listen", hello.Nonce, nonce, peer, self)
	err = f.Write(&framer.Hello{Nonce: nonce, Name: self.Name, Incarnation: self.Incarnation, MAC: mac})
	if err != nil {
		return Identity{}, err
	}
	proof, err := framer.ReadAs[*framer.Proof](f)
	if err != nil {
		return Identity{}, err
	}
	expected := handshakeMAC(secret, "dial", hello.Nonce, nonce, peer, self)
	if !hmac.Equal(expected, proof.MAC) {
		return Identity{}, ErrHandshake
	}
	return peer, nil
}

// handshakeMAC returns an HMAC under the fleet's secret over the direction, both nonces
// and both identities, so that a recorded MAC can't be replayed.
func handshakeMAC(secret []byte, direction string, dialNonce, listenNonce []byte, dialer, listener Identity) []byte {
	h := hmac.New(sha256.New, secret)
	for _, s := range []string{
		direction, string(dialNonce), string(listenNonce),
		dialer.Name, dialer.Incarnation, listener.Name, listener.Incarnation,
	} {
		n := len(s)
		h.Write([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
		h.Write([]byte(s))
	}
	return h.Sum(nil)
}

func newNonce() []byte {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // crypto/rand.Read never fails
	return b
}

package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// version is that of the protocol between peers.
	version uint16 = 1
	// versionSize is its size at the head of a hello, in bytes.
	versionSize = 2
	// nonceSize is the size of a challenge, in bytes.
	nonceSize = 32
	// maxHello bounds a frame of an end that is not authenticated yet, in
	// bytes.
	maxHello = 1 << 10
	// exporter labels the key taken from a TLS connection.
	exporter = "EXPORTER-eelgrassfold-peer"
	// exportSize is the size of that key, in bytes.
	exportSize = 32
)

// -----------------------------------------------------------------------------
// Handshake.

// hello introduces an end. On the wire the protocol's version goes before it,
// so that every version can read that much of any other.
type hello struct {
	Instance model.InstanceID `msgpack:"id"`
	Nonce    []byte           `msgpack:"nonce"`
}

// role tells the two ends of a link apart, so that neither's proof serves as
// the other's.
type role string

const (
	roleDialer   role = "dialer"
	roleAcceptor role = "acceptor"
)

func (r role) other() role {
	if r == roleDialer {
		return roleAcceptor
	}
	return roleDialer
}

// session is what a handshake agrees on.
type session struct {
	peer   model.InstanceID
	sealer sealer
	opener opener
}

// shake introduces both ends to each other and lets each prove that it holds
// the secret: an authentication code over both introductions, with their
// nonces. The dialer goes first at each step. Deadlines are the caller's.
func shake(conn net.Conn, self model.InstanceID, as role, secret []byte) (session, error) {
	mine, err := newHello(self)
	if err != nil {
		return session{}, err
	}
	theirs, err := swap(conn, as, mine, nil)
	if err != nil {
		return session{}, err
	}
	introduced, err := readHello(theirs)
	if err != nil {
		return session{}, err
	}
	if introduced.Instance == self {
		return session{}, &SelfConnectionError{Instance: self}
	}
	transcript := transcribe(as, mine, theirs)
	wanted := sum(secret, []byte("proof "+as.other()), transcript)
	check := func(proof []byte) error {
		if !hmac.Equal(proof, wanted) {
			return &AuthenticationError{Step: "peer"}
		}
		return nil
	}
	if _, err := swap(conn, as, sum(secret, []byte("proof "+as), transcript), check); err != nil {
		return session{}, err
	}
	return session{
		peer:   introduced.Instance,
		sealer: sealer{key: sum(secret, []byte("frames "+as), transcript)},
		opener: opener{key: sum(secret, []byte("frames "+as.other()), transcript)},
	}, nil
}

// swap sends one frame and receives one. The acceptor sends only after check
// has passed what it received.
func swap(conn net.Conn, as role, mine []byte, check func([]byte) error) ([]byte, error) {
	if as == roleDialer {
		if err := writeFrame(conn, mine); err != nil {
			return nil, err
		}
	}
	theirs, err := readFrame(conn, maxHello)
	if err != nil {
		return nil, err
	}
	if check != nil {
		if err := check(theirs); err != nil {
			return nil, err
		}
	}
	if as == roleAcceptor {
		return theirs, writeFrame(conn, mine)
	}
	return theirs, nil
}

func newHello(self model.InstanceID) ([]byte, error) {
	nonce := make([]byte, nonceSize)
	// It never fails.
	_, _ = rand.Read(nonce)
	body, err := msgpack.Marshal(hello{Instance: self, Nonce: nonce})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return append(binary.BigEndian.AppendUint16(nil, version), body...), nil
}

// readHello reads an introduction. Its errors are *FrameSizeError,
// *ProtocolVersionError and *DecodeError.
func readHello(frame []byte) (hello, error) {
	if len(frame) < versionSize {
		return hello{}, &FrameSizeError{Size: len(frame), Limit: maxHello}
	}
	if got := binary.BigEndian.Uint16(frame); got != version {
		return hello{}, &ProtocolVersionError{Got: got, Want: version}
	}
	var h hello
	if err := msgpack.Unmarshal(frame[versionSize:], &h); err != nil {
		return hello{}, &DecodeError{MessageName: "hello", Cause: errors.WithStack(err)}
	}
	if h.Instance == "" || len(h.Nonce) != nonceSize {
		return hello{}, &DecodeError{MessageName: "hello", Cause: &FrameSizeError{Size: len(h.Nonce), Limit: nonceSize}}
	}
	return h, nil
}

// transcribe joins both introductions, the dialer's first, each behind its
// length.
func transcribe(as role, mine, theirs []byte) []byte {
	if as == roleAcceptor {
		mine, theirs = theirs, mine
	}
	var joined bytes.Buffer
	for _, part := range [][]byte{mine, theirs} {
		joined.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		joined.Write(part)
	}
	return joined.Bytes()
}

// secretOf is the secret of a link: the shared key, bound to the TLS
// connection where there is one.
func secretOf(conn net.Conn, key []byte) ([]byte, error) {
	secure, found := conn.(*tls.Conn)
	if !found {
		return key, nil
	}
	state := secure.ConnectionState()
	exported, err := state.ExportKeyingMaterial(exporter, nil, exportSize)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return sum(key, exported), nil
}

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

// Protocol identifies what two ends speak after the handshake. Ends of different
// protocols, or of different versions of one, refuse each other.
type Protocol struct {
	// Name is part of each proof and key. It is empty for the links of Transport.
	Name    string
	Version uint16
	// MaxFrame is the maximum size of a frame without its length prefix, in bytes.
	MaxFrame int
}

// linkProtocol is the protocol of the links of Transport.
var linkProtocol = Protocol{Name: "", Version: protocolVersion, MaxFrame: maxFrame}

const (
	// protocolVersion is the version of the protocol of the links.
	protocolVersion uint16 = 1
	// messageLevel is the level of the messages that this build reads; see
	// shortMessages. Builds that name none are at level 0.
	messageLevel = 1
	// versionSize is the size of the version at the start of a hello, in bytes.
	versionSize = 2
	// nonceSize is the size of a hello's nonce, in bytes.
	nonceSize = 32
	// maxHandshakeFrame is the maximum size of a frame from an end that is not
	// authenticated yet, in bytes.
	maxHandshakeFrame = 1 << 10
	// exporterLabel is the label under which keying material is exported from a
	// TLS connection (RFC 5705).
	exporterLabel = "EXPORTER-eelgrassfold-peer"
	// exportedKeySize is the size of the exported keying material, in bytes.
	exportedKeySize = 32
)

// -----------------------------------------------------------------------------
// Handshake.

// hello is the first message of each end. On the wire it follows the protocol
// version, so that every version can read the version of any other.
type hello struct {
	Instance model.InstanceID `msgpack:"id"`
	Nonce    []byte           `msgpack:"nonce"`
	// Level is the messageLevel of the sender. Builds that don't know it skip it.
	Level int `msgpack:"lvl"`
}

// role distinguishes the two ends of a link. It is part of each proof, so that an
// end cannot send the other's proof back as its own.
type role string

const (
	roleDialer   role = "dialer"
	roleAcceptor role = "acceptor"
)

func (r role) opposite() role {
	if r == roleDialer {
		return roleAcceptor
	}
	return roleDialer
}

// session is the result of a handshake.
type session struct {
	peer model.InstanceID
	// peerLevel is the messageLevel of the peer.
	peerLevel int
	sealer    sealer
	opener    opener
}

// handshake exchanges hellos with the other end, then proofs that both hold secret:
// MACs over both hellos, which contain nonces. The dialer sends first in each
// exchange. The caller must set the deadlines of conn.
func handshake(conn net.Conn, protocol Protocol, self model.InstanceID, ownRole role, secret []byte) (session, error) {
	ownFrame, err := newHello(protocol, self)
	if err != nil {
		return session{}, err
	}
	peerFrame, err := exchange(conn, ownRole, ownFrame, nil)
	if err != nil {
		return session{}, err
	}
	peerHello, err := readHello(protocol, peerFrame)
	if err != nil {
		return session{}, err
	}
	if peerHello.Instance == self {
		return session{}, &SelfConnectionError{Instance: self}
	}
	transcript := append(buildTranscript(ownRole, ownFrame, peerFrame), protocol.Name...)
	expectedProof := hmacSHA256(secret, []byte("proof "+ownRole.opposite()), transcript)
	verifyProof := func(proof []byte) error {
		if !hmac.Equal(proof, expectedProof) {
			return &AuthenticationError{Step: "peer"}
		}
		return nil
	}
	if _, err := exchange(conn, ownRole, hmacSHA256(secret, []byte("proof "+ownRole), transcript), verifyProof); err != nil {
		return session{}, err
	}
	return session{
		peer: peerHello.Instance, peerLevel: peerHello.Level,
		sealer: sealer{key: hmacSHA256(secret, []byte("frames "+ownRole), transcript), limit: protocol.MaxFrame},
		opener: opener{key: hmacSHA256(secret, []byte("frames "+ownRole.opposite()), transcript)},
	}, nil
}

// exchange sends one frame and returns the received one. The acceptor sends only
// after check, if set, has accepted the received frame.
func exchange(conn net.Conn, ownRole role, sent []byte, check func([]byte) error) ([]byte, error) {
	if ownRole == roleDialer {
		if err := writeFrame(conn, sent); err != nil {
			return nil, err
		}
	}
	received, err := readFrame(conn, maxHandshakeFrame)
	if err != nil {
		return nil, err
	}
	if check != nil {
		if err := check(received); err != nil {
			return nil, err
		}
	}
	if ownRole == roleAcceptor {
		return received, writeFrame(conn, sent)
	}
	return received, nil
}

func newHello(protocol Protocol, self model.InstanceID) ([]byte, error) {
	nonce := make([]byte, nonceSize)
	// rand.Read never returns an error.
	_, _ = rand.Read(nonce)
	body, err := msgpack.Marshal(hello{Instance: self, Nonce: nonce, Level: messageLevel})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return append(binary.BigEndian.AppendUint16(nil, protocol.Version), body...), nil
}

// readHello decodes a frame with a hello. Its errors are *FrameSizeError,
// *ProtocolVersionError and *MessageCodingError.
func readHello(protocol Protocol, frame []byte) (hello, error) {
	if len(frame) < versionSize {
		return hello{}, &FrameSizeError{Size: len(frame), Limit: maxHandshakeFrame}
	}
	if got := binary.BigEndian.Uint16(frame); got != protocol.Version {
		return hello{}, &ProtocolVersionError{Got: got, Want: protocol.Version}
	}
	var h hello
	if err := msgpack.Unmarshal(frame[versionSize:], &h); err != nil {
		return hello{}, &MessageCodingError{MessageName: "hello", Cause: errors.WithStack(err)}
	}
	if h.Instance == "" || len(h.Nonce) != nonceSize {
		return hello{}, &MessageCodingError{MessageName: "hello", Cause: &FrameSizeError{Size: len(h.Nonce), Limit: nonceSize}}
	}
	return h, nil
}

// buildTranscript returns both hello frames, the dialer's first, each after its
// length.
func buildTranscript(ownRole role, ownFrame, peerFrame []byte) []byte {
	if ownRole == roleAcceptor {
		ownFrame, peerFrame = peerFrame, ownFrame
	}
	var transcript bytes.Buffer
	for _, part := range [][]byte{ownFrame, peerFrame} {
		transcript.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		transcript.Write(part)
	}
	return transcript.Bytes()
}

// linkSecret returns the secret of a link: the shared key, or over TLS a MAC that
// binds the key to the connection.
func linkSecret(conn net.Conn, key []byte) ([]byte, error) {
	tlsConn, found := conn.(*tls.Conn)
	if !found {
		return key, nil
	}
	state := tlsConn.ConnectionState()
	exported, err := state.ExportKeyingMaterial(exporterLabel, nil, exportedKeySize)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return hmacSHA256(key, exported), nil
}

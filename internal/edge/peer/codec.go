package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"reflect"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// -----------------------------------------------------------------------------
// Message encoding.

const (
	// keepaliveNumber is the message number of a frame that carries no message.
	keepaliveNumber = 0
	// compressedNumber is the message number of a frame with compressed content:
	// a message together with its own number.
	compressedNumber = 12
	// compressionThreshold is the size in bytes above which a message is
	// compressed. Messages that are sent to many peers, such as manifests, are
	// larger than this.
	compressionThreshold = 1 << 10
)

// messageType describes one type of message: how it is encoded and queued.
type messageType struct {
	name string
	// number identifies the type on the wire and must never change.
	number byte
	// replaceable is true if a newer message of the type supersedes older ones,
	// so that an older one may be dropped from a full queue.
	replaceable bool
	// decode decodes the body of a message.
	decode func(*msgpack.Decoder) (message.PeerMessage, error)
	// zeroValue is the zero value of the Go type, for lookup by type.
	zeroValue message.PeerMessage
}

// messageTypes lists the types of messages that peers exchange. The numbers 0 and 12
// are keepaliveNumber and compressedNumber.
var messageTypes = []messageType{
	{"heartbeat", 1, true, decode[message.Heartbeat], message.Heartbeat{}},
	{"manifest-offer", 2, false, decode[message.ManifestOffer], message.ManifestOffer{}},
	{"manifest-wanted", 3, false, decode[message.ManifestRequest], message.ManifestRequest{}},
	{"group-news", 4, false, decode[message.GroupUpdate], message.GroupUpdate{}},
	{"database-leaving", 5, false, decode[message.DatabaseLeaving], message.DatabaseLeaving{}},
	{"demand", 6, true, decode[message.LeaseRequest], message.LeaseRequest{}},
	{"permit", 7, true, decode[message.LeaseGrant], message.LeaseGrant{}},
	{"bulletin", 8, true, decodeGossipState, message.GossipState{}},
	{"databases-offer", 9, false, decode[message.DatabasesOffer], message.DatabasesOffer{}},
	{"bulletin-wanted", 11, true, decode[message.GossipStateRequest], message.GossipStateRequest{}},
	{"survey-wanted", 13, false, decode[message.PrimarySurveyRequest], message.PrimarySurveyRequest{}},
	{"survey-told", 14, false, decode[message.PrimarySurveyResponse], message.PrimarySurveyResponse{}},
	{"databases-wanted", 10, false, decode[message.DatabasesRequest], message.DatabasesRequest{}},
	{"tokens-wanted", 20, true, decode[message.TokenRequest], message.TokenRequest{}},
	{"tokens", 21, true, decode[message.TokenGrant], message.TokenGrant{}},
}

var (
	messageTypesByNumber = map[byte]messageType{}
	messageTypesByGoType = map[reflect.Type]messageType{}
)

func init() {
	for _, mt := range messageTypes {
		messageTypesByNumber[mt.number] = mt
		messageTypesByGoType[reflect.TypeOf(mt.zeroValue)] = mt
	}
}

func decode[M message.PeerMessage](decoder *msgpack.Decoder) (message.PeerMessage, error) {
	var m M
	err := decoder.Decode(&m)
	return m, errors.WithStack(err)
}

func messageTypeOf(m message.PeerMessage) messageType { return messageTypesByGoType[reflect.TypeOf(m)] }

// encodeMessage returns the number of m followed by its body in the form that a peer of
// the given level reads, compressed if it is larger than compressionThreshold. Its errors are *MessageCodingError and those of
// the compression.
func encodeMessage(m message.PeerMessage, peerLevel int) ([]byte, error) {
	mt := messageTypeOf(m)
	var out bytes.Buffer
	out.WriteByte(mt.number)
	encoder := msgpack.NewEncoder(&out)
	encoder.UseCompactInts(true)
	if err := encodeBody(encoder, m, peerLevel); err != nil {
		return nil, &MessageCodingError{MessageName: mt.name, Cause: errors.WithStack(err)}
	}
	if out.Len() <= compressionThreshold {
		return out.Bytes(), nil
	}
	return compress(out.Bytes())
}

// compress compresses content, a message with its number, and prepends
// compressedNumber.
func compress(content []byte) ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte(compressedNumber)
	writer, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if _, err := writer.Write(content); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := writer.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	return out.Bytes(), nil
}

// decompress decompresses the output of compress, without its leading number.
// Its errors are *FrameSizeError, if the result is larger than maxFrame, and
// *MessageCodingError.
func decompress(body []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(body))
	content, err := io.ReadAll(io.LimitReader(reader, maxFrame+1))
	if err != nil {
		return nil, &MessageCodingError{MessageName: "packed", Cause: errors.WithStack(err)}
	}
	if len(content) > maxFrame {
		return nil, &FrameSizeError{Size: len(content), Limit: maxFrame}
	}
	return content, nil
}

// decodeMessage decodes the output of encodeMessage. It returns nil for a
// keepalive. Its errors are *FrameSizeError, *UnknownMessageNumberError and
// *MessageCodingError.
func decodeMessage(content []byte) (message.PeerMessage, error) {
	if len(content) > 0 && content[0] == compressedNumber {
		var err error
		if content, err = decompress(content[1:]); err != nil {
			return nil, err
		}
	}
	if len(content) == 0 {
		return nil, &FrameSizeError{Size: 0, Limit: maxFrame}
	}
	if content[0] == keepaliveNumber {
		return nil, nil
	}
	mt, known := messageTypesByNumber[content[0]]
	if !known {
		return nil, &UnknownMessageNumberError{Number: content[0]}
	}
	if err := checkStructure(content[1:]); err != nil {
		return nil, &MessageCodingError{MessageName: mt.name, Cause: err}
	}
	reader := bytes.NewReader(content[1:])
	m, err := mt.decode(msgpack.NewDecoder(reader))
	if err != nil {
		return nil, &MessageCodingError{MessageName: mt.name, Cause: err}
	}
	if reader.Len() > 0 {
		return nil, &MessageCodingError{MessageName: mt.name, Cause: &TrailingBytesError{Count: reader.Len()}}
	}
	return m, nil
}

// -----------------------------------------------------------------------------
// Structure check.

const (
	// maxElements is the maximum number of elements of one array or map.
	maxElements = 1 << 16
	// maxDepth is the maximum nesting depth of arrays and maps.
	maxDepth = 8
)

// checkStructure walks a msgpack value without storing it. It rejects declared
// lengths that exceed the remaining bytes, and extension types, which no message
// uses. The check runs before decoding because the msgpack library allocates
// arrays of the declared length, which could exhaust the memory. Its errors are
// *MessageStructureError and those of the library.
func checkStructure(body []byte) error {
	reader := bytes.NewReader(body)
	return checkValue(msgpack.NewDecoder(reader), reader, 0)
}

func checkValue(decoder *msgpack.Decoder, reader *bytes.Reader, depth int) error {
	code, err := decoder.PeekCode()
	if err != nil {
		return errors.WithStack(err)
	}
	var count int
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		count, err = decoder.DecodeArrayLen()
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		count, err = decoder.DecodeMapLen()
		count *= 2
	case msgpcode.IsExt(code):
		// No message uses extension types.
		return &MessageStructureError{Depth: depth}
	default:
		err = decoder.Skip()
	}
	if err != nil {
		return errors.WithStack(err)
	}
	if count > min(maxElements, reader.Len()) || depth > maxDepth {
		return &MessageStructureError{Elements: count, Depth: depth}
	}
	for range count {
		if err := checkValue(decoder, reader, depth+1); err != nil {
			return err
		}
	}
	return nil
}

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
// Messages on the wire.

const (
	// keepalive is the number of a frame without a message.
	keepalive = 0
	// packed is the number of a frame with a compressed message, its number
	// included.
	packed = 12
	// packAbove is the size in bytes above which a message is compressed: what
	// peers repeat to many, such as configurations, is larger.
	packAbove = 1 << 10
)

// kind is one message in the table.
type kind struct {
	name string
	// number is the message's number on the wire, for good.
	number byte
	// replaceable says that only the newest message of the kind matters.
	replaceable bool
	// decode reads the message from its body.
	decode func(*msgpack.Decoder) (message.PeerMessage, error)
	// sample is a value of the message's type.
	sample message.PeerMessage
}

// kinds lists the messages that peers exchange.
var kinds = []kind{
	{"heartbeat", 1, true, decode[message.Heartbeat], message.Heartbeat{}},
	{"manifest-offer", 2, false, decode[message.ManifestOffer], message.ManifestOffer{}},
	{"manifest-wanted", 3, false, decode[message.ManifestRequest], message.ManifestRequest{}},
	{"group-news", 4, false, decode[message.GroupUpdate], message.GroupUpdate{}},
	{"database-leaving", 5, false, decode[message.DatabaseLeaving], message.DatabaseLeaving{}},
	{"demand", 6, true, decode[message.LeaseRequest], message.LeaseRequest{}},
	{"permit", 7, true, decode[message.LeaseGrant], message.LeaseGrant{}},
	{"bulletin", 8, true, decode[message.GossipState], message.GossipState{}},
	{"databases-offer", 9, false, decode[message.DatabasesOffer], message.DatabasesOffer{}},
	{"bulletin-wanted", 11, true, decode[message.GossipStateRequest], message.GossipStateRequest{}},
	{"survey-wanted", 13, false, decode[message.PrimarySurveyRequest], message.PrimarySurveyRequest{}},
	{"survey-told", 14, false, decode[message.PrimarySurveyResponse], message.PrimarySurveyResponse{}},
	{"databases-wanted", 10, false, decode[message.DatabasesRequest], message.DatabasesRequest{}},
}

var (
	kindsByNumber = map[byte]kind{}
	kindsByType   = map[reflect.Type]kind{}
)

func init() {
	for _, k := range kinds {
		kindsByNumber[k.number] = k
		kindsByType[reflect.TypeOf(k.sample)] = k
	}
}

func decode[M message.PeerMessage](decoder *msgpack.Decoder) (message.PeerMessage, error) {
	var m M
	err := decoder.Decode(&m)
	return m, errors.WithStack(err)
}

func kindOf(m message.PeerMessage) kind { return kindsByType[reflect.TypeOf(m)] }

// encodeMessage returns the number of m and its body.
func encodeMessage(m message.PeerMessage) ([]byte, error) {
	k := kindOf(m)
	var out bytes.Buffer
	out.WriteByte(k.number)
	encoder := msgpack.NewEncoder(&out)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(m); err != nil {
		return nil, &DecodeError{MessageName: k.name, Cause: errors.WithStack(err)}
	}
	if out.Len() <= packAbove {
		return out.Bytes(), nil
	}
	return pack(out.Bytes())
}

// pack compresses a message with its number.
func pack(content []byte) ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte(packed)
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

// unpack reads what pack wrote. Its errors are *FrameSizeError, where there is
// more than a frame holds, and *DecodeError.
func unpack(body []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(body))
	content, err := io.ReadAll(io.LimitReader(reader, maxFrame+1))
	if err != nil {
		return nil, &DecodeError{MessageName: "packed", Cause: errors.WithStack(err)}
	}
	if len(content) > maxFrame {
		return nil, &FrameSizeError{Size: len(content), Limit: maxFrame}
	}
	return content, nil
}

// decodeMessage reads what encodeMessage wrote. It returns no message for a
// keepalive. Its errors are *FrameSizeError, *UnknownMessageNumberError and *DecodeError.
func decodeMessage(content []byte) (message.PeerMessage, error) {
	if len(content) > 0 && content[0] == packed {
		var err error
		if content, err = unpack(content[1:]); err != nil {
			return nil, err
		}
	}
	if len(content) == 0 {
		return nil, &FrameSizeError{Size: 0, Limit: maxFrame}
	}
	if content[0] == keepalive {
		return nil, nil
	}
	k, known := kindsByNumber[content[0]]
	if !known {
		return nil, &UnknownMessageNumberError{Number: content[0]}
	}
	if err := checkShape(content[1:]); err != nil {
		return nil, &DecodeError{MessageName: k.name, Cause: err}
	}
	reader := bytes.NewReader(content[1:])
	m, err := k.decode(msgpack.NewDecoder(reader))
	if err != nil {
		return nil, &DecodeError{MessageName: k.name, Cause: err}
	}
	if reader.Len() > 0 {
		return nil, &DecodeError{MessageName: k.name, Cause: &TrailingBytesError{Count: reader.Len()}}
	}
	return m, nil
}

// -----------------------------------------------------------------------------
// Shapes.

const (
	// maxElements bounds the elements of one array or map.
	maxElements = 1 << 16
	// maxDepth bounds how deep arrays and maps are nested.
	maxDepth = 8
)

// checkShape reads over a msgpack value without keeping it, and refuses
// announced lengths that the value can't hold, and extension types, which no
// message has. The library allocates arrays as long as is announced, which
// could be more memory than there is. Its errors
// are *MessageStructureError and those of the library.
func checkShape(body []byte) error {
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

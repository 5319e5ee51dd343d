package peer

import (
	"reflect"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// -----------------------------------------------------------------------------
// Messages for peers of earlier builds.

// gossipFields is the number of fields of a GossipState at level 0. Such a peer closes the
// link if a message that is encoded as an array has another length.
const gossipFields = 21

// encodeBody encodes a message in the form that a peer of the given level reads.
func encodeBody(encoder *msgpack.Encoder, m message.PeerMessage, peerLevel int) error {
	state, isGossip := m.(message.GossipState)
	if !isGossip || peerLevel >= messageLevel {
		return encoder.Encode(m)
	}
	if err := encoder.EncodeArrayLen(gossipFields); err != nil {
		return err
	}
	for _, field := range exportedFields(reflect.ValueOf(state))[:gossipFields] {
		if err := encoder.EncodeValue(field); err != nil {
			return err
		}
	}
	return nil
}

// decodeGossipState decodes a GossipState of any level: fields that are absent are zero, and
// those that are not known are skipped.
func decodeGossipState(decoder *msgpack.Decoder) (message.PeerMessage, error) {
	var state message.GossipState
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return state, errors.WithStack(err)
	}
	if count < gossipFields {
		return state, &MessageStructureError{Elements: count}
	}
	fields := exportedFields(reflect.ValueOf(&state).Elem())
	for i := range count {
		if i < len(fields) {
			err = decoder.DecodeValue(fields[i])
		} else {
			err = decoder.Skip()
		}
		if err != nil {
			return state, errors.WithStack(err)
		}
	}
	return state, nil
}

// exportedFields returns the exported fields of a struct in their order.
func exportedFields(structure reflect.Value) []reflect.Value {
	fields := make([]reflect.Value, 0, structure.NumField())
	for i := range structure.NumField() {
		if structure.Type().Field(i).IsExported() {
			fields = append(fields, structure.Field(i))
		}
	}
	return fields
}

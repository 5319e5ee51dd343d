package message

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// TokenRequest asks a head for tokens of a tenant's limit. A token allows one operation.
// The fields are encoded without their names, so that their order is the wire format.
type TokenRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Tenant   model.TenantID
	// Sequence identifies the request at its sender.
	Sequence uint64
	// Want is the number of tokens that the sender has use for.
	Want int
	// Relay is true if a head without tokens is to ask those of other availability zones.
	Relay bool
}

// TokenGrant is the response to a TokenRequest. The tokens belong to the receiver until
// they lapse, whether or not the grant arrives.
type TokenGrant struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Sequence uint64
	Tokens   int
	// Next is the time after which the sender has a further token.
	Next time.Duration
}

func (TokenRequest) isPeerMessage() {}
func (TokenGrant) isPeerMessage()   {}

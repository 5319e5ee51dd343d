package database

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// streamMagic begins a connection over which a replica pulls the log. No
// startup packet of the PostgreSQL protocol begins so.
const streamMagic = "EGR1"

// frameLimit is the greatest length of a frame, in bytes.
const frameLimit = 64 << 20

// hello is the replica's first frame.
type hello struct {
	Name  model.DatabaseID `msgpack:"name"`
	Zone  model.ZoneID     `msgpack:"zone"`
	Term  model.Term       `msgpack:"term"`
	Spans []span           `msgpack:"spans"`
	Last  uint64           `msgpack:"last"`
}

// welcome is the primary's first frame. Entries after Common follow.
type welcome struct {
	Name   model.DatabaseID `msgpack:"name"`
	Zone   model.ZoneID     `msgpack:"zone"`
	Term   model.Term       `msgpack:"term"`
	Nonce  model.Nonce      `msgpack:"nonce"`
	Common uint64           `msgpack:"common"`
	Last   uint64           `msgpack:"last"`
}

// batch is each further frame of the primary; an empty one is a heartbeat.
type batch struct {
	Entries []entry `msgpack:"entries"`
}

// frameError reports a frame that is too long.
type frameError struct{ length uint32 }

// Error implements error.
func (e *frameError) Error() string { return fmt.Sprintf("frame of %d bytes", e.length) }

// writeFrame writes a value as the length of its msgpack form, in four bytes,
// and the form.
func writeFrame(w io.Writer, value any) error {
	body, err := msgpack.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode a frame")
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	_, err = w.Write(append(frame, body...))
	return errors.Wrap(err, "write a frame")
}

// readFrame reads what writeFrame wrote.
func readFrame(r io.Reader, value any) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return errors.Wrap(err, "read a frame's length")
	}
	length := binary.BigEndian.Uint32(head[:])
	if length > frameLimit {
		return &frameError{length: length}
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return errors.Wrap(err, "read a frame")
	}
	return errors.Wrap(msgpack.Unmarshal(body, value), "decode a frame")
}

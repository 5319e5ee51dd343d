package database

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// streamMagic is sent first on a connection over which a replica pulls the log.
// No startup packet of the PostgreSQL protocol begins with these bytes.
const streamMagic = "EGR1"

// maxFrameLength is the maximum length of a frame, in bytes.
const maxFrameLength = 64 << 20

// streamStartup is the first frame that a replica sends. Spans and Last
// describe its log.
type streamStartup struct {
	Name  model.DatabaseID `msgpack:"name"`
	Zone  model.ZoneID     `msgpack:"zone"`
	Term  model.Term       `msgpack:"term"`
	Spans []termSpan       `msgpack:"spans"`
	Last  uint64           `msgpack:"last"`
}

// streamReady is the first frame that the primary sends. The batches after it
// hold the entries after the offset Common.
type streamReady struct {
	Name   model.DatabaseID `msgpack:"name"`
	Zone   model.ZoneID     `msgpack:"zone"`
	Term   model.Term       `msgpack:"term"`
	Nonce  model.Nonce      `msgpack:"nonce"`
	Common uint64           `msgpack:"common"`
	Last   uint64           `msgpack:"last"`
}

// batch is each further frame that the primary sends. An empty batch is a
// heartbeat.
type batch struct {
	Entries []entry `msgpack:"entries"`
}

// frameLengthError reports a frame that exceeds maxFrameLength.
type frameLengthError struct{ length uint32 }

// Error implements error.
func (e *frameLengthError) Error() string {
	return fmt.Sprintf("frame of %d bytes is too long", e.length)
}

// writeFrame encodes a value as msgpack and writes it, preceded by its length
// in four bytes, big-endian.
func writeFrame(w io.Writer, value any) error {
	body, err := msgpack.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode a frame")
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	_, err = w.Write(append(frame, body...))
	return errors.Wrap(err, "write a frame")
}

// readFrame reads a frame that writeFrame wrote and decodes it into value.
func readFrame(r io.Reader, value any) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return errors.Wrap(err, "read a frame's length")
	}
	length := binary.BigEndian.Uint32(head[:])
	if length > maxFrameLength {
		return &frameLengthError{length: length}
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return errors.Wrap(err, "read a frame")
	}
	return errors.Wrap(msgpack.Unmarshal(body, value), "decode a frame")
}

package postgres

import (
	"bytes"
	"errors"
	"io"
	"os"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"
)

const testLimit = 1 << 17

// testStream returns the bytes of three messages, one of which is larger than
// the pooled buffers, and the messages themselves.
func testStream(t testing.TB) ([]byte, []string) {
	t.Helper()
	var all []byte
	var parts []string
	for _, text := range []string{"select 1", string(bytes.Repeat([]byte("x"), 3*bufferSize)), ""} {
		raw, err := (&pgproto3.Query{String: text}).Encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		parts = append(parts, string(raw))
		all = append(all, raw...)
	}
	return all, parts
}

// TestReader splits the same stream when it arrives in different pieces.
func TestReader(t *testing.T) {
	all, want := testStream(t)
	sources := map[string]func() io.Reader{
		"whole":         func() io.Reader { return bytes.NewReader(all) },
		"byte by byte":  func() io.Reader { return iotest.OneByteReader(bytes.NewReader(all)) },
		"halves":        func() io.Reader { return iotest.HalfReader(bytes.NewReader(all)) },
		"with timeouts": func() io.Reader { return &timeoutReader{source: iotest.HalfReader(bytes.NewReader(all))} },
	}
	for name, source := range sources {
		t.Run(name, func(t *testing.T) {
			for _, reader := range []*Reader{NewReader(source(), testLimit), NewRetainingReader(source(), testLimit)} {
				if diff := cmp.Diff(want, readFrames(t, reader)); diff != "" {
					t.Error("the frames differ from the messages of the stream")
				}
			}
		})
	}
}

// readFrames reads all frames of the stream.
func readFrames(t *testing.T, reader *Reader) []string {
	t.Helper()
	var got []string
	for {
		frame, err := reader.Next()
		switch {
		case err == nil:
			got = append(got, string(frame.Raw))
		case errors.Is(err, io.EOF):
			return got
		case !errors.Is(err, os.ErrDeadlineExceeded):
			t.Fatal(err)
		}
	}
}

// timeoutReader fails every second read with a timeout.
type timeoutReader struct {
	source    io.Reader
	readCount int
}

func (r *timeoutReader) Read(b []byte) (int, error) {
	r.readCount++
	if r.readCount%2 == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return r.source.Read(b)
}

// TestReaderInvalidLength reads frames whose length is invalid or too large.
func TestReaderInvalidLength(t *testing.T) {
	for name, raw := range map[string][]byte{
		"negative":  {'Q', 0xff, 0xff, 0xff, 0xff},
		"too short": {'Q', 0, 0, 0, 3},
		"too large": {'Q', 0x7f, 0xff, 0xff, 0xff},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := NewReader(bytes.NewReader(raw), testLimit).Next()
			var sizeErr *SizeError
			if !errors.As(err, &sizeErr) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// FuzzReader splits arbitrary data. Every frame must have the length in its
// header, and the frames together must be a prefix of the stream.
func FuzzReader(f *testing.F) {
	all, _ := testStream(f)
	f.Add(all[:200])
	f.Add([]byte{'Q', 0, 0, 0, 4, 'S', 0, 0, 0, 4})
	f.Add([]byte{'Q', 0, 0, 0, 3})
	f.Fuzz(func(t *testing.T, raw []byte) {
		reader := NewReader(bytes.NewReader(raw), testLimit)
		var got []byte
		for {
			frame, err := reader.Next()
			if err != nil {
				break
			}
			got = append(got, frame.Raw...)
		}
		if !bytes.HasPrefix(raw, got) {
			t.Error("the frames are not a prefix of the stream")
		}
	})
}

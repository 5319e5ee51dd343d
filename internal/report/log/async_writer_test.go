package log

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (w *blockedWriter) Write(body []byte) (int, error) {
	<-w.release
	return w.out.Write(body)
}

// TestAsyncWriterNeverBlocks checks that a reader that has stopped reading causes
// dropped lines and does not block Write.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	b := NewAsyncWriter(out)
	const written = 3 * maxBufferedLines
	for range written {
		if _, err := b.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(out.release)
	<-b.Close()
	lines := strings.Count(out.out.String(), "line\n")
	if lines < maxBufferedLines || lines >= written {
		t.Errorf("%d of %d lines were written", lines, written)
	}
	if !strings.Contains(out.out.String(), `"lines-dropped"`) {
		t.Error("no line reports the number of dropped lines")
	}
}

func TestAsyncWriterKeepsOrder(t *testing.T) {
	var out bytes.Buffer
	b := NewAsyncWriter(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		if _, err := b.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	<-b.Close()
	if diff := cmp.Diff("a\nb\nc\n", out.String()); diff != "" {
		t.Error(diff)
	}
}

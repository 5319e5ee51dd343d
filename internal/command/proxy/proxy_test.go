package proxy

import (
	"bytes"
	"context"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/edge/caller"
)

var update = flag.Bool("update", false, "rewrite the expected outputs and the documents")

// runLine runs a command line, which is split at white space without quoting.
func runLine(line string) (out, errorText string, code ExitCode) {
	var stdout, stderr bytes.Buffer
	console := &Console{Context: context.Background(), In: strings.NewReader(""), Out: &stdout, Err: &stderr}
	code = Run(strings.Fields(strings.TrimPrefix(line, program)), console)
	return stdout.String(), stderr.String(), code
}

// -----------------------------------------------------------------------------
// Regression cases: testdata/cases/NAME contains the files cmd, expout, experr and
// expcode, and the files that cmd names. If it contains a file 'instance', a fake
// operators' address answers every request with it: its first line is the HTTP
// status, the rest the body.

func TestCases(t *testing.T) {
	paths, _ := filepath.Glob("testdata/cases/*/cmd")
	if len(paths) == 0 {
		t.Fatal("no cases")
	}
	for _, path := range paths {
		t.Run(filepath.Base(filepath.Dir(path)), func(t *testing.T) {
			t.Chdir(filepath.Dir(path))
			address := startFakeInstance(t)
			t.Setenv("EELGRASSFOLD_OPERATOR", address)
			line, _ := os.ReadFile("cmd")
			out, errorText, code := runLine(string(line))
			redactor := strings.NewReplacer(address, "INSTANCE")
			compareOrUpdate(t, "expout", redactor.Replace(out))
			compareOrUpdate(t, "experr", redactor.Replace(errorText))
			compareOrUpdate(t, "expcode", strconv.Itoa(int(code))+"\n")
		})
	}
}

func startFakeInstance(t *testing.T) string {
	t.Helper()
	response, err := os.ReadFile("instance")
	if err != nil {
		return "127.0.0.1:1"
	}
	statusLine, body, _ := strings.Cut(string(response), "\n")
	status, err := strconv.Atoi(statusLine)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func compareOrUpdate(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", path, diff)
	}
}

// -----------------------------------------------------------------------------
// Tables.

func TestTopicsAreComplete(t *testing.T) {
	listed := map[string]bool{}
	for _, topic := range topics {
		listed[topic.name] = true
		text, found := topicText(topic.name)
		if !found {
			t.Errorf("topic %s has no text", topic.name)
		}
		out, _, code := runLine("help " + topic.name)
		if code != ExitOK || !strings.HasSuffix(out, text) {
			t.Errorf("help %s = %d, without the topic's text:\n%s", topic.name, code, out)
		}
		for _, line := range strings.Split(text, "\n") {
			if len(line) > helpWidth+2 {
				t.Errorf("topic %s: line with %d columns is too long: %s", topic.name, len(line), line)
			}
		}
	}
	files, _ := topicFiles.ReadDir("topics")
	for _, file := range files {
		if !listed[strings.TrimSuffix(file.Name(), ".txt")] {
			t.Errorf("topics/%s is not listed", file.Name())
		}
	}
}

func TestEverySubcommandHasHelp(t *testing.T) {
	for _, command := range subcommands {
		out, _, code := runLine("help " + command.name)
		if code != ExitOK || !strings.Contains(out, command.detail) || len(command.examples) == 0 {
			t.Errorf("help %s = %d:\n%s", command.name, code, out)
		}
	}
}

func TestHash(t *testing.T) {
	var stdout, stderr bytes.Buffer
	console := &Console{In: strings.NewReader("hunter2\n"), Out: &stdout, Err: &stderr}
	if code := Run([]string{"hash"}, console); code != ExitOK {
		t.Fatalf("hash = %d, %s", code, &stderr)
	}
	if _, err := caller.ParsePasswordHash(strings.TrimSpace(stdout.String())); err != nil {
		t.Errorf("hash printed %q: %v", &stdout, err)
	}
	if _, errorText, code := runLine("hash"); code != ExitInvalidInput || errorText == "" {
		t.Errorf("hash without a password = %d, %q", code, errorText)
	}
}

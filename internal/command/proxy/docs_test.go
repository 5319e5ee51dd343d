package proxy

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// -----------------------------------------------------------------------------
// Documents: the commands after "$ " in each ```console block are run in the root
// of the repository, and the text that follows them has to be their output. With
// -update, that text is rewritten.

const (
	consoleFence = "```console"
	fence        = "```"
	prompt       = "$ "
)

func TestDocs(t *testing.T) {
	t.Chdir("../../..")
	t.Setenv("EELGRASSFOLD_OPERATOR", "127.0.0.1:1")
	pages := []string{"README.md"}
	_ = filepath.WalkDir("docs", func(path string, _ fs.DirEntry, _ error) error {
		if strings.HasSuffix(path, ".md") {
			pages = append(pages, path)
		}
		return nil
	})
	for _, page := range pages {
		t.Run(page, func(t *testing.T) {
			body, err := os.ReadFile(page)
			if err != nil {
				t.Fatal(err)
			}
			text := string(body)
			if strings.Contains(text, consoleFence) {
				compareOrUpdate(t, page, renderPage(t, text))
			}
		})
	}
}

func TestEventsPage(t *testing.T) {
	t.Chdir("../../..")
	out, _, _ := runLine("events --format markdown")
	compareOrUpdate(t, "docs/EVENTS.md", out)
}

// renderPage returns the page with the current output of its commands.
func renderPage(t *testing.T, page string) string {
	t.Helper()
	var rendered strings.Builder
	inConsole := false
	for _, line := range strings.SplitAfter(page, "\n") {
		switch {
		case strings.HasPrefix(line, consoleFence):
			inConsole = true
			rendered.WriteString(line)
		case inConsole && strings.HasPrefix(line, fence):
			inConsole = false
			rendered.WriteString(line)
		case inConsole && strings.HasPrefix(line, prompt):
			rendered.WriteString(line)
			rendered.WriteString(runDocumented(t, strings.TrimPrefix(line, prompt)))
		case !inConsole:
			rendered.WriteString(line)
		}
	}
	return rendered.String()
}

func runDocumented(t *testing.T, line string) string {
	t.Helper()
	if !strings.HasPrefix(line, program+" ") {
		t.Fatalf("%q is not a command of %s", line, program)
	}
	out, errorText, code := runLine(line)
	if code != ExitOK {
		return out + errorText + fmt.Sprintf("(exit code %d)\n", code)
	}
	return out + errorText
}

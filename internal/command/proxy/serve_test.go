package proxy

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
)

// commandVariable makes the test binary run as the command.
const commandVariable = "EELGRASSFOLD_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(commandVariable) != "" {
		os.Exit(int(Main()))
	}
	os.Exit(m.Run())
}

// Guards against an instance that ends by SIGPIPE, with all its requests, because the
// reader of its log has ended.
func TestServeOutlivesLogReader(t *testing.T) {
	reservation, err := deploy.ReserveAddresses(3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = reservation.Close() })
	secretPath := filepath.Join(t.TempDir(), "secret")
	settingsPath := filepath.Join(t.TempDir(), "settings.toml")
	settings := fmt.Sprintf(`name = "a"
zone = "z"
listen = { callers = %q, peers = %q, operators = %q }
platform = { url = "http://127.0.0.1:1" }
peer = { key = "file:%s" }
operator = { token = "file:%s" }
caller = { trust = true }
`, reservation.Addresses[0], reservation.Addresses[1], reservation.Addresses[2], secretPath, secretPath)
	for path, text := range map[string]string{secretPath: "a secret of this test", settingsPath: settings} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	command := exec.Command(os.Args[0], "serve", "--settings", settingsPath)
	command.Env = append(os.Environ(), commandVariable+"=1")
	logReader, err := command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = command.Process.Kill() }()
	lines := bufio.NewScanner(logReader)
	for isStarted := false; !isStarted; isStarted = strings.Contains(lines.Text(), "instance-started") {
		if !lines.Scan() {
			t.Fatalf("the instance has not started: %v", command.Wait())
		}
	}
	_ = logReader.Close()
	// The instance logs the signal, and drains.
	if err := command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := command.Wait(); err != nil {
		t.Errorf("the instance ended with %v", err)
	}
}

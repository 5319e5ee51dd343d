package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// stopLimit is the time that a process has to end after SIGTERM.
	stopLimit = 15 * time.Second
	// tailLines is the number of log lines shown after a failure.
	tailLines = 25
)

// ProcessError reports a process that did not do what it should.
type ProcessError struct {
	Name string
	Why  string
}

// Error implements error.
func (e *ProcessError) Error() string { return e.Name + ": " + e.Why }

// process is one process that the demo started.
type process struct {
	name    string
	command *exec.Cmd
	log     lockedBuffer
	ready   chan map[string]string
	// ended is closed when the process is gone; failure tells how it went.
	ended   chan struct{}
	failure error
}

// lockedBuffer collects what a process writes.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.text.String()), "\n")
}

// start starts a binary. Its first line on standard output, where there is one,
// is JSON with the addresses that it has bound.
func (d *demo) start(name, binary string, args ...string) (*process, error) {
	p := &process{
		name:    name,
		command: exec.Command(filepath.Join(d.binaries, binary), args...),
		ready:   make(chan map[string]string, 1),
		ended:   make(chan struct{}),
	}
	p.command.Stderr = &p.log
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := p.command.Start(); err != nil {
		return nil, errors.WithStack(err)
	}
	d.started = append(d.started, p)
	go p.watch(out)
	return p, nil
}

// watch reads standard output to its end, then waits for the process.
func (p *process) watch(out io.Reader) {
	scanner := bufio.NewScanner(out)
	if scanner.Scan() {
		var addresses map[string]string
		_ = json.Unmarshal(scanner.Bytes(), &addresses)
		p.ready <- addresses
	}
	_, _ = io.Copy(&p.log, out)
	p.failure = p.command.Wait()
	close(p.ended)
}

// addresses waits until the process tells what it has bound.
func (p *process) addresses(ctx context.Context) (map[string]string, error) {
	select {
	case addresses := <-p.ready:
		return addresses, nil
	case <-p.ended:
		return nil, &ProcessError{Name: p.name, Why: fmt.Sprintf("ended early: %v", p.failure)}
	case <-ctx.Done():
		return nil, &ProcessError{Name: p.name, Why: "did not become ready"}
	}
}

// hasEnded reports whether the process is gone, without waiting for it.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// stop asks the process to end, and kills it where it does not.
func (p *process) stop() error {
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return &ProcessError{Name: p.name, Why: "ended early"}
	}
	select {
	case <-p.ended:
		if p.failure != nil {
			return &ProcessError{Name: p.name, Why: p.failure.Error()}
		}
		return nil
	case <-time.After(stopLimit):
		_ = p.command.Process.Kill()
		<-p.ended
		return &ProcessError{Name: p.name, Why: "did not end after SIGTERM"}
	}
}

func (p *process) tail() string {
	lines := p.log.lines()
	return strings.Join(lines[max(0, len(lines)-tailLines):], "\n")
}

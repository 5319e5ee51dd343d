package deploy

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
	Name   string
	Reason string
	// ExitCode is the exit code of a verb that ran to its end and failed.
	ExitCode int
}

// Error implements error.
func (e *ProcessError) Error() string { return e.Name + ": " + e.Reason }

// Process is one process that a deployment started.
type Process struct {
	Name    string
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
func (d *Deployment) start(name, binary string, args ...string) (*Process, error) {
	p := &Process{
		Name:    name,
		command: exec.Command(filepath.Join(d.options.Binaries, binary), args...),
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
func (p *Process) watch(out io.Reader) {
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
func (p *Process) addresses(ctx context.Context) (map[string]string, error) {
	select {
	case addresses := <-p.ready:
		return addresses, nil
	case <-p.ended:
		return nil, &ProcessError{Name: p.Name, Reason: fmt.Sprintf("ended early: %v", p.failure)}
	case <-ctx.Done():
		return nil, &ProcessError{Name: p.Name, Reason: "did not become ready"}
	}
}

// HasEnded reports whether the process is gone, without waiting for it.
func (p *Process) HasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Wait waits until the process has ended by itself, and returns a *ProcessError
// where its exit code was not 0 or the context ended first.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.ended:
	case <-ctx.Done():
		return &ProcessError{Name: p.Name, Reason: "did not end"}
	}
	if p.failure != nil {
		return &ProcessError{Name: p.Name, Reason: p.failure.Error()}
	}
	return nil
}

// Stop asks the process to end, and kills it where it does not.
func (p *Process) Stop() error {
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return &ProcessError{Name: p.Name, Reason: "ended early"}
	}
	select {
	case <-p.ended:
		if p.failure != nil {
			return &ProcessError{Name: p.Name, Reason: p.failure.Error()}
		}
		return nil
	case <-time.After(stopLimit):
		_ = p.command.Process.Kill()
		<-p.ended
		return &ProcessError{Name: p.Name, Reason: "did not end after SIGTERM"}
	}
}

// LogTail returns the last lines of the log.
func (p *Process) LogTail() string {
	lines := p.LogLines()
	return strings.Join(lines[max(0, len(lines)-tailLines):], "\n")
}

// LogLines returns what the process has logged.
func (p *Process) LogLines() []string { return p.log.lines() }

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// Pause stops the process without ending it, and Resume lets it go on.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

func (p *Process) signal(s syscall.Signal) error {
	return errors.WithStack(p.command.Process.Signal(s))
}

// Usage returns the processor time and the resident memory of the process so
// far, in seconds and bytes, as the operating system counts them.
func (p *Process) Usage() (processor time.Duration, resident int64, err error) {
	return readUsage(p.command.Process.Pid)
}

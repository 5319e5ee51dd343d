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
	// stopTimeout is the time after SIGTERM after which a process is killed.
	stopTimeout = 15 * time.Second
	// logTailLines is the maximum number of lines that LogTail returns.
	logTailLines = 25
)

// ProcessError reports a process, a command or a step that failed.
type ProcessError struct {
	Name   string
	Reason string
	// ExitCode is the exit code of an operator subcommand that failed.
	ExitCode int
}

// Error implements error.
func (e *ProcessError) Error() string { return e.Name + ": " + e.Reason }

// Process is one process of a deployment.
type Process struct {
	Name           string
	command        *exec.Cmd
	log            lockedBuffer
	boundAddresses chan map[string]string
	// ended is closed when the process has ended. After that, exitErr is nil if
	// its exit code was 0.
	ended   chan struct{}
	exitErr error
}

// lockedBuffer collects the output of a process. It is safe for concurrent use.
type lockedBuffer struct {
	mu      sync.Mutex
	content bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(p)
}

func (b *lockedBuffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.content.String()), "\n")
}

// startProcess starts a binary. If it prints to standard output, the first line
// must be a JSON object with the addresses that it has bound. The rest of its
// output goes to the log.
func (d *Deployment) startProcess(name, binary string, args ...string) (*Process, error) {
	p := &Process{
		Name:           name,
		command:        exec.Command(filepath.Join(d.options.Binaries, binary), args...),
		boundAddresses: make(chan map[string]string, 1),
		ended:          make(chan struct{}),
	}
	p.command.Stderr = &p.log
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := p.command.Start(); err != nil {
		return nil, errors.WithStack(err)
	}
	d.processes = append(d.processes, p)
	go p.watchOutput(stdout)
	return p, nil
}

// watchOutput reads standard output until its end, then waits for the end of
// the process.
func (p *Process) watchOutput(stdout io.Reader) {
	scanner := bufio.NewScanner(stdout)
	if scanner.Scan() {
		var addresses map[string]string
		_ = json.Unmarshal(scanner.Bytes(), &addresses)
		p.boundAddresses <- addresses
	}
	_, _ = io.Copy(&p.log, stdout)
	p.exitErr = p.command.Wait()
	close(p.ended)
}

// awaitAddresses waits until the process has printed the addresses that it has
// bound, and returns them by name. Its error is a *ProcessError.
func (p *Process) awaitAddresses(ctx context.Context) (map[string]string, error) {
	select {
	case addresses := <-p.boundAddresses:
		return addresses, nil
	case <-p.ended:
		return nil, &ProcessError{Name: p.Name, Reason: fmt.Sprintf("ended early: %v", p.exitErr)}
	case <-ctx.Done():
		return nil, &ProcessError{Name: p.Name, Reason: "did not become ready"}
	}
}

// HasEnded reports whether the process has ended, without waiting for it.
func (p *Process) HasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Wait waits until the process ends by itself. It returns a *ProcessError if the
// exit code was not 0 or the context ended first.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.ended:
	case <-ctx.Done():
		return &ProcessError{Name: p.Name, Reason: "did not end"}
	}
	if p.exitErr != nil {
		return &ProcessError{Name: p.Name, Reason: p.exitErr.Error()}
	}
	return nil
}

// Stop sends SIGTERM and waits for the end of the process. After stopTimeout it
// kills the process. It returns a *ProcessError if the process had ended before,
// had to be killed, or ended with an exit code other than 0.
func (p *Process) Stop() error {
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return &ProcessError{Name: p.Name, Reason: "ended early"}
	}
	select {
	case <-p.ended:
		if p.exitErr != nil {
			return &ProcessError{Name: p.Name, Reason: p.exitErr.Error()}
		}
		return nil
	case <-time.After(stopTimeout):
		_ = p.command.Process.Kill()
		<-p.ended
		return &ProcessError{Name: p.Name, Reason: "did not end after SIGTERM"}
	}
}

// Terminate sends SIGTERM. It does not wait for the end of the process.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// LogTail returns the last lines of the log, at most logTailLines.
func (p *Process) LogTail() string {
	lines := p.LogLines()
	return strings.Join(lines[max(0, len(lines)-logTailLines):], "\n")
}

// LogLines returns the lines that the process has logged.
func (p *Process) LogLines() []string { return p.log.lines() }

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// Pause suspends the process until Resume.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

func (p *Process) signal(s syscall.Signal) error {
	return errors.WithStack(p.command.Process.Signal(s))
}

// Usage returns the processor time that the process has used so far and its
// resident memory in bytes, as the operating system reports them.
func (p *Process) Usage() (processor time.Duration, resident int64, err error) {
	return readUsage(p.command.Process.Pid)
}

// Peak returns the highest resident memory of the process so far, in bytes, and the number
// of its open descriptors.
func (p *Process) Peak() (memory int64, descriptors int, err error) {
	return readPeak(p.command.Process.Pid)
}

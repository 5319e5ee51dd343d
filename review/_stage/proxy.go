package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"text/template"
	"time"
)

// instance is one process of the system.
type instance struct {
	w                                            *world
	Name, IP, Zone, Store, Cloud                 string
	Front, Ready, Control, Internal, InternalEnd int
	Seeds                                        []string
	command                                      *exec.Cmd
	dir                                          string
	stopped                                      bool
	ends                                         int
	// answeredAt is when a client last got an answer, in Unix nanoseconds.
	answeredAt *atomic.Int64
}

func render(name string, values any) string {
	body, err := data.ReadFile("data/" + name)
	if err != nil {
		unrunnable("%v", err)
	}
	var out bytes.Buffer
	if err := template.Must(template.New(name).Parse(string(body))).Execute(&out, values); err != nil {
		unrunnable("%v", err)
	}
	return strings.TrimSpace(out.String())
}

func (p *instance) start() {
	settings := filepath.Join(p.dir, p.Name+".yaml")
	if err := os.WriteFile(settings, []byte(render("settings.yaml", p)), 0o600); err != nil {
		unrunnable("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(p.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unrunnable("%v", err)
	}
	p.command = exec.Command(p.w.program[0], p.w.program[1:]...)
	p.command.Env = []string{names["settings"] + "=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		unrunnable("%v", err)
	}
	p.stopped = false
	command := p.command
	p.w.record.line("process %s starts", p.Name)
	go func() {
		err := command.Wait()
		p.w.record.line("process %s ends: %v", p.Name, err)
		_ = log.Close()
		if !p.stopped && !p.w.ended() {
			p.ends++
			p.w.judge.broken("END", "process %s ended by itself: %v", p.Name, err)
		}
	}()
}

func (p *instance) signal(s syscall.Signal) {
	p.w.record.line("signal %v to %s", s, p.Name)
	_ = p.command.Process.Signal(s)
}

func (p *instance) kill() {
	p.stopped = true
	p.signal(syscall.SIGKILL)
}

func (p *instance) isReady() bool {
	c := http.Client{Timeout: time.Second}
	response, err := c.Get(fmt.Sprintf("http://%s:%d/readiness", p.IP, p.Ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == 200
}

func (p *instance) front() string { return fmt.Sprintf("%s:%d", p.IP, p.Front) }

// freePort returns a port that is free on all loopback addresses in use.
func freePort() int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unrunnable("%v", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

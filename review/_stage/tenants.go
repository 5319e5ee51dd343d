package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["tenants"] = tenants }

const (
	tenantCount = 81
	// stormGap and stormTime are those of the configurations in quick succession.
	stormGap, stormTime = 60 * time.Millisecond, 1500 * time.Millisecond
	// hungAfter is the time without an answer to anybody after which an instance is looked at
	// as hung.
	hungAfter = 6 * time.Second
	// grace and route are grace_s and a time below each route's timeout.
	grace      = 6 * time.Second
	lastMoment = 5500 * time.Millisecond
)

// tenants has a configuration with tenants, and sends configurations in quick succession. An
// instance that answers nobody any more is then stopped as the platform does it: SIGTERM, and
// SIGKILL after the grace period. A request that it has read by then is lost.
func tenants(dir string, trouble bool) int {
	w := newWorld(dir, 8, 14, 0)
	for i := range tenantCount {
		w.tenants = append(w.tenants, fmt.Sprintf("tenant%dx", i))
	}
	for _, g := range w.groups {
		for _, d := range g.databases {
			d.slots, d.maxConns, d.work = 4, 56, 8*time.Millisecond
		}
	}
	w.configure()
	w.start()
	watched := make([]*watchedSession, len(w.instances))
	for i, p := range w.instances {
		watched[i] = w.watch(p)
	}
	w.offer(40, 10*time.Millisecond)
	end := time.Now().Add(95 * time.Second)
	var hung *instance
	for time.Now().Before(end) && hung == nil {
		if trouble {
			w.record.line("configurations in quick succession begin")
			for stop := time.Now().Add(stormTime); time.Now().Before(stop); time.Sleep(stormGap) {
				w.configure()
			}
			w.record.line("configurations in quick succession end, version %d", w.version)
		}
		time.Sleep(500 * time.Millisecond)
		for _, p := range w.instances {
			if time.Since(time.Unix(0, p.answeredAt.Load())) > hungAfter {
				hung = p
			}
		}
	}
	if hung == nil {
		w.end()
		return w.verdict("LOST")
	}
	w.record.line("%s has answered nobody for %v; its readiness is %v", hung.Name, hungAfter, hung.isReady())
	fmt.Println(hung.Name, "answers nobody")
	// The configuration has rested for longer than contact_ms.
	time.Sleep(3 * time.Second)
	hung.stopped = true
	hung.signal(syscall.SIGTERM)
	signalledAt := time.Now()
	time.Sleep(lastMoment)
	for i, p := range w.instances {
		if p == hung {
			w.judgeLost(watched[i], signalledAt)
		}
	}
	time.Sleep(time.Until(signalledAt.Add(grace)))
	hung.signal(syscall.SIGKILL)
	time.Sleep(300 * time.Millisecond)
	w.end()
	return w.verdict("LOST")
}

// watchedSession is an idle session at an instance.
type watchedSession struct {
	conn   net.Conn
	reader *bufio.Reader
	route  *route
	number int
}

func (w *world) watch(p *instance) *watchedSession {
	conn, err := net.DialTimeout("tcp", p.front(), time.Second)
	if err != nil {
		unrunnable("%v", err)
	}
	s := &watchedSession{conn: conn, reader: bufio.NewReader(conn), route: w.routes[1], number: w.sessions()}
	fmt.Fprintf(conn, "CONNECT %s %s\r\n", s.route.host, w.key(s.number))
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if line, err := readLine(s.reader); err != nil || !strings.HasPrefix(line, "READY") {
		unrunnable("%s does not accept a session: %q %v", p.Name, line, err)
	}
	return s
}

// judgeLost sends a read on a session and judges whether it gets an answer before the process
// is killed at the end of its grace period, within the route's timeout.
func (w *world) judgeLost(s *watchedSession, signalledAt time.Time) {
	id := fmt.Sprintf("watched%d", s.number)
	w.judge.sent(&call{id: id, text: "READ i1", attempt: id, session: s.number, service: s.route.service, kind: s.route.kind,
		staleness: time.Duration(s.route.staleness) * time.Millisecond, firstAt: time.Now(), values: map[string]string{}})
	sentAt := time.Now()
	_ = s.conn.SetDeadline(sentAt.Add(3 * time.Second))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s READ i1\r\n", id); err != nil {
		w.record.line("the session was closed before: %v", err)
		return
	}
	go func() {
		time.Sleep(300 * time.Millisecond)
		w.record.line("%v after it was sent, %d bytes of %s are unread in the process's socket", time.Since(sentAt).Round(time.Millisecond), unread(s.conn), id)
	}()
	w.clients.Add(1)
	go func() {
		defer w.clients.Done()
		line, err := readLine(s.reader)
		if err == nil {
			w.record.line("%s is answered: %s", id, line)
			return
		}
		w.judge.broken("LOST", "%s, sent %v after SIGTERM, was read, and its connection ended %v later without an answer: %v", id,
			sentAt.Sub(signalledAt).Round(time.Millisecond), time.Since(sentAt).Round(time.Millisecond), err)
	}()
}

// unread returns how many bytes the other end of a loopback connection has not read, or -1.
func unread(conn net.Conn) int {
	local, remote := conn.LocalAddr().(*net.TCPAddr), conn.RemoteAddr().(*net.TCPAddr)
	body, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return -1
	}
	for _, line := range strings.Split(string(body), "\n") {
		f := strings.Fields(line)
		if len(f) > 4 && strings.HasSuffix(f[1], fmt.Sprintf(":%04X", remote.Port)) && strings.HasSuffix(f[2], fmt.Sprintf(":%04X", local.Port)) {
			count := 0
			_, _ = fmt.Sscanf(f[4], "%*x:%x", &count)
			_, after, _ := strings.Cut(f[4], ":")
			_, _ = fmt.Sscanf(after, "%x", &count)
			return count
		}
	}
	return -1
}

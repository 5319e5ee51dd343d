package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// client is a client's session, which is opened again when it ends.
type client struct {
	sc      *scene
	name    string
	address string
	route   string
	conn    net.Conn
	reader  *bufio.Reader
}

// answer is what a client got for one request.
type answer struct {
	rows      []string
	signature string
	code      string
	state     string
	err       error
}

func (c *client) connect() error {
	conn, err := net.DialTimeout("tcp", c.address, 2*time.Second)
	if err != nil {
		return err
	}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "CONNECT %s %s\r\n", c.route, c.name)
	reader := bufio.NewReader(conn)
	line, err := readLine(reader)
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("%s", line)
	}
	if err != nil {
		_ = conn.Close()
		return err
	}
	c.conn, c.reader = conn, reader
	return nil
}

// ask sends a request and reads its answer. It closes the session if there is none.
func (c *client) ask(id, text string, timeout time.Duration) answer {
	var a answer
	if c.conn == nil {
		if a.err = c.connect(); a.err != nil {
			return a
		}
	}
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if _, a.err = fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); a.err == nil {
		for a.state == "" && a.err == nil {
			var line string
			if line, a.err = readLine(c.reader); a.err != nil {
				break
			}
			word, rest, _ := strings.Cut(line, " ")
			switch word {
			case "DATA":
				a.rows = append(a.rows, rest)
			case "COMPLETE":
				a.signature = rest
			case "ERROR":
				a.code, _, _ = strings.Cut(rest, " ")
			case "READY":
				a.state, _, _ = strings.Cut(rest, " ")
			}
		}
	}
	if a.err != nil || a.state != "I" && a.code != "" {
		_ = c.conn.Close()
		c.conn = nil
	}
	return a
}

// write keeps writing until the given time, one statement after the other with a pause between.
func (c *client) write(until time.Time, pause time.Duration) {
	for n := 0; time.Now().Before(until) && !c.sc.stopped.Load(); n++ {
		id := fmt.Sprintf("%s-%d", c.name, n)
		a := c.ask(id, fmt.Sprintf("WRITE %s v%d", c.name, n), 3*time.Second)
		at := time.Now()
		result := a.code
		switch {
		case a.err != nil:
			result = a.err.Error()
		case a.code == "":
			result = "COMPLETE"
			c.sc.mu.Lock()
			c.sc.acked[id] = at
			c.sc.mu.Unlock()
		}
		c.sc.note("client %s: %s at %s: %s", c.name, id, c.address, result)
		time.Sleep(pause)
	}
}

// read keeps reading until the given time, as write does.
func (c *client) read(until time.Time, pause time.Duration) {
	for n := 0; time.Now().Before(until) && !c.sc.stopped.Load(); n++ {
		c.ask(fmt.Sprintf("%s-%d", c.name, n), "READ a", 3*time.Second)
		time.Sleep(pause)
	}
}

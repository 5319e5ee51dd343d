package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// client is one session of a caller.
type client struct {
	name   string
	conn   net.Conn
	reader *bufio.Reader
}

// reply is the answer to one request.
type reply struct {
	rows      []string
	signature string
	// code is that of ERROR, or empty.
	code, text string
	state      string
}

var nextID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+nextID.Add(1)) }

func connect(name string, i *instance, host string) (*client, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("127.0.0.1:%d", i.Front), time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, conn: conn, reader: bufio.NewReaderSize(conn, 1<<16)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "CONNECT %s u%s\r\n", host, name); err != nil {
		return nil, err
	}
	line, err := readLine(c.reader)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	if !strings.HasPrefix(line, "READY") {
		_ = conn.Close()
		return nil, errors.New(line)
	}
	note(name, "connected to "+i.Name+" for "+host)
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// ask sends a request and reads its answer.
func (c *client) ask(text string) (reply, error) { return c.askAs(newID(), text) }

// askAs sends a request with the given id and reads its answer.
func (c *client) askAs(id, text string) (reply, error) {
	_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second))
	note(c.name, "sends    "+id+" "+quote(text))
	if _, err := c.conn.Write([]byte("QUERY " + id + " " + text + "\r\n")); err != nil {
		note(c.name, "cannot send "+id+": "+err.Error())
		return reply{}, err
	}
	r, err := c.read()
	if err != nil {
		note(c.name, "no answer to "+id+": "+err.Error())
		return r, err
	}
	note(c.name, "answered "+id+" "+r.String())
	return r, nil
}

func (c *client) read() (reply, error) {
	var r reply
	for {
		line, err := readLine(c.reader)
		if err != nil {
			return r, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATA":
			r.rows = append(r.rows, rest)
		case "COMPLETE":
			r.signature = rest
		case "ERROR":
			r.code, r.text, _ = strings.Cut(rest, " ")
		case "READY":
			r.state, _, _ = strings.Cut(rest, " ")
			return r, nil
		default:
			return r, errors.New("unexpected message " + quote(line))
		}
	}
}

func (r reply) String() string {
	if r.code != "" {
		return "ERROR " + r.code + " (" + r.text + "), state " + r.state
	}
	return "DATA " + describe(r.rows) + ", COMPLETE " + r.signature + ", state " + r.state
}

func quote(text string) string {
	if len(text) > 200 {
		text = text[:200] + "..."
	}
	return fmt.Sprintf("%q", text)
}

// load keeps a session on a route of an instance that repeats a statement until the
// case ends, so that each instance knows whether the databases answer it.
func load(i *instance, host, text string, pause time.Duration) {
	go func() {
		name := "load-" + i.Zone
		for n := 0; ; n++ {
			c, err := connect(name, i, host)
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			for {
				statement := text
				if strings.HasPrefix(text, "WRITE") {
					statement = fmt.Sprintf("%s n%d", text, n)
				}
				n++
				if r, err := c.ask(statement); err != nil || r.state != "I" {
					break
				}
				time.Sleep(pause)
			}
			c.close()
		}
	}()
}

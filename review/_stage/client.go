package main

import (
	"bufio"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// route is a route of the configuration.
type route struct {
	host, service, kind       string
	timeout, target, priority int
	staleness                 int
}

// client is a session of a client, connected to the given front address.
type client struct {
	j        *judge
	w        *world
	number   int
	route    *route
	conn     net.Conn
	reader   *bufio.Reader
	state    string
	values   map[string]string
	prepared map[string]string
	next     int
	tx       *clientTx
	txAt     time.Time
	attempt  string
	rng      *rand.Rand
	instance *instance
}

func (c *client) connect(p *instance) bool {
	conn, err := net.DialTimeout("tcp", p.front(), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.state = conn, bufio.NewReader(conn), "I"
	c.instance = p
	c.values, c.prepared, c.tx = map[string]string{}, map[string]string{}, nil
	c.number = c.w.sessions()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "CONNECT %s %s\r\n", c.route.host, c.w.key(c.number))
	line, err := readLine(c.reader)
	if err != nil || !strings.HasPrefix(line, "READY") {
		c.close()
		return false
	}
	return true
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// reply is what a client gets for a request.
type reply struct {
	code, signature string
	rows            []string
	lost            bool
}

// send sends a request and reads its answer. firstAt is that of the transaction, if any.
func (c *client) send(text, shape string) (reply, *call) {
	c.next++
	id := fmt.Sprintf("s%dq%d", c.number, c.next)
	now := time.Now()
	k := &call{id: id, text: text, attempt: c.attempt, session: c.number, service: c.route.service, kind: c.route.kind,
		staleness: time.Duration(c.route.staleness) * time.Millisecond, firstAt: now, values: maps.Clone(c.values), shape: shape, tx: c.tx}
	if c.tx != nil {
		k.firstAt = c.txAt
		if text == "COMMIT" {
			c.tx.committing = true
		}
	}
	c.j.sent(k)
	_ = c.conn.SetDeadline(now.Add(4 * time.Second))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return reply{lost: true}, k
	}
	var r reply
	for {
		line, err := readLine(c.reader)
		if err != nil {
			c.j.record.line(" session %d gets no answer to %s: %v", c.number, id, err)
			return reply{lost: true}, k
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATA":
			r.rows = append(r.rows, rest)
		case "COMPLETE":
			r.signature = rest
		case "ERROR":
			r.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			c.state, _, _ = strings.Cut(rest, " ")
			c.instance.answeredAt.Store(time.Now().UnixNano())
			c.j.record.line(" session %d gets %s: %s %s state %s", c.number, id, r.code, r.signature, c.state)
			c.j.count("answers " + r.code)
			switch r.code {
			case "BUSY", "ABORTED", "LAGGING", "READONLY", names["wrong"], names["connection_limit"]:
				c.j.promise(c.attempt, r.code)
			}
			return r, k
		}
	}
}

// operate runs one operation. It returns false if the session has to be closed.
func (c *client) operate() bool {
	c.attempt = fmt.Sprintf("a%d-%d", c.number, c.next)
	if c.rng.IntN(8) == 0 {
		name, value := fmt.Sprintf("v%d", c.rng.IntN(3)), fmt.Sprintf("x%d", c.rng.IntN(4))
		r, _ := c.send("SET "+name+" "+value, "")
		if r.lost || r.code != "" {
			return false
		}
		c.values[name] = value
	}
	if c.rng.IntN(10) == 0 {
		name, shape := fmt.Sprintf("p%d", c.rng.IntN(2)), []string{"READ", "WRITE"}[c.rng.IntN(2)]+fmt.Sprintf(" q%d", c.rng.IntN(5))
		r, _ := c.send("PARSE "+name+" "+shape, "")
		if r.lost || r.code != "" {
			return false
		}
		c.prepared[name] = shape
	}
	p := c.rng.Float64()
	switch {
	case p < 0.25:
		return c.transaction()
	case p < 0.5:
		return c.single(true)
	default:
		return c.single(false)
	}
}

func (c *client) statement(write bool) (text, shape string) {
	item := fmt.Sprintf("i%d", c.rng.IntN(50))
	want := "READ"
	if write {
		want = "WRITE"
		item += fmt.Sprintf(" d%d", c.rng.IntN(1<<30))
	}
	for name, s := range c.prepared {
		if strings.HasPrefix(s, want) && c.rng.IntN(2) == 0 {
			return "EXECUTE " + name + " " + item, s
		}
	}
	return want + " " + item, ""
}

func (c *client) single(write bool) bool {
	text, shape := c.statement(write)
	r, k := c.send(text, shape)
	if r.lost {
		return false
	}
	if r.code == "" {
		c.j.success(k, r.signature, strings.Join(r.rows, " "), write)
	}
	return c.state == "I"
}

func (c *client) transaction() bool {
	c.tx, c.txAt = &clientTx{}, time.Now()
	defer func() { c.tx = nil }()
	readOnly := c.route.kind != "primary" && c.rng.IntN(2) == 0
	begin := "BEGIN"
	if readOnly {
		begin += " READ"
	}
	if r, _ := c.send(begin, ""); r.lost || r.code != "" {
		return !r.lost && c.state == "I"
	}
	for range 1 + c.rng.IntN(4) {
		time.Sleep(time.Duration(c.rng.IntN(30)) * time.Millisecond)
		if c.rng.IntN(10) == 0 {
			name, value := fmt.Sprintf("v%d", c.rng.IntN(3)), fmt.Sprintf("x%d", c.rng.IntN(4))
			if r, _ := c.send("SET "+name+" "+value, ""); r.lost || r.code != "" {
				return false
			}
			c.values[name] = value
		}
		text, shape := c.statement(!readOnly && c.rng.IntN(2) == 0)
		r, k := c.send(text, shape)
		if r.lost {
			return false
		}
		if r.code != "" {
			r, _ := c.send("ROLLBACK", "")
			return !r.lost && c.state == "I"
		}
		c.j.success(k, r.signature, strings.Join(r.rows, " "), false)
	}
	switch c.rng.IntN(10) {
	case 0:
		r, _ := c.send("ROLLBACK", "")
		return !r.lost && c.state == "I"
	case 1:
		return false
	}
	r, k := c.send("COMMIT", "")
	if r.lost {
		return false
	}
	if r.code == "" {
		c.j.success(k, r.signature, "", true)
	}
	return c.state == "I"
}

// work runs operations until the world ends.
func (c *client) work(pause time.Duration) {
	for !c.w.ended() {
		if c.conn == nil && !c.connect(c.w.anyInstance(c.rng)) {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if !c.operate() {
			c.close()
		}
		time.Sleep(time.Duration(float64(pause) * c.rng.ExpFloat64()))
	}
	c.close()
}

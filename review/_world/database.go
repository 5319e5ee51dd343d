package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// slotCount and maxQueued are a database's slots and the statements that may wait
	// for one; more get BUSY.
	slotCount = 3
	maxQueued = 24
	// promoteDelay is the time from the call to its effect: "some hundred ms".
	promoteDelay = 300 * time.Millisecond
	// replicationInterval is how often a replica receives and applies the log.
	replicationInterval = 8 * time.Millisecond
	// yieldDelay is how long an old primary continues after it can reach the new one: at
	// most a second.
	yieldDelay = 200 * time.Millisecond
	maxConns   = 21
)

type position struct{ term, number uint64 }

func (p position) less(q position) bool {
	return p.term < q.term || p.term == q.term && p.number < q.number
}

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

type commit struct {
	at    position
	items map[string]string
}

// group is a service: one log on several databases.
type group struct {
	name string
	// mu protects the group and all its databases.
	mu        sync.Mutex
	databases []*database
	// work is how long a read, write or commit occupies a slot; zero means 4 ms.
	work func(text string) time.Duration
	// observe is called for each statement that ran, with the lock held.
	observe func(ran)
}

// ran is one statement that a database has run for a client, or refused.
type ran struct {
	database, id, text, code, state string
	// shape is what a prepared name stands for on the connection.
	shape  string
	values map[string]string
	conn   int
}

// describe returns the line of the record about a statement that arrived as text.
func (r ran) describe(text string) string {
	what := "runs    "
	if r.code != "" {
		what = "refuses "
	}
	line := fmt.Sprintf("%s %s %s on connection %d in state %s with values %v", what, r.id, quote(text), r.conn, r.state, r.values)
	if r.shape != "" {
		line += ", prepared as " + quote(r.shape)
	}
	if r.code != "" {
		line += ": " + r.code
	}
	return line
}

type database struct {
	g        *group
	id, zone string
	address  string
	primary  bool
	term     uint64
	log      []commit
	// darkUntil is when the database answers again; until then it is silent.
	darkUntil time.Time
	// greyUntil is when the database stops refusing greyShare of its requests.
	greyUntil time.Time
	greyShare float64
	// sawNewerAt is when, as an old primary, it first reached the new one.
	sawNewerAt time.Time
	conns      int
	nextConn   int
	slots      chan struct{}
	queued     int
	born       int64
	seq        int
}

func newGroup(name string, zones []string) *group {
	g := &group{name: name}
	for i, zone := range zones {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			giveUp("listening: " + err.Error())
		}
		d := &database{
			g: g, id: fmt.Sprintf("i-%04d%s", i+1, strings.Repeat("a", 4)), zone: zone, address: listener.Addr().String(),
			primary: i == 0, term: 1, log: []commit{{at: position{1, 1}, items: map[string]string{}}},
			slots: make(chan struct{}, slotCount), born: time.Now().UnixMilli(),
		}
		g.databases = append(g.databases, d)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go d.serve(conn)
			}
		}()
	}
	go func() {
		for {
			time.Sleep(replicationInterval)
			g.replicate()
		}
	}()
	return g
}

func (d *database) isDark() bool { return time.Now().Before(d.darkUntil) }

func (d *database) last() position { return d.log[len(d.log)-1].at }

// replicate lets each replica that reaches the newest primary receive and apply its
// log, and an older primary that reaches it become a replica after yieldDelay.
func (g *group) replicate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	leader := g.leader()
	if leader == nil || leader.isDark() {
		return
	}
	for _, d := range g.databases {
		if d == leader || d.isDark() {
			continue
		}
		if d.primary {
			if d.sawNewerAt.IsZero() {
				d.sawNewerAt = time.Now()
			}
			if time.Since(d.sawNewerAt) < yieldDelay {
				continue
			}
			note(d.id, "becomes a replica")
			d.primary = false
		}
		d.term = leader.term
		d.log = append([]commit(nil), leader.log...)
	}
}

// leader returns the primary of the newest term.
func (g *group) leader() *database {
	var newest *database
	for _, d := range g.databases {
		if d.primary && (newest == nil || d.term > newest.term) {
			newest = d
		}
	}
	return newest
}

// promote makes a database the primary of the next term after promoteDelay. It reports
// false if the database isn't running. It changes nothing for the present primary.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.find(id)
	if d == nil || d.isDark() {
		return false
	}
	if d == g.leader() {
		return true
	}
	time.AfterFunc(promoteDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if d == g.leader() {
			return
		}
		term := uint64(0)
		for _, other := range g.databases {
			term = max(term, other.term)
		}
		d.primary, d.term, d.sawNewerAt = true, term+1, time.Time{}
		note(d.id, fmt.Sprintf("leads term %d with the log up to %s", d.term, d.last()))
	})
	return true
}

func (g *group) find(id string) *database {
	for _, d := range g.databases {
		if d.id == id {
			return d
		}
	}
	return nil
}

// goDark makes a database silent for a time: nothing is read or answered.
func (d *database) goDark(length time.Duration) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.darkUntil = time.Now().Add(length)
	note(d.id, "goes dark for "+length.String())
}

// goGrey makes a database refuse a share of its requests for a time: it runs nothing of
// them and answers BUSY.
func (d *database) goGrey(share float64, length time.Duration) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.greyShare, d.greyUntil = share, time.Now().Add(length)
	note(d.id, fmt.Sprintf("refuses %.2f of its requests for %v", share, length))
}

// awaitLight waits while the database is dark.
func (d *database) awaitLight() {
	for {
		d.g.mu.Lock()
		until := d.darkUntil
		d.g.mu.Unlock()
		left := time.Until(until)
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// connection is one connection to a database.
type connection struct {
	d        *database
	number   int
	state    string
	readOnly bool
	writes   map[string]string
	values   map[string]string
	prepared map[string]string
	hasRead  bool
}

func (d *database) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, 1<<16)
	line, err := readLine(reader)
	if err != nil {
		return
	}
	d.awaitLight()
	fields := strings.Split(line, " ")
	d.g.mu.Lock()
	if len(fields) < 3 || fields[0] != "CONNECT" || fields[1] != d.g.name || len(fields) > 3 && fields[3] != d.id {
		d.g.mu.Unlock()
		fmt.Fprintf(conn, "ERROR %s %s\r\n", names.CodeWrongNode, d.id)
		return
	}
	if d.conns >= maxConns {
		d.g.mu.Unlock()
		fmt.Fprintf(conn, "ERROR %s %s\r\n", names.CodeConnLimit, d.id)
		return
	}
	d.conns++
	d.nextConn++
	c := &connection{d: d, number: d.nextConn, state: "I", values: map[string]string{}, prepared: map[string]string{}}
	ready := "READY I " + d.last().String() + "\r\n"
	d.g.mu.Unlock()
	defer func() {
		d.g.mu.Lock()
		defer d.g.mu.Unlock()
		d.conns--
	}()
	if _, err := conn.Write([]byte(ready)); err != nil {
		return
	}
	for {
		line, err := readLine(reader)
		if err != nil {
			return
		}
		d.awaitLight()
		keyword, rest, _ := strings.Cut(line, " ")
		if keyword == "QUIT" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if keyword != "QUERY" {
			return
		}
		out := c.answer(id, text)
		d.awaitLight()
		if _, err := conn.Write([]byte(out)); err != nil {
			return
		}
	}
}

// readLine reads a message up to CR LF.
func readLine(reader *bufio.Reader) (string, error) {
	var line []byte
	for {
		chunk, err := reader.ReadBytes('\n')
		if err != nil {
			return "", err
		}
		line = append(line, chunk...)
		if len(line) >= 2 && line[len(line)-2] == '\r' {
			return string(line[:len(line)-2]), nil
		}
	}
}

// occupy waits for a slot and keeps it for the statement's work. It reports false if
// too many wait.
func (d *database) occupy(text string) (release func(), ok bool) {
	d.g.mu.Lock()
	if d.queued >= maxQueued {
		d.g.mu.Unlock()
		return nil, false
	}
	d.queued++
	work := 4 * time.Millisecond
	if d.g.work != nil {
		work = d.g.work(text)
	}
	d.g.mu.Unlock()
	d.slots <- struct{}{}
	d.g.mu.Lock()
	d.queued--
	d.g.mu.Unlock()
	time.Sleep(work)
	return func() { <-d.slots }, true
}

// answer runs one statement and returns the answer to it.
func (c *connection) answer(id, text string) string {
	d := c.d
	sent := text
	var minimum *position
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		at, statement, _ := strings.Cut(rest, " ")
		p := parsePosition(at)
		minimum, text = &p, statement
	}
	word, rest, _ := strings.Cut(text, " ")
	usesSlot := word == "READ" || word == "WRITE" || word == "EXECUTE" || word == "COMMIT" || word == "STATUS"
	isBusy := false
	if usesSlot && c.state != "E" {
		release, ok := d.occupy(text)
		if ok {
			defer release()
		}
		isBusy = !ok
	}
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	r := ran{database: d.id, id: id, text: sent, conn: c.number, state: c.state, values: map[string]string{}}
	for name, value := range c.values {
		r.values[name] = value
	}
	if word == "EXECUTE" {
		name, _, _ := strings.Cut(rest, " ")
		r.shape = c.prepared[name]
	}
	if c.state != "E" && time.Now().Before(d.greyUntil) && rand.Float64() < d.greyShare {
		isBusy = true
	}
	var body string
	if isBusy {
		body = c.fail("BUSY")
	} else {
		body = c.run(word, rest, minimum)
	}
	if code, found := strings.CutPrefix(body, "ERROR "); found {
		r.code, _, _ = strings.Cut(code, " ")
	}
	if word != "STATUS" {
		note(d.id, r.describe(sent))
		if d.g.observe != nil {
			d.g.observe(r)
		}
	}
	return body + "READY " + c.state + " " + d.last().String() + "\r\n"
}

func parsePosition(text string) position {
	termText, numberText, _ := strings.Cut(text, ".")
	term, _ := strconv.ParseUint(termText, 10, 64)
	number, _ := strconv.ParseUint(numberText, 10, 64)
	return position{term, number}
}

func (c *connection) fail(code string) string {
	if c.state == "T" {
		c.state = "E"
	}
	return "ERROR " + code + " " + c.d.id + "\r\n"
}

// run carries out a statement. The group is locked.
func (c *connection) run(word, rest string, minimum *position) string {
	d := c.d
	if c.state == "E" && word != "COMMIT" && word != "ROLLBACK" && word != "STATUS" {
		return "ERROR MALFORMED " + d.id + "\r\n"
	}
	if minimum != nil && d.last().less(*minimum) {
		return c.fail("LAGGING")
	}
	// A plain transaction whose database has lost the lead: any statement but the COMMIT
	// of one that wrote nothing.
	if c.state == "T" && !c.readOnly && !d.primary && word != "STATUS" && word != "ROLLBACK" &&
		!(word == "COMMIT" && len(c.writes) == 0) {
		return c.fail("READONLY")
	}
	const done = "COMPLETE -\r\n"
	switch word {
	case "STATUS", names.WordStepDown:
		return c.status(word, rest)
	case "DISCARD":
		clear(c.values)
		clear(c.prepared)
		return done
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
		return done
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
		return done
	case "CLOSE":
		delete(c.prepared, rest)
		return done
	case "BEGIN":
		if rest != "READ" && !d.primary {
			return c.fail("READONLY")
		}
		c.state, c.readOnly, c.writes = "T", rest == "READ", map[string]string{}
		return done
	case "ROLLBACK":
		c.state, c.writes = "I", nil
		return done
	case "COMMIT":
		if c.state == "E" {
			c.state, c.writes = "I", nil
			return "ERROR ABORTED " + d.id + "\r\n"
		}
		if c.state != "T" {
			return "ERROR MALFORMED " + d.id + "\r\n"
		}
		c.state = "I"
		d.append(c.writes)
		c.writes = nil
		return "COMPLETE " + d.id + ".commit\r\n"
	case "READ":
		return c.access("READ", rest)
	case "WRITE":
		return c.access("WRITE", rest)
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		shape, found := c.prepared[name]
		if !found {
			return c.fail("NOSTMT")
		}
		kind, _, _ := strings.Cut(shape, " ")
		return c.access(kind, arguments)
	default:
		return c.fail("MALFORMED")
	}
}

func (c *connection) access(kind, rest string) string {
	d := c.d
	item, data, _ := strings.Cut(rest, " ")
	signature := "COMPLETE " + d.id + "." + item + "\r\n"
	if kind == "READ" {
		found := "none"
		for i := len(d.log) - 1; i >= 0; i-- {
			if value, is := d.log[i].items[item]; is {
				found = value
				break
			}
		}
		if own, is := c.writes[item]; is {
			found = own
		}
		return "DATA " + found + "\r\n" + signature
	}
	if !d.primary || c.readOnly && c.state == "T" {
		return c.fail("READONLY")
	}
	if c.state == "T" {
		c.writes[item] = data
	} else {
		d.append(map[string]string{item: data})
	}
	return signature
}

func (d *database) append(items map[string]string) {
	if len(items) == 0 {
		return
	}
	d.log = append(d.log, commit{at: position{d.term, d.last().number + 1}, items: items})
}

func (c *connection) status(word, rest string) string {
	d := c.d
	if word != "STATUS" {
		if term, err := strconv.ParseUint(rest, 10, 64); err == nil && term > d.term {
			note(d.id, "steps down")
			d.primary, d.term = false, term
		}
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	return fmt.Sprintf("DATA %s %d %s %d 0 %d %d\r\nCOMPLETE -\r\n", role, d.term, d.last(), d.term, len(d.slots), d.conns)
}

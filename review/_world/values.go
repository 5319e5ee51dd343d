package main

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"
)

// playValues: while a plain transaction is open, its database loses the lead. The
// session then sets a value and reads, and rolls back. From then on each of its reads
// must run with the value that was acknowledged to it.
func playValues(run []string) {
	var mu sync.Mutex
	// acknowledged holds the values that were acknowledged to the client of each request
	// under way, by the request's id.
	acknowledged := map[string]map[string]string{}
	broken, checked := 0, 0
	observe := func(r ran) {
		if r.code != "" {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		want, found := acknowledged[r.id]
		if !found {
			return
		}
		checked++
		if !maps.Equal(want, r.values) {
			broken++
			note("PINNED", fmt.Sprintf("%s ran with values %v; acknowledged to its client: %v", r.id, r.values, want))
		}
	}
	w := newWorld(run, observe)
	x := w.instances[0]
	for _, i := range w.instances {
		load(i, "finish", "WRITE load-"+i.Zone, 30*time.Millisecond)
	}
	time.Sleep(2 * time.Second)

	// checkedAsk sends a statement whose run is compared with values.
	checkedAsk := func(c *client, text string, values map[string]string) (reply, error) {
		id := newID()
		mu.Lock()
		acknowledged[id] = maps.Clone(values)
		mu.Unlock()
		return c.askAs(id, text)
	}

	one, err := connect("one", x, "standings")
	if err != nil {
		giveUp("connect: " + err.Error())
	}
	must(one, "SET club lanier")
	must(one, "BEGIN")
	must(one, "WRITE entry-1 55")
	w.replacePrimary()
	if r := must(one, "SET club savannah"); r.state != "T" {
		giveUp("the transaction has ended before its database lost the lead")
	}
	values := map[string]string{"club": "savannah"}
	if _, err := checkedAsk(one, "READ entry-1", values); err != nil {
		giveUp("the session was closed")
	}
	if r, err := one.ask("ROLLBACK"); err != nil || r.state != "I" {
		giveUp("the session was closed")
	}
	time.Sleep(20 * time.Millisecond)

	// Another client with the same value as was acknowledged to the first.
	two, err := connect("two", x, "standings")
	if err != nil {
		giveUp("connect: " + err.Error())
	}
	must(two, "SET club savannah")
	for n := range 40 {
		for _, c := range []*client{one, two} {
			if _, err := checkedAsk(c, fmt.Sprintf("READ entry-%d", n%4), values); err != nil {
				giveUp("the session was closed")
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	switch {
	case broken > 0:
		finish(1, fmt.Sprintf("PINNED broken: %d of %d statements ran with other values than those acknowledged to their clients", broken, checked))
	case checked == 0:
		giveUp("no statement ran")
	default:
		finish(0, fmt.Sprintf("held: %d statements ran with the values acknowledged to their clients", checked))
	}
}

// replacePrimary lets the first database go dark for 1.5 s and waits until it is back as
// a replica. Without the disruption it waits for as long.
func (w *world) replacePrimary() {
	if !isTroubled {
		time.Sleep(1800 * time.Millisecond)
		return
	}
	a := w.g.databases[0]
	a.goDark(1500 * time.Millisecond)
	for deadline := time.Now().Add(2700 * time.Millisecond); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		w.g.mu.Lock()
		isDemoted := !a.primary && !a.isDark()
		w.g.mu.Unlock()
		if isDemoted {
			time.Sleep(50 * time.Millisecond)
			return
		}
	}
	giveUp("the primary was not replaced before the transaction's time was over")
}

// playNames: while a plain transaction is open, its database loses the lead. The session
// then uses a prepared name for the first time on that connection, and rolls back. From
// then on the name must be known, since its preparing was acknowledged.
func playNames(run []string) {
	w := newWorld(run, nil)
	for _, i := range w.instances {
		load(i, "finish", "WRITE load-"+i.Zone, 30*time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	three, err := connect("three", w.instances[0], "standings")
	if err != nil {
		giveUp("connect: " + err.Error())
	}
	must(three, "PARSE q READ shape-q")
	must(three, "BEGIN")
	must(three, "WRITE entry-3 58")
	w.replacePrimary()
	for _, text := range []string{"EXECUTE q entry-1", "ROLLBACK"} {
		if r, err := three.ask(text); err != nil || text == "ROLLBACK" && r.state != "I" {
			giveUp("the session was closed")
		}
	}
	time.Sleep(20 * time.Millisecond)
	unknown, known := 0, 0
	for range 10 {
		must(three, "BEGIN READ")
		must(three, "READ entry-1")
		r, err := three.ask("EXECUTE q entry-1")
		if err != nil {
			giveUp("the session was closed")
		}
		if r.code == "NOSTMT" {
			unknown++
			note("PINNED", "the name q is unknown though its preparing was acknowledged")
		} else if r.code == "" {
			known++
		}
		if r, err := three.ask("ROLLBACK"); err != nil || r.state != "I" {
			giveUp("the session was closed")
		}
		time.Sleep(50 * time.Millisecond)
	}
	switch {
	case unknown > 0:
		finish(1, fmt.Sprintf("PINNED broken: an acknowledged prepared name was unknown in %d of 10 transactions", unknown))
	case known == 0:
		giveUp("the name was never used")
	default:
		finish(0, fmt.Sprintf("held: the prepared name was known in %d of 10 transactions", known))
	}
}

// must sends a statement that has to succeed for the case to be played.
func must(c *client, text string) reply {
	r, err := c.ask(text)
	if err != nil {
		giveUp(text + ": " + err.Error())
	}
	if r.code != "" {
		giveUp(text + ": " + strings.TrimSpace(r.code+" "+r.text))
	}
	return r
}

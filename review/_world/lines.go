package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// smuggledID is the id in the second line of a text; no client sends a request with it.
const smuggledID = "00000000deadbeef"

// playLines: a client's text contains a line feed. A message ends with CR LF only, so
// that the line feed belongs to the text. The database must get the text unchanged, and
// no other statement.
func playLines(run []string) {
	var mu sync.Mutex
	sent := map[string]string{}
	broken, checked := 0, 0
	observe := func(r ran) {
		mu.Lock()
		defer mu.Unlock()
		want, found := sent[r.id]
		switch {
		case found:
			checked++
			if r.code == "" && want != r.text {
				broken++
				note("UNASKED", fmt.Sprintf("%s ran as %q; its client sent %q", r.id, r.text, want))
			}
		case r.id == smuggledID:
			checked++
			if r.code == "" {
				broken++
				note("UNASKED", r.id+" ran; no client sent a request with that id")
			}
		}
	}
	w := newWorld(run, observe)
	time.Sleep(time.Second)
	feed := "\n"
	if !isTroubled {
		feed = " "
	}
	texts := []string{
		"WRITE note-1 first line" + feed + "second line",
		"WRITE note-2 wind 12 kn" + feed + "QUERY " + smuggledID + " WRITE note-3 protest dismissed",
	}
	for _, text := range texts {
		c, err := connect("one", w.instances[0], "finish")
		if err != nil {
			giveUp("connect: " + err.Error())
		}
		id := newID()
		mu.Lock()
		sent[id] = text
		mu.Unlock()
		// The answer is in the record; whether there is one does not matter here.
		_, _ = c.askAs(id, text)
		time.Sleep(500 * time.Millisecond)
		c.close()
	}
	// The first text read back. The verdict doesn't depend on it.
	if c, err := connect("two", w.instances[0], "finish"); err == nil {
		_, _ = c.ask("READ note-1")
		c.close()
	}
	mu.Lock()
	defer mu.Unlock()
	switch {
	case broken > 0:
		finish(1, fmt.Sprintf("UNASKED broken: %d statements ran that no client sent, or with changed text", broken))
	case checked < len(texts):
		giveUp("not every statement reached a database: " + strings.TrimSpace(fmt.Sprint(checked)))
	default:
		finish(0, fmt.Sprintf("held: %d statements ran as they were sent", checked))
	}
}

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playDrain: an instance gets SIGTERM. Sessions that are open there begin a transaction
// 2.4 s later and send one read after another in it. Each request that the instance has
// passed on to a database must be answered.
func playDrain(run []string) {
	const (
		// readTime is how long a read occupies its slot, pause the time between the
		// statements of a transaction.
		readTime = 40 * time.Millisecond
		pause    = 220 * time.Millisecond
		sessions = 15
		reads    = 11
	)
	var mu sync.Mutex
	passedOn := map[string]bool{}
	w := newWorld(run, func(r ran) {
		mu.Lock()
		defer mu.Unlock()
		passedOn[r.id] = true
	})
	w.g.mu.Lock()
	w.g.work = func(text string) time.Duration {
		if strings.HasPrefix(text, "READ slow") {
			return readTime
		}
		return 4 * time.Millisecond
	}
	w.g.mu.Unlock()
	x := w.instances[0]
	load(w.instances[1], "finish", "WRITE load-b", 30*time.Millisecond)
	time.Sleep(2 * time.Second)
	var clients []*client
	for n := range sessions {
		c, err := connect(fmt.Sprintf("one-%d", n), x, "rating")
		if err != nil {
			giveUp("connect: " + err.Error())
		}
		must(c, "READ entry")
		clients = append(clients, c)
	}
	terminatedAt := time.Now()
	if isTroubled {
		if err := x.command.Process.Signal(syscall.SIGTERM); err != nil {
			giveUp("SIGTERM: " + err.Error())
		}
		note(x.Name, "gets SIGTERM")
		time.AfterFunc(6*time.Second, x.kill)
	}
	time.Sleep(2400 * time.Millisecond)
	cut, answered := 0, 0
	var unanswered []string
	var done sync.WaitGroup
	for n, c := range clients {
		done.Add(1)
		go func() {
			defer done.Done()
			time.Sleep(time.Duration(n) * (readTime + pause) / sessions)
			if r, err := c.ask("BEGIN READ"); err != nil || r.code != "" {
				note(c.name, "has no transaction")
				return
			}
			for range reads {
				id, sentAt := newID(), time.Since(terminatedAt)
				r, err := c.askAs(id, "READ slow")
				mu.Lock()
				if err == nil && r.code == "" {
					answered++
				}
				if err != nil {
					unanswered = append(unanswered, id)
					note(c.name, fmt.Sprintf("%s was sent %.3f s after SIGTERM; the connection ended %.3f s after SIGTERM",
						id, sentAt.Seconds(), time.Since(terminatedAt).Seconds()))
				}
				mu.Unlock()
				if err != nil || r.code != "" {
					return
				}
				time.Sleep(pause)
			}
			_, _ = c.ask("COMMIT")
		}()
	}
	done.Wait()
	// A read that was under way when its connection ended is recorded when it has run.
	time.Sleep(400 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	for _, id := range unanswered {
		if passedOn[id] {
			cut++
			note("LOST", id+" was passed on to a database, and the connection ended without an answer")
		}
	}
	switch {
	case cut > 0:
		finish(1, fmt.Sprintf("LOST broken: %d requests that were passed on to a database got no answer; %d were answered", cut, answered))
	case answered == 0:
		giveUp("no read was answered")
	default:
		finish(0, fmt.Sprintf("held: %d requests were answered, none was cut", answered))
	}
}

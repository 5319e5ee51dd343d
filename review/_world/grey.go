package main

import (
	"fmt"
	"sync"
	"time"
)

// playGrey: the primary refuses a part of its requests. Sessions with a value of their
// own write. No write may take effect twice for one request, and none that was refused
// with a promise may be kept.
func playGrey(run []string) {
	const (
		// greyShare and greyTime are the part of the requests that is refused, and for
		// how long.
		greyShare = 0.39
		greyTime  = 6 * time.Second
		sessions  = 42
		pause     = 200 * time.Millisecond
	)
	w := newWorld(run, nil)
	time.Sleep(time.Second)
	var mu sync.Mutex
	answers := map[string]string{}
	stop := time.Now().Add(greyTime + time.Second)
	if isTroubled {
		w.g.databases[0].goGrey(greyShare, greyTime)
	}
	var done sync.WaitGroup
	for n := range sessions {
		done.Add(1)
		go func() {
			defer done.Done()
			name := fmt.Sprintf("crew-%d", n)
			c, err := connect(name, w.instances[n%len(w.instances)], "finish")
			if err != nil {
				note(name, "cannot connect: "+err.Error())
				return
			}
			defer c.close()
			if r, err := c.ask("SET crew " + name); err != nil || r.code != "" {
				return
			}
			for k := 0; time.Now().Before(stop); k++ {
				// Each request has data of its own, and each is one attempt.
				data := fmt.Sprintf("share-%d-%d", n, k)
				r, err := c.ask(fmt.Sprintf("WRITE ledger-%d %s", n, data))
				mu.Lock()
				switch {
				case err != nil:
					answers[data] = "no answer"
				case r.code != "":
					answers[data] = r.code
				default:
					answers[data] = "done"
				}
				mu.Unlock()
				if err != nil || r.state != "I" {
					return
				}
				time.Sleep(pause)
			}
		}()
	}
	done.Wait()
	time.Sleep(200 * time.Millisecond)
	w.g.mu.Lock()
	commits := map[string][]string{}
	for _, committed := range w.g.leader().log {
		for _, data := range committed.items {
			commits[data] = append(commits[data], committed.at.String())
		}
	}
	w.g.mu.Unlock()
	twice, refused, completed := 0, 0, 0
	for data, answer := range answers {
		if answer == "done" {
			completed++
		}
		if len(commits[data]) > 1 {
			twice++
			note("TWICE", fmt.Sprintf("the write of %s was committed at %v; its one request was answered with: %s", data, commits[data], answer))
		}
		if answer == "BUSY" && len(commits[data]) > 0 {
			refused++
			note("REFUSED", fmt.Sprintf("the write of %s was committed at %v; its request was answered with BUSY", data, commits[data]))
		}
	}
	switch {
	case twice > 0:
		finish(1, fmt.Sprintf("TWICE broken: %d of %d writes took effect more than once for one request; besides, %d that were refused with BUSY were kept", twice, len(answers), refused))
	case refused > 0:
		finish(1, fmt.Sprintf("REFUSED broken: %d of %d writes that were refused with BUSY were kept", refused, len(answers)))
	case completed == 0:
		giveUp("no write was answered with success")
	default:
		finish(0, fmt.Sprintf("held: %d writes, %d of them answered with success, none took effect twice", len(answers), completed))
	}
}

package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// played is one case: the number of replicas that receive a commit before it is
// acknowledged, how much later a replica has one, and the run, which returns how the rule was
// broken.
type played struct {
	sync int
	lag  time.Duration
	// promoteTime is how long a promotion takes.
	promoteTime time.Duration
	run         func(sc *scene, base int, trouble bool) ([]string, error)
}

var cases = map[string]played{
	"slow-promotion": {lag: 8 * time.Millisecond, promoteTime: time.Second, run: func(sc *scene, base int, trouble bool) ([]string, error) {
		err := slowPromotion(sc, base, trouble, 2, calmPause, 1200*time.Millisecond)
		return sc.writesAfterPromotion(), err
	}},
	"busy-platform": {lag: 8 * time.Millisecond, promoteTime: time.Second, run: func(sc *scene, base int, trouble bool) ([]string, error) {
		err := busyPlatform(sc, base, trouble)
		return sc.writesAfterPromotion(), err
	}},
	"slow-promotion-synchronous": {sync: 1, lag: 150 * time.Millisecond, promoteTime: 600 * time.Millisecond, run: func(sc *scene, base int, trouble bool) ([]string, error) {
		err := slowPromotion(sc, base, trouble, 12, 10*time.Millisecond, 1800*time.Millisecond)
		return sc.lost(), err
	}},
}

// calmPause is a client's pause between two writes.
const calmPause = 40 * time.Millisecond

// startWriters starts clients that write at all instances until the given time.
func (sc *scene) startWriters(base, perInstance int, pause time.Duration, until time.Time) *sync.WaitGroup {
	var running sync.WaitGroup
	for i, in := range sc.instances {
		for n := range perInstance {
			c := &client{sc: sc, name: fmt.Sprintf("c%d%d", i+1, n+1), address: fmt.Sprintf("%s:%d", in.ip, base), route: "finish1"}
			running.Add(1)
			go func() {
				defer running.Done()
				c.write(until, pause)
			}()
		}
	}
	return &running
}

// writesAfterPromotion returns the acknowledged writes that were committed at a database
// after another had been promoted and had taken effect.
func (sc *scene) writesAfterPromotion() []string {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	var broken []string
	for id, c := range sc.commits {
		ackedAt, acked := sc.acked[id]
		if !acked {
			continue
		}
		var newest *promotion
		for i := range sc.terms {
			if sc.terms[i].at.Before(c.at) {
				newest = &sc.terms[i]
			}
		}
		if newest != nil && newest.database != c.database && newest.term > c.entry.term {
			broken = append(broken, fmt.Sprintf("write %s was committed as %d.%d at %s, %d ms after %s had taken over in term %d, and was acknowledged at %.3f",
				id, c.entry.term, c.entry.number, c.database, c.at.Sub(newest.at).Milliseconds(), newest.database, newest.term, ackedAt.Sub(sc.began).Seconds()))
		}
	}
	sort.Strings(broken)
	return broken
}

// slowPromotion: the primary crashes, and the platform is down for downFor just after it
// has read the promotion call. It handles the call when it is back, and answers all others with
// 503 meanwhile. The primary comes back with its log while the platform is down.
func slowPromotion(sc *scene, base int, trouble bool, writers int, pause, downFor time.Duration) error {
	// A coordinator lease older than its duration.
	time.Sleep(3 * time.Second)
	running := sc.startWriters(base, writers, pause, time.Now().Add(14*time.Second))
	time.Sleep(2 * time.Second)
	if trouble {
		called, downSince := make(chan struct{}), time.Time{}
		sc.handlePromote = func(call int) (time.Duration, int) {
			if call == 1 {
				downSince = time.Now()
				close(called)
				return downFor, 0
			}
			if time.Since(downSince) < downFor {
				return 0, 503
			}
			return 0, 0
		}
		primary := sc.service.leader
		primary.crash()
		select {
		case <-called:
		case <-time.After(8 * time.Second):
			return fmt.Errorf("no promotion was called")
		}
		time.Sleep(500 * time.Millisecond)
		if err := primary.comeBack("i-db4"); err != nil {
			return err
		}
	}
	running.Wait()
	if len(sc.acked) < 50 {
		return fmt.Errorf("only %d writes were acknowledged", len(sc.acked))
	}
	return nil
}

// lost returns the acknowledged commits that were made before a promotion took effect and are
// not in the log of the database that was promoted.
func (sc *scene) lost() []string {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	var broken []string
	gone := map[string]bool{}
	for i, p := range sc.terms {
		for id, c := range sc.commits {
			ackedAt, acked := sc.acked[id]
			if !acked || gone[id] || sc.logs[i][id] || !c.at.Before(p.at) {
				continue
			}
			gone[id] = true
			broken = append(broken, fmt.Sprintf("write %s, committed as %d.%d at %s and acknowledged at %.3f, is not in the log of %s, which leads term %d from %s since %.3f",
				id, c.entry.term, c.entry.number, c.database, ackedAt.Sub(sc.began).Seconds(), p.database, p.term, p.end, p.at.Sub(sc.began).Seconds()))
		}
	}
	sort.Strings(broken)
	return broken
}

const (
	// rounds is how often the primary crashes in busyPlatform, and roundTime the time from one
	// crash to the next.
	rounds    = 4
	roundTime = 13 * time.Second
	// handlingTime is how long the platform takes for one promotion call.
	handlingTime = 1200 * time.Millisecond
)

// busyPlatform: the primary crashes, four times, while the platform is slow: it takes
// handlingTime for a promotion call and answers any other that arrives meanwhile with 503. The
// crashed database is back after six seconds, as a replica.
func busyPlatform(sc *scene, base int, trouble bool) error {
	time.Sleep(3 * time.Second)
	running := sc.startWriters(base, 2, calmPause, time.Now().Add(rounds*roundTime+2*time.Second))
	time.Sleep(2 * time.Second)
	if trouble {
		var mu sync.Mutex
		var busyUntil time.Time
		sc.handlePromote = func(int) (time.Duration, int) {
			mu.Lock()
			defer mu.Unlock()
			if time.Now().Before(busyUntil) {
				return 0, 503
			}
			busyUntil = time.Now().Add(handlingTime)
			return handlingTime, 0
		}
		for round := range rounds {
			began := time.Now()
			sc.service.mu.Lock()
			primary := sc.service.leader
			sc.service.mu.Unlock()
			primary.crash()
			time.Sleep(6 * time.Second)
			if err := primary.comeBack(fmt.Sprintf("i-db%d", 4+round)); err != nil {
				return err
			}
			time.Sleep(time.Until(began.Add(roundTime)))
		}
	}
	running.Wait()
	if len(sc.acked) < 50 {
		return fmt.Errorf("only %d writes were acknowledged", len(sc.acked))
	}
	return nil
}

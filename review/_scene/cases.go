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
	run  func(sc *scene, base int, trouble bool) ([]string, error)
}

var cases = map[string]played{
	"two-promotions": {lag: 8 * time.Millisecond, run: func(sc *scene, base int, trouble bool) ([]string, error) {
		err := twoPromotions(sc, base, trouble)
		return sc.writesAfterPromotion(), err
	}},
	"returned-primary": {lag: 8 * time.Millisecond, run: func(sc *scene, base int, trouble bool) ([]string, error) {
		err := returnedPrimary(sc, base, trouble, 2, calmPause)
		return sc.writesAfterPromotion(), err
	}},
	"returned-primary-synchronous": {sync: 1, lag: 150 * time.Millisecond, run: func(sc *scene, base int, trouble bool) ([]string, error) {
		err := returnedPrimary(sc, base, trouble, 12, 10*time.Millisecond)
		return sc.lost(), err
	}},
}

// calmPause is a client's pause between two writes.
const calmPause = 40 * time.Millisecond

// sitePause is that with which six clients write about as often as those of the site do in one
// service.
const sitePause = 300 * time.Millisecond

// readers is the number of clients that read at each instance.
const readers = 4

// startWriters starts clients that write at all instances until the given time, and clients that
// read.
func (sc *scene) startWriters(base, perInstance int, pause time.Duration, until time.Time) *sync.WaitGroup {
	var running sync.WaitGroup
	start := func(run func(time.Time, time.Duration)) {
		running.Add(1)
		go func() {
			defer running.Done()
			run(until, pause)
		}()
	}
	for i, in := range sc.instances {
		address := fmt.Sprintf("%s:%d", in.ip, base)
		for n := range perInstance {
			writer := &client{sc: sc, name: fmt.Sprintf("c%d%d", i+1, n+1), address: address, route: "finish1"}
			start(writer.write)
		}
		for n := range readers {
			reader := &client{sc: sc, name: fmt.Sprintf("r%d%d", i+1, n+1), address: address, route: "pull1"}
			start(reader.read)
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

// downTime is how long the platform is down at a time.
const downTime = 300 * time.Millisecond

// returnedPrimary: the primary crashes. The platform carries out the first promotion call and is
// down for downTime before it has answered. The primary comes back with its log 0.3 s after the
// call.
func returnedPrimary(sc *scene, base int, trouble bool, writers int, pause time.Duration) error {
	// A coordinator lease older than its duration.
	time.Sleep(3 * time.Second)
	running := sc.startWriters(base, writers, pause, time.Now().Add(10*time.Second))
	time.Sleep(2 * time.Second)
	if trouble {
		sc.goDown(1)
		primary := sc.service.leader
		primary.crash()
		select {
		case <-sc.called:
		case <-time.After(5 * time.Second):
			return fmt.Errorf("no promotion was called")
		}
		time.Sleep(300 * time.Millisecond)
		if err := primary.comeBack("i-db4"); err != nil {
			return err
		}
	}
	running.Wait()
	return sc.checkServed()
}

const (
	// rounds is how often the primary crashes in twoPromotions, and roundTime the time from one
	// crash to the next.
	rounds    = 11
	roundTime = 9 * time.Second
)

// twoPromotions: the primary crashes, up to eleven times, and is back after four seconds as a
// replica, until the rule is broken. The
// platform goes down twice each time, for downTime, when it has carried out a promotion call and
// before it has answered.
func twoPromotions(sc *scene, base int, trouble bool) error {
	time.Sleep(3 * time.Second)
	running := sc.startWriters(base, 2, sitePause, time.Now().Add(rounds*roundTime+2*time.Second))
	time.Sleep(2 * time.Second)
	for round := 0; trouble && round < rounds && len(sc.writesAfterPromotion()) == 0; round++ {
		began := time.Now()
		sc.service.mu.Lock()
		primary := sc.service.leader
		sc.service.mu.Unlock()
		sc.goDown(2)
		primary.crash()
		time.Sleep(4 * time.Second)
		if err := primary.comeBack(fmt.Sprintf("i-db%d", 4+round)); err != nil {
			return err
		}
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	sc.stopped.Store(trouble)
	running.Wait()
	return sc.checkServed()
}

// goDown has the platform go down with the next promotion calls.
func (sc *scene) goDown(times int) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.downFor, sc.maxDowns = downTime, times
}

// checkServed returns an error if the clients were hardly served.
func (sc *scene) checkServed() error {
	sc.mu.Lock()
	defer sc.mu.Unlock()
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

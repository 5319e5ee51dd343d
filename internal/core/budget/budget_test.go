package budget

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// crowd is a budget with named holders on virtual time.
type crowd struct {
	budget  *Budget
	holders map[string]*Holder
	start   time.Time
}

func newCrowd(limit int64) *crowd {
	return &crowd{budget: New(limit), holders: map[string]*Holder{}, start: time.Unix(1000, 0)}
}

func (c *crowd) at(elapsed time.Duration) time.Time { return c.start.Add(elapsed) }

// open adds a holder, opened after the given time, that has drawn an amount.
func (c *crowd) open(name string, elapsed time.Duration, amount int64) {
	c.holders[name] = c.budget.Open(c.at(elapsed))
	c.budget.Take(c.holders[name], amount)
}

// draw returns the decision about a holder's request, in words.
func (c *crowd) draw(name string, elapsed time.Duration, amount int64) string {
	switch decision := c.budget.Draw(c.holders[name], amount, c.at(elapsed)).(type) {
	case Granted:
		return "granted"
	case Yield:
		for other, h := range c.holders {
			if h == decision.Holder {
				return other + " gives way"
			}
		}
	case Wait:
		return "waits " + decision.For.String()
	}
	return "unknown"
}

func (c *crowd) expect(t *testing.T, want, got string) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A crowd that has stopped half-way gives way to a caller that goes on, the largest first.
func TestStoppedCrowdGivesWay(t *testing.T) {
	c := newCrowd(100)
	c.open("small", 0, 30)
	c.open("large", 0, 60)
	c.open("active", 0, 5)
	for _, name := range []string{"small", "large"} {
		c.budget.SetProgress(c.holders[name], c.at(0), false)
	}
	c.expect(t, "granted", c.draw("active", 0, 5))
	c.expect(t, "waits 1s", c.draw("active", IdleAfter/2, 10))
	c.expect(t, "large gives way", c.draw("active", IdleAfter, 10))
	c.budget.Close(c.holders["large"])
	c.expect(t, "granted", c.draw("active", IdleAfter, 10))
}

// While all make progress, whoever asks waits; after Patience the newest gives way, and not
// a caller that holds nothing.
func TestActiveCrowdWaits(t *testing.T) {
	c := newCrowd(100)
	c.open("old", 0, 50)
	c.open("new", time.Second, 50)
	c.open("ordinary", 2*time.Second, 0)
	c.expect(t, "waits 1s", c.draw("old", 2*time.Second, 1))
	c.expect(t, "waits 500ms", c.draw("old", 4500*time.Millisecond, 1))
	c.expect(t, "new gives way", c.draw("old", 5*time.Second, 1))
	c.expect(t, "new gives way", c.draw("new", 5*time.Second, 1))
	c.budget.Close(c.holders["new"])
	c.expect(t, "granted", c.draw("old", 5*time.Second, 1))
	if diff := cmp.Diff(int64(51), c.budget.Used()); diff != "" {
		t.Error(diff)
	}
}

// While a holder that gives way has not given back yet, no other one gives way for what it
// will give back; one that keeps it for longer than Patience is not waited for.
func TestOneGivesWayAtATime(t *testing.T) {
	c := newCrowd(100)
	for _, name := range []string{"first", "second", "third"} {
		c.open(name, 0, 30)
		c.budget.SetProgress(c.holders[name], c.at(0), true)
	}
	c.budget.SetProgress(c.holders["first"], c.at(0), false)
	c.open("asks", time.Second, 0)
	c.open("also", time.Second, 0)
	c.expect(t, "first gives way", c.draw("asks", time.Second, 20))
	c.budget.SetProgress(c.holders["second"], c.at(0), false)
	c.expect(t, "waits 1s", c.draw("asks", time.Second, 20))
	c.expect(t, "waits 1s", c.draw("also", time.Second, 40))
	c.expect(t, "second gives way", c.draw("also", time.Second, 41))
	c.budget.SetProgress(c.holders["third"], c.at(0), false)
	c.expect(t, "waits 500ms", c.draw("asks", 3500*time.Millisecond, 20))
	c.expect(t, "third gives way", c.draw("asks", time.Second+Patience, 20))
}

// A session inside a transaction does not give way while it is idle, and of equal holders
// the one that has been idle for the longest gives way first.
func TestIdleSessionsGiveWayInOrder(t *testing.T) {
	c := newCrowd(3)
	for i, name := range []string{"transaction", "older", "newer"} {
		c.open(name, 0, 1)
		c.budget.SetProgress(c.holders[name], c.at(time.Duration(i)*time.Second), name == "transaction")
	}
	c.open("next", 5*time.Second, 0)
	c.expect(t, "older gives way", c.draw("next", 5*time.Second, 1))
	c.budget.Close(c.holders["older"])
	c.expect(t, "granted", c.draw("next", 5*time.Second, 1))
	c.budget.SetProgress(c.holders["newer"], time.Time{}, false)
	c.open("last", 6*time.Second, 0)
	c.expect(t, "waits 1s", c.draw("last", 6*time.Second, 1))
}

// Without a limit everything is granted.
func TestNoLimit(t *testing.T) {
	c := newCrowd(0)
	c.open("one", 0, 0)
	c.expect(t, "granted", c.draw("one", 0, 1<<40))
	if c.budget.IsShort() {
		t.Error("a budget without a limit is short")
	}
}

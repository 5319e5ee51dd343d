package relay

import (
	"net/netip"
	"testing"
	"time"
)

// cutTest plays what one instance observes of a primary, in steps of 100 ms.
type cutTest struct {
	t   *testing.T
	cut Cut
	now time.Time
	// silentSince is when the primary ceased to answer this instance, answeredAt when it
	// has last answered.
	silentSince, answeredAt time.Time
	unusable                bool
	unconfirmed             bool
}

// step advances the time, has a peer report an answer of the given age if peers are asked,
// and checks whether statements are relayed.
func (c *cutTest) step(peerAnswerAge time.Duration, wantRelaying bool) {
	c.t.Helper()
	c.now = c.now.Add(100 * time.Millisecond)
	evidence := Evidence{Primary: "db", AnsweredAt: c.answeredAt, IsConfirmed: !c.unconfirmed}
	if c.silentSince.After(c.answeredAt) {
		evidence.UnansweredFor = c.now.Sub(c.silentSince)
	}
	if c.cut.Update(c.now, evidence, func(netip.AddrPort) bool { return !c.unusable }) {
		c.cut.RecordReached("db", newCandidate("i2", "east"), c.now.Add(-peerAnswerAge))
	}
	if got := c.cut.IsRelaying(); got != wantRelaying {
		c.t.Errorf("%v after the silence began: relaying is %v", c.now.Sub(c.silentSince), got)
	}
}

func newCutTest(t *testing.T) *cutTest {
	return &cutTest{t: t, now: start, answeredAt: start.Add(-time.Millisecond), silentSince: start}
}

// A primary that answers a peer but not this instance: statements are relayed from 400 ms
// on, and no more once it answers again.
func TestPartialCut(t *testing.T) {
	c := newCutTest(t)
	for _, want := range []bool{false, false, false, true, true, true} {
		c.step(time.Millisecond, want)
	}
	c.answeredAt = c.now
	c.step(time.Millisecond, false)
	c.step(time.Millisecond, false)
}

// A primary that has failed has answered peers as little as this instance since.
func TestFailedPrimaryIsNotRelayed(t *testing.T) {
	c := newCutTest(t)
	for range 30 {
		c.step(c.now.Add(100*time.Millisecond).Sub(c.silentSince)-evidenceMargin+1, false)
	}
}

// An instance that can't confirm a primary could not use the answers.
func TestUnconfirmedPrimaryIsNotRelayed(t *testing.T) {
	c := newCutTest(t)
	c.unconfirmed = true
	for range 8 {
		c.step(time.Millisecond, false)
	}
	c.unconfirmed = false
	c.step(time.Millisecond, true)
}

// Relays that have all failed are not used until one may be tried again.
func TestCutWithoutUsableRelay(t *testing.T) {
	c := newCutTest(t)
	for _, want := range []bool{false, false, false, true} {
		c.step(time.Millisecond, want)
	}
	c.unusable = true
	c.step(time.Millisecond, false)
	c.unusable = false
	c.step(time.Millisecond, true)
}

// The evidence about one primary says nothing about the next.
func TestNewPrimaryEndsRelaying(t *testing.T) {
	c := newCutTest(t)
	for _, want := range []bool{false, false, false, true} {
		c.step(time.Millisecond, want)
	}
	isUsable := func(netip.AddrPort) bool { return true }
	c.cut.Update(c.now, Evidence{Primary: "db2", UnansweredFor: time.Second, AnsweredAt: c.answeredAt, IsConfirmed: true}, isUsable)
	if c.cut.IsRelaying() || len(c.cut.Relays()) > 0 {
		t.Errorf("relaying for %s through %v", c.cut.Primary(), c.cut.Relays())
	}
}

// Peers are asked often at first and seldom later, however long the silence lasts.
func TestAsksBecomeRare(t *testing.T) {
	c := newCutTest(t)
	asks := 0
	for range 300 {
		c.now = c.now.Add(100 * time.Millisecond)
		if c.cut.Update(c.now, Evidence{Primary: "db", UnansweredFor: c.now.Sub(start)}, func(netip.AddrPort) bool { return true }) {
			asks++
		}
	}
	if asks < quickAsks || asks > quickAsks+30 {
		t.Errorf("peers were asked %d times in 30 s", asks)
	}
}

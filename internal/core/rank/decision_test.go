package rank

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

var update = flag.Bool("update", false, "write the golden files")

// TestDecisions runs the scripts of testdata on virtual time and compares what
// was decided with the golden files. A script has one call a line:
//
//	at 20ms                          sets the time
//	start i j                        starts instances that know each other
//	peers i j                        tells i that it and j are alive
//	i offer 7 rank=1 deadline=500ms  offers work; also caller=, kind=, times=
//	i grant a b                      grants with these candidates
//	i finish 7 took=20ms             ends work well; fail ends it badly
//	i requeue 7                      puts failed work back
//	i expired, i retry, i connections, i withdraw 7, i notes
//	pass                             delivers what the instances sent
//	drop                             loses it
func TestDecisions(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.script")
	if err != nil || len(scripts) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, script := range scripts {
		t.Run(filepath.Base(script), func(t *testing.T) {
			lines, err := os.ReadFile(script)
			if err != nil {
				t.Fatal(err)
			}
			got := (&scriptRun{t: t, now: start, instances: map[string]*Scheduler{}, databases: map[string][]model.DatabaseID{}}).run(string(lines))
			golden := strings.TrimSuffix(script, ".script") + ".golden"
			if *update {
				if err := os.WriteFile(golden, []byte(got), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// scriptRun is the state of a script.
type scriptRun struct {
	t         *testing.T
	now       time.Time
	instances map[string]*Scheduler
	outbox    []envelope
	// databases are the candidates last named for each instance.
	databases map[string][]model.DatabaseID
}

type envelope struct {
	from string
	sent message.SendPeer
}

func (p *scriptRun) run(script string) string {
	var out strings.Builder
	for _, text := range strings.Split(strings.TrimSpace(script), "\n") {
		words := strings.Fields(text)
		if len(words) == 0 || words[0] == "#" {
			fmt.Fprintln(&out, text)
			continue
		}
		fmt.Fprintf(&out, "%-44s %s\n", text, p.line(words))
	}
	return out.String()
}

// line runs one line and returns what came of it.
func (p *scriptRun) line(words []string) string {
	switch words[0] {
	case "at":
		p.now = after(p.span(words[1]))
	case "start":
		for _, name := range words[1:] {
			p.instances[name] = NewScheduler(model.InstanceID(name))
			p.instances[name].Configure(p.now, testManifest())
		}
		for _, name := range words[1:] {
			p.instances[name].SetPeers(p.now, ids(words[1:]))
		}
	case "peers":
		p.instances[words[1]].SetPeers(p.now, ids(words[1:]))
	case "pass":
		return p.pass()
	case "drop":
		p.outbox = nil
	default:
		return p.call(p.instances[words[0]], words)
	}
	return ""
}

func ids(names []string) []model.InstanceID {
	var all []model.InstanceID
	for _, name := range names {
		all = append(all, model.InstanceID(name))
	}
	return all
}

func (p *scriptRun) span(text string) time.Duration {
	span, err := time.ParseDuration(text)
	if err != nil {
		p.t.Fatal(err)
	}
	return span
}

// pass delivers messages until nobody has more to say.
func (p *scriptRun) pass() string {
	var out []string
	for len(p.outbox) > 0 {
		outbox := p.outbox
		p.outbox = nil
		for _, s := range outbox {
			out = append(out, fmt.Sprintf("%s>%s %s", s.from, s.sent.To, strings.TrimPrefix(fmt.Sprintf("%T", s.sent.Body), "message.")))
			to := string(s.sent.To)
			p.instances[to].HandlePeerMessage(p.now, model.InstanceID(s.from), s.sent.Body)
			out = append(out, p.grant(to)...)
		}
	}
	return strings.Join(out, ", ")
}

// grant lets an instance grant and speak.
func (p *scriptRun) grant(name string) []string {
	var out []string
	for _, grant := range p.instances[name].AssignSlots(p.now, on(p.databases[name]...)) {
		out = append(out, fmt.Sprintf("%s runs %d on %s", name, grant.Request, grant.Database))
	}
	p.gather(name)
	return out
}

func (p *scriptRun) gather(name string) {
	for _, sent := range p.instances[name].TakeMessages(p.now) {
		p.outbox = append(p.outbox, envelope{from: name, sent: sent})
	}
}

// call runs one call of an instance.
func (p *scriptRun) call(s *Scheduler, words []string) string {
	switch words[1] {
	case "offer":
		return p.offer(s, words)
	case "grant":
		var databases []model.DatabaseID
		for _, name := range words[2:] {
			databases = append(databases, model.DatabaseID(name))
		}
		p.databases[words[0]] = databases
		return strings.Join(p.grant(words[0]), ", ")
	case "finish":
		ending := SlotCompletion{Elapsed: 10 * ms}
		if len(words) > 3 {
			ending.Elapsed = p.span(strings.TrimPrefix(words[3], "took="))
		}
		s.Finish(p.now, p.id(words[2]), ending)
	case "fail":
		s.Finish(p.now, p.id(words[2]), SlotCompletion{Failed: true})
	case "requeue":
		s.Requeue(p.now, p.id(words[2]), SlotCompletion{Failed: true})
	case "withdraw":
		return fmt.Sprint(s.Cancel(p.id(words[2])))
	case "expired":
		return fmt.Sprint(s.TakeExpired(p.now))
	case "retry":
		return fmt.Sprint(s.TakeRetry(p.now, "g"))
	case "connections":
		return strconv.Itoa(s.Connections("a"))
	case "notes":
		var out []string
		for _, note := range s.TakeLogEvents() {
			out = append(out, note.Event.Name)
		}
		slices.Sort(out)
		return strings.Join(slices.Compact(out), ", ")
	default:
		p.t.Fatalf("no call %q", words[1])
	}
	return ""
}

func (p *scriptRun) id(text string) model.RequestID {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		p.t.Fatal(err)
	}
	return model.RequestID(id)
}

// offer offers one work, or several of following numbers.
func (p *scriptRun) offer(s *Scheduler, words []string) string {
	w := work(p.id(words[2]), 0, time.Second)
	w.Arrived, w.Deadline = p.now, p.now.Add(time.Second)
	times := 1
	for _, word := range words[3:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "rank":
			w = work(w.Request, model.Rank(p.id(value)), 0)
			w.Arrived, w.Deadline = p.now, p.now.Add(time.Second)
		case "deadline":
			w.Deadline = p.now.Add(p.span(value))
		case "caller":
			w.Caller = model.CallerID(value)
		case "kind":
			w.Kind = value
		case "times":
			times = int(p.id(value))
		}
	}
	taken, why := 0, ""
	for range times {
		refusal, ok := s.Enqueue(p.now, w)
		if ok {
			taken++
		} else {
			why = fmt.Sprintf(", then %s: %s, again in %s", refusal.Reason, refusal.Detail, refusal.RetryAfter)
		}
		w.Request++
	}
	return fmt.Sprintf("%d taken in%s", taken, why)
}

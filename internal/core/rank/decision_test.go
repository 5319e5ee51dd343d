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

// TestDecisions runs the scripts of testdata on virtual time and compares the
// decisions of the instances with the golden files. A script has one call a line:
//
//	at 20ms                          sets the time
//	start i j                        starts instances with each other as live peers
//	peers i j                        sets i and j as the live instances of i
//	i offer 7 rank=1 deadline=500ms  enqueues a request; also caller=, kind=, times=
//	i grant a b                      assigns slots with these candidates
//	i finish 7 took=20ms             finishes a request; fail finishes it as failed
//	i requeue 7                      puts a failed request back into the queue
//	i expired                        takes the expired requests
//	i retry                          takes a retry from the budget
//	i connections                    asks for the limit of connections
//	i withdraw 7                     cancels a waiting request
//	i notes                          takes the log events
//	pass                             delivers the messages of the instances
//	drop                             drops these messages
//
// Lines that start with # are comments.
func TestDecisions(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.script")
	if err != nil || len(scripts) == 0 {
		t.Fatal("no scripts in testdata", err)
	}
	for _, script := range scripts {
		t.Run(filepath.Base(script), func(t *testing.T) {
			lines, err := os.ReadFile(script)
			if err != nil {
				t.Fatal(err)
			}
			got := (&scriptRun{
				t: t, now: start, instances: map[string]*Scheduler{},
				candidates: map[string][]model.DatabaseID{},
			}).run(string(lines))
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

// scriptRun is the state of a running script.
type scriptRun struct {
	t         *testing.T
	now       time.Time
	instances map[string]*Scheduler
	outbox    []envelope
	// candidates holds the candidates last named for each instance.
	candidates map[string][]model.DatabaseID
}

type envelope struct {
	from     string
	outgoing message.SendPeer
}

func (r *scriptRun) run(script string) string {
	var out strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(script), "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			fmt.Fprintln(&out, line)
			continue
		}
		fmt.Fprintf(&out, "%-44s %s\n", line, r.runLine(words))
	}
	return out.String()
}

// runLine runs one line and returns its result.
func (r *scriptRun) runLine(words []string) string {
	switch words[0] {
	case "at":
		r.now = after(r.duration(words[1]))
	case "start":
		for _, name := range words[1:] {
			r.instances[name] = NewScheduler(model.InstanceID(name))
			r.instances[name].Configure(r.now, testManifest())
		}
		for _, name := range words[1:] {
			r.instances[name].SetPeers(r.now, instanceIDs(words[1:]))
		}
	case "peers":
		r.instances[words[1]].SetPeers(r.now, instanceIDs(words[1:]))
	case "pass":
		return r.deliverMessages()
	case "drop":
		r.outbox = nil
	default:
		return r.call(r.instances[words[0]], words)
	}
	return ""
}

func instanceIDs(names []string) []model.InstanceID {
	var instances []model.InstanceID
	for _, name := range names {
		instances = append(instances, model.InstanceID(name))
	}
	return instances
}

func (r *scriptRun) duration(text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil {
		r.t.Fatal(err)
	}
	return duration
}

// deliverMessages delivers messages until the instances send no more.
func (r *scriptRun) deliverMessages() string {
	var out []string
	for len(r.outbox) > 0 {
		outbox := r.outbox
		r.outbox = nil
		for _, envelope := range outbox {
			out = append(out, fmt.Sprintf("%s>%s %s", envelope.from, envelope.outgoing.To,
				strings.TrimPrefix(fmt.Sprintf("%T", envelope.outgoing.Body), "message.")))
			to := string(envelope.outgoing.To)
			r.instances[to].HandlePeerMessage(r.now, model.InstanceID(envelope.from), envelope.outgoing.Body)
			out = append(out, r.grant(to)...)
		}
	}
	return strings.Join(out, ", ")
}

// grant assigns slots on one instance and collects the messages that it sends.
func (r *scriptRun) grant(name string) []string {
	var out []string
	for _, grant := range r.instances[name].AssignSlots(r.now, candidatesOf(r.candidates[name]...)) {
		out = append(out, fmt.Sprintf("%s runs %d on %s", name, grant.Request, grant.Database))
	}
	r.collectMessages(name)
	return out
}

func (r *scriptRun) collectMessages(name string) {
	for _, outgoing := range r.instances[name].TakeMessages(r.now) {
		r.outbox = append(r.outbox, envelope{from: name, outgoing: outgoing})
	}
}

// call runs one call of an instance and returns its result.
func (r *scriptRun) call(s *Scheduler, words []string) string {
	switch words[1] {
	case "offer":
		return r.enqueue(s, words)
	case "grant":
		var candidates []model.DatabaseID
		for _, name := range words[2:] {
			candidates = append(candidates, model.DatabaseID(name))
		}
		r.candidates[words[0]] = candidates
		return strings.Join(r.grant(words[0]), ", ")
	case "finish":
		completion := SlotCompletion{Elapsed: 10 * ms}
		if len(words) > 3 {
			completion.Elapsed = r.duration(strings.TrimPrefix(words[3], "took="))
		}
		s.Finish(r.now, r.requestID(words[2]), completion)
	case "fail":
		s.Finish(r.now, r.requestID(words[2]), SlotCompletion{Failed: true})
	case "requeue":
		s.Requeue(r.now, r.requestID(words[2]), SlotCompletion{Failed: true})
	case "withdraw":
		return fmt.Sprint(s.Cancel(r.requestID(words[2])))
	case "expired":
		return fmt.Sprint(s.TakeExpired(r.now))
	case "retry":
		return fmt.Sprint(s.TakeRetry(r.now, "g"))
	case "connections":
		return strconv.Itoa(s.Connections("a"))
	case "notes":
		var out []string
		for _, logged := range s.TakeLogEvents() {
			out = append(out, logged.Event.Name)
		}
		slices.Sort(out)
		return strings.Join(slices.Compact(out), ", ")
	default:
		r.t.Fatalf("unknown call %q", words[1])
	}
	return ""
}

func (r *scriptRun) requestID(text string) model.RequestID {
	requestID, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		r.t.Fatal(err)
	}
	return model.RequestID(requestID)
}

// enqueue enqueues one request, or several with consecutive IDs.
func (r *scriptRun) enqueue(s *Scheduler, words []string) string {
	request := work(r.requestID(words[2]), 0, time.Second)
	request.Arrived, request.Deadline = r.now, r.now.Add(time.Second)
	count := 1
	for _, word := range words[3:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "rank":
			request = work(request.Request, model.Rank(r.requestID(value)), 0)
			request.Arrived, request.Deadline = r.now, r.now.Add(time.Second)
		case "deadline":
			request.Deadline = r.now.Add(r.duration(value))
		case "caller":
			request.Caller = model.CallerID(value)
		case "kind":
			request.Kind = value
		case "times":
			count = int(r.requestID(value))
		}
	}
	admitted, rejection := 0, ""
	for range count {
		refusal, ok := s.Enqueue(r.now, request)
		if ok {
			admitted++
		} else {
			rejection = fmt.Sprintf(", then %s: %s, again in %s", refusal.Reason, refusal.Detail, refusal.RetryAfter)
		}
		request.Request++
	}
	return fmt.Sprintf("%d taken in%s", admitted, rejection)
}

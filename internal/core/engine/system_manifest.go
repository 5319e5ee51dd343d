package engine

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// manifestRow is the body of the manifest's row: which object is current.
type manifestRow struct {
	Number uint64           `json:"number"`
	Digest string           `json:"digest"`
	Nonce  model.Nonce      `json:"nonce"`
	Who    string           `json:"who"`
	At     time.Time        `json:"at"`
	By     model.InstanceID `json:"by"`
}

// manifestState is the manifest in force and what is under way to a newer one.
type manifestState struct {
	number  uint64
	digest  string
	body    []byte
	current *manifest.Manifest
	// rowAsk and objectAsk are the questions on their way; wanted is the row
	// whose object is being read.
	rowAsk    uint64
	objectAsk uint64
	wanted    manifestRow
	nextRead  time.Time
	submits   []*submission
}

// kind returns the kind of work of that name. No name means the default.
func (s *manifestState) kind(name string) (manifest.Kind, bool) {
	if name == "" {
		name = defaultKind
	}
	if s.current == nil {
		return manifest.Kind{}, false
	}
	for _, kind := range s.current.Kinds {
		if kind.Name == name {
			return kind, true
		}
	}
	if name == defaultKind {
		return manifest.Kind{Name: name, Rank: model.Rank(len(s.current.Ranks) / 2), Deadline: defaultDeadline}, true
	}
	return manifest.Kind{}, false
}

// target returns the time within which a rank's answers are worth their full
// value.
func (s *manifestState) target(rank model.Rank) time.Duration {
	if s.current == nil || int(rank) >= len(s.current.Ranks) {
		return defaultDeadline
	}
	return s.current.Ranks[rank].Target
}

// defaultDeadline is the deadline of work that names no kind.
const defaultDeadline = 10 * time.Second

// -----------------------------------------------------------------------------
// The manifest in force.

// runManifest looks for a newer manifest at the platform now and then.
func (e *Engine) runManifest() {
	s := &e.declared
	e.runSubmits()
	if s.rowAsk != 0 || s.objectAsk != 0 || e.now.Before(s.nextRead) {
		return
	}
	interval := manifestInterval
	if s.current == nil {
		interval = manifestFirst
	}
	s.nextRead = e.now.Add(e.jitter(interval))
	s.rowAsk = e.ask()
	e.do(message.ReadRow{Ask: s.rowAsk, Table: manifestTable, Key: manifestKey, Timeout: platformTimeout})
}

// takeManifestRow reads the object of a newer row.
func (e *Engine) takeManifestRow(read message.RowsRead) {
	s := &e.declared
	s.rowAsk = 0
	if read.Err != message.PlatformOK || len(read.Rows) == 0 {
		return
	}
	row := decodeManifestRow(read.Rows[0].Body)
	if row.Number <= s.number {
		return
	}
	e.readManifestObject(row)
}

// readManifestObject asks for the body of an accepted manifest.
func (e *Engine) readManifestObject(row manifestRow) {
	s := &e.declared
	s.wanted = row
	s.objectAsk = e.ask()
	e.do(message.ReadObject{Ask: s.objectAsk, Name: row.Digest, Timeout: platformTimeout})
}

// takeManifestObject adopts the body that was asked for.
func (e *Engine) takeManifestObject(read message.ObjectRead) {
	s := &e.declared
	s.objectAsk = 0
	if read.Err != message.PlatformOK {
		s.nextRead = e.now.Add(e.jitter(manifestFirst))
		return
	}
	e.adopt(s.wanted.Number, s.wanted.Digest, read.Body, "platform")
}

// takeOffer adopts a manifest that a peer passes on.
func (e *Engine) takeOffer(from model.InstanceID, offer message.ManifestOffer) {
	e.adopt(offer.Number, offer.Digest, offer.Body, "peer "+string(from))
}

// offerManifest passes the manifest in force on to a peer that has an older one.
func (e *Engine) offerManifest(to model.InstanceID, above uint64) {
	s := &e.declared
	if s.current == nil || s.number <= above {
		return
	}
	e.do(message.SendPeer{To: to, Body: message.ManifestOffer{Number: s.number, Digest: s.digest, Body: s.body}})
}

// adopt puts a manifest in force, if it is newer than the one that is.
func (e *Engine) adopt(number uint64, digest string, body []byte, source string) {
	s := &e.declared
	if number <= s.number {
		return
	}
	if manifest.Digest(body) != digest {
		e.note(event.ManifestRejected,
			event.F("number", number), event.F("source", source), event.F("why", "the body does not match the digest"))
		return
	}
	parsed, err := manifest.Parse(body)
	if err != nil {
		e.note(event.ManifestRejected,
			event.F("number", number), event.F("source", source), event.F("why", err.Error()))
		return
	}
	s.number, s.digest, s.body, s.current = number, digest, body, parsed
	e.note(event.ManifestInForce,
		event.F("number", number), event.F("digest", digest), event.F("source", source))
	e.configure(parsed)
	for _, entry := range e.instances.sorted() {
		if entry.alive && entry.manifest < number {
			e.offerManifest(entry.id, entry.manifest)
		}
	}
}

// configure brings the tables in line with a manifest. What is known of a
// database stays where its address does.
func (e *Engine) configure(m *manifest.Manifest) {
	groups, databases := e.byGroup, e.databases
	e.byGroup = map[model.GroupID]*group{}
	e.databases = map[model.DatabaseID]*database{}
	e.groups = e.groups[:0]
	for _, declared := range m.Groups {
		g, found := groups[declared.Name]
		if !found {
			g = newGroup(declared.Name)
		}
		e.configureGroup(g, declared, databases)
	}
	for _, s := range e.sessions {
		s.group = e.byGroup[s.name]
	}
	e.scheduler.Configure(e.now, m)
	e.publishDatabases()
}

// configureGroup brings one group in line.
func (e *Engine) configureGroup(g *group, declared manifest.Group, before map[model.DatabaseID]*database) {
	e.groups = append(e.groups, g)
	e.byGroup[g.name] = g
	g.databases = nil
	for _, member := range declared.Databases {
		d, found := before[member.Name]
		if !found || d.group != g || d.declared.Address != member.Address {
			d = &database{name: member.Name, group: g}
		}
		if member.Leaving && !d.isLeaving() {
			e.noteLeaving(d, "manifest")
		}
		d.declared = member
		e.databases[d.name] = d
		g.databases = append(g.databases, d)
	}
	if g.primary != nil && e.databases[g.primary.name] != g.primary {
		g.primary = nil
	}
}

// connectionShare returns the number of connections that this instance may open
// to each database.
func (e *Engine) connectionShare() int {
	limits := e.declared.current.Limits
	sharers := len(e.instances.alive()) + 1
	return max(1, (limits.Connections-limits.Reserve)/sharers)
}

// publishDatabases tells the edges which databases exist.
func (e *Engine) publishDatabases() {
	var targets []message.DatabaseTarget
	for _, g := range e.groups {
		for _, d := range g.databases {
			targets = append(targets, message.DatabaseTarget{
				Database: d.name, Group: g.name, Address: d.declared.Address,
				Connections: e.connectionShare(), Leaving: d.isLeaving(),
			})
		}
	}
	e.do(message.SetDatabases{Databases: targets})
}

// -----------------------------------------------------------------------------
// Submission.

// submitStep tells how far a submission has come.
type submitStep int

const (
	submitStore submitStep = iota
	submitRead
	submitWrite
	submitVerify
)

// submission is a manifest on its way to being accepted.
type submission struct {
	ask     uint64
	body    []byte
	digest  string
	want    uint64
	who     string
	step    submitStep
	sent    uint64
	row     manifestRow
	started time.Time
	next    time.Time
	// risked says that a write whose answer was lost may have taken effect.
	risked bool
}

// takeSubmission checks a submitted manifest whole and begins to store it.
func (e *Engine) takeSubmission(submitted message.ManifestSubmitted) {
	sub := &submission{
		ask: submitted.Ask, body: submitted.Body, want: submitted.Expected, who: submitted.Who,
		digest: manifest.Digest(submitted.Body), started: e.now,
	}
	if _, err := manifest.Parse(submitted.Body); err != nil {
		e.decide(sub, message.SubmitInvalid, 0, err.Error())
		return
	}
	sub.row = manifestRow{
		Number: submitted.Expected + 1, Digest: sub.digest, Nonce: e.nonce(),
		Who: submitted.Who, At: e.now, By: e.options.Instance,
	}
	e.declared.submits = append(e.declared.submits, sub)
}

// runSubmits sends the next question of each submission.
func (e *Engine) runSubmits() {
	for _, sub := range append([]*submission(nil), e.declared.submits...) {
		if e.now.Sub(sub.started) > submitLimit {
			e.giveUpSubmit(sub)
			continue
		}
		if sub.sent == 0 && !e.now.Before(sub.next) {
			e.sendSubmit(sub)
		}
	}
}

// giveUpSubmit ends a submission that the platform does not let settle.
func (e *Engine) giveUpSubmit(sub *submission) {
	if sub.risked || sub.step == submitWrite && sub.sent != 0 {
		e.decide(sub, message.SubmitUnknown, 0, "the platform's answer was lost; read the manifest's number before submitting again")
		return
	}
	e.decide(sub, message.SubmitUnavailable, 0, "the platform does not answer; nothing changed")
}

// sendSubmit sends the question of the submission's step.
func (e *Engine) sendSubmit(sub *submission) {
	sub.sent = e.ask()
	switch sub.step {
	case submitStore:
		e.do(message.WriteObject{Ask: sub.sent, Name: sub.digest, Body: sub.body, Timeout: platformTimeout})
	case submitRead, submitVerify:
		e.do(message.ReadRow{Ask: sub.sent, Table: manifestTable, Key: manifestKey, Timeout: platformTimeout})
	case submitWrite:
	}
}

// submitOf returns the submission that waits for the answer to a question.
func (e *Engine) submitOf(ask uint64) (*submission, bool) {
	for _, sub := range e.declared.submits {
		if sub.sent == ask {
			return sub, true
		}
	}
	return nil, false
}

// again repeats the submission's step after a pause.
func (sub *submission) again(now time.Time, pause time.Duration) {
	sub.sent = 0
	sub.next = now.Add(pause)
}

// takeStored goes on once the body is stored. Storing it twice is harmless.
func (e *Engine) takeStored(sub *submission, written message.ObjectWritten) {
	sub.again(e.now, 0)
	if written.Err != message.PlatformOK {
		sub.next = e.now.Add(e.jitter(retryPause))
		return
	}
	sub.step = submitRead
	e.sendSubmit(sub)
}

// takeSubmitRow compares the row with what was reviewed and writes it, or, after
// a lost answer, finds this submission's nonce in it.
func (e *Engine) takeSubmitRow(sub *submission, read message.RowsRead) {
	if read.Err != message.PlatformOK && read.Err != message.PlatformMissing {
		sub.again(e.now, e.jitter(retryPause))
		return
	}
	var row manifestRow
	version := ""
	if len(read.Rows) > 0 {
		row = decodeManifestRow(read.Rows[0].Body)
		version = read.Rows[0].Version
	}
	if row.Nonce == sub.row.Nonce {
		e.accept(sub)
		return
	}
	if row.Number != sub.want {
		e.conflict(sub, row.Number)
		return
	}
	sub.step = submitWrite
	sub.sent = e.ask()
	e.do(message.WriteRows{
		Ask:     sub.sent,
		Rows:    []message.Row{{Table: manifestTable, Key: manifestKey, Version: version, Body: encode(sub.row)}},
		Timeout: platformTimeout,
	})
}

// conflict ends a submission that was reviewed against another manifest. Where
// an earlier write of it was lost, it may have been accepted and replaced since.
func (e *Engine) conflict(sub *submission, number uint64) {
	if sub.risked && number > sub.row.Number {
		e.decide(sub, message.SubmitUnknown, number,
			fmt.Sprintf("the platform's answer was lost, and manifest %d is accepted since", number))
		return
	}
	e.decide(sub, message.SubmitConflict, number,
		fmt.Sprintf("reviewed against manifest %d, but manifest %d is accepted", sub.want, number))
}

// takeSubmitWrite ends a submission, or looks what became of it.
func (e *Engine) takeSubmitWrite(sub *submission, written message.RowsWritten) {
	switch written.Err {
	case message.PlatformOK:
		e.accept(sub)
	case message.PlatformUnknown:
		sub.risked = true
		sub.step = submitVerify
		sub.again(e.now, 0)
	case message.PlatformConflict:
		sub.step = submitVerify
		sub.again(e.now, 0)
	case message.PlatformUnsent, message.PlatformRefused, message.PlatformMissing:
		sub.step = submitRead
		sub.again(e.now, e.jitter(retryPause))
	}
}

// accept ends a submission that the platform holds, and puts it in force here.
func (e *Engine) accept(sub *submission) {
	e.note(event.ManifestAccepted,
		event.F("number", sub.row.Number), event.F("digest", sub.digest), event.F("who", sub.who))
	e.decide(sub, message.SubmitOK, sub.row.Number, "")
	e.adopt(sub.row.Number, sub.digest, sub.body, "submission")
}

// decide answers the submitter.
func (e *Engine) decide(sub *submission, err message.SubmitErr, number uint64, detail string) {
	if err != message.SubmitOK {
		e.note(event.ManifestDeclined,
			event.F("expected", sub.want), event.F("number", number), event.F("why", err.String()), event.F("detail", detail))
	}
	kept := e.declared.submits[:0]
	for _, other := range e.declared.submits {
		if other != sub {
			kept = append(kept, other)
		}
	}
	e.declared.submits = kept
	e.do(message.ManifestDecided{Ask: sub.ask, Number: number, Err: err, Detail: detail})
}

// decodeManifestRow reads a row's body; one that can't be read counts as none.
func decodeManifestRow(body []byte) manifestRow {
	var row manifestRow
	if json.Unmarshal(body, &row) != nil {
		return manifestRow{}
	}
	return row
}

// decodeGroupRow reads a row's body; one that can't be read counts as none.
func decodeGroupRow(body []byte) groupRow {
	var row groupRow
	if json.Unmarshal(body, &row) != nil {
		return groupRow{}
	}
	return row
}

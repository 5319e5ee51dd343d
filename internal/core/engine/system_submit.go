package engine

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

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
		ask: submitted.CorrelationID, body: submitted.Body, want: submitted.ExpectedNumber, who: submitted.Submitter,
		digest: manifest.Digest(submitted.Body), started: e.now,
	}
	if _, err := manifest.Parse(submitted.Body); err != nil {
		e.decide(sub, message.SubmitInvalid, 0, err.Error())
		return
	}
	sub.row = manifestRow{
		Number: submitted.ExpectedNumber + 1, Digest: sub.digest, Nonce: e.nonce(),
		Who: submitted.Submitter, At: e.now, By: e.options.Instance,
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
		e.do(message.WriteObject{CorrelationID: sub.sent, Name: sub.digest, Body: sub.body, Timeout: platformTimeout})
	case submitRead, submitVerify:
		e.do(message.ReadRow{CorrelationID: sub.sent, Table: manifestTable, Key: manifestKey, Timeout: platformTimeout})
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
	if read.Err != message.PlatformOK && read.Err != message.PlatformNotFound {
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
		CorrelationID: sub.sent,
		Rows:          []message.Row{{Table: manifestTable, Key: manifestKey, Version: version, Body: encode(sub.row)}},
		Timeout:       platformTimeout,
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
	case message.PlatformUnreachable, message.PlatformRefused, message.PlatformNotFound:
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
	e.do(message.ManifestDecided{CorrelationID: sub.ask, Number: number, Err: err, Detail: detail})
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

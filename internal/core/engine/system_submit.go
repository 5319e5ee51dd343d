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

// -----------------------------------------------------------------------------
// Submission.

// submitStep is the step of a submission.
type submitStep int

const (
	submitStoreObject submitStep = iota
	submitReadRow
	submitWriteRow
	submitVerifyRow
)

// submission is a manifest that is being submitted to the platform.
type submission struct {
	correlationID  uint64
	body           []byte
	digest         string
	expectedNumber uint64
	submitter      string
	step           submitStep
	pendingID      uint64
	row            manifestRow
	startedAt      time.Time
	nextAttempt    time.Time
	// writeUncertain reports that a write whose response was lost may have taken
	// effect.
	writeUncertain bool
}

// handleSubmission validates a submitted manifest as a whole and starts to store
// it.
func (e *Engine) handleSubmission(submitted message.ManifestSubmitted) {
	sub := &submission{
		correlationID: submitted.CorrelationID, body: submitted.Body, expectedNumber: submitted.ExpectedNumber, submitter: submitted.Submitter,
		digest: manifest.Digest(submitted.Body), startedAt: e.now,
	}
	if _, err := manifest.Parse(submitted.Body); err != nil {
		e.finishSubmission(sub, message.SubmitInvalid, 0, err.Error())
		return
	}
	sub.row = manifestRow{
		Number: submitted.ExpectedNumber + 1, Digest: sub.digest, Nonce: e.newNonce(),
		SubmittedBy: submitted.Submitter, SubmittedAt: e.now, WrittenBy: e.options.Instance,
	}
	e.manifests.submissions = append(e.manifests.submissions, sub)
}

// runSubmissions sends the next request of each submission.
func (e *Engine) runSubmissions() {
	for _, sub := range append([]*submission(nil), e.manifests.submissions...) {
		if e.now.Sub(sub.startedAt) > submissionTimeout {
			e.expireSubmission(sub)
			continue
		}
		if sub.pendingID == 0 && !e.now.Before(sub.nextAttempt) {
			e.sendSubmissionRequest(sub)
		}
	}
}

// expireSubmission ends a submission that has not succeeded within
// submissionTimeout.
func (e *Engine) expireSubmission(sub *submission) {
	if sub.writeUncertain || sub.step == submitWriteRow && sub.pendingID != 0 {
		e.finishSubmission(sub, message.SubmitUnknown, 0, "the platform's answer was lost; read the manifest's number before submitting again")
		return
	}
	e.finishSubmission(sub, message.SubmitUnavailable, 0, "the platform does not answer; nothing changed")
}

// sendSubmissionRequest sends the request of the submission's step.
func (e *Engine) sendSubmissionRequest(sub *submission) {
	sub.pendingID = e.correlationID()
	switch sub.step {
	case submitStoreObject:
		e.emit(message.WriteObject{CorrelationID: sub.pendingID, Name: sub.digest, Body: sub.body, Timeout: platformTimeout})
	case submitReadRow, submitVerifyRow:
		e.emit(message.ReadRow{CorrelationID: sub.pendingID, Table: manifestTable, Key: manifestKey, Timeout: platformTimeout})
	case submitWriteRow:
	}
}

// submissionByID returns the submission that waits for the response with this
// correlation ID.
func (e *Engine) submissionByID(correlationID uint64) (*submission, bool) {
	for _, sub := range e.manifests.submissions {
		if sub.pendingID == correlationID {
			return sub, true
		}
	}
	return nil, false
}

// retryAfter retries the submission's step after a delay.
func (sub *submission) retryAfter(now time.Time, delay time.Duration) {
	sub.pendingID = 0
	sub.nextAttempt = now.Add(delay)
}

// handleObjectStored continues once the body is stored. Storing it twice is
// harmless.
func (e *Engine) handleObjectStored(sub *submission, written message.ObjectWritten) {
	sub.retryAfter(e.now, 0)
	if written.Result != message.PlatformOK {
		sub.nextAttempt = e.now.Add(e.jitter(retryPause))
		return
	}
	sub.step = submitReadRow
	e.sendSubmissionRequest(sub)
}

// handleSubmissionRow compares the row with the manifest that the submission was
// reviewed against and writes the new row. After a lost response it checks whether
// the row holds this submission's nonce.
func (e *Engine) handleSubmissionRow(sub *submission, read message.RowsRead) {
	if read.Result != message.PlatformOK && read.Result != message.PlatformNotFound {
		sub.retryAfter(e.now, e.jitter(retryPause))
		return
	}
	var row manifestRow
	version := ""
	if len(read.Rows) > 0 {
		var err error
		if row, err = decodeManifestRow(read.Rows[0].Body); err != nil {
			// The submission replaces the row, if it was reviewed against the manifest in
			// force.
			e.logRejected(read.Rows[0], err)
			row.Number = e.manifests.number
		}
		version = read.Rows[0].Version
	}
	if row.Nonce == sub.row.Nonce {
		e.acceptSubmission(sub)
		return
	}
	if row.Number != sub.expectedNumber {
		e.rejectConflict(sub, row.Number)
		return
	}
	sub.step = submitWriteRow
	sub.pendingID = e.correlationID()
	e.emit(message.WriteRows{
		CorrelationID: sub.pendingID,
		Rows:          []message.Row{{Table: manifestTable, Key: manifestKey, Version: version, Body: encode(sub.row)}},
		Timeout:       platformTimeout,
	})
}

// rejectConflict ends a submission that was reviewed against another manifest than
// the accepted one. If the response to an earlier write of the submission was lost,
// it may have been accepted and replaced since.
func (e *Engine) rejectConflict(sub *submission, number uint64) {
	if sub.writeUncertain && number > sub.row.Number {
		e.finishSubmission(sub, message.SubmitUnknown, number,
			fmt.Sprintf("the platform's answer was lost, and manifest %d is accepted since", number))
		return
	}
	e.finishSubmission(sub, message.SubmitConflict, number,
		fmt.Sprintf("reviewed against manifest %d, but manifest %d is accepted", sub.expectedNumber, number))
}

// handleSubmissionWrite ends a submission whose row is written, or reads the row
// again to find out whether it is.
func (e *Engine) handleSubmissionWrite(sub *submission, written message.RowsWritten) {
	switch written.Result {
	case message.PlatformOK:
		e.acceptSubmission(sub)
	case message.PlatformUnknown:
		sub.writeUncertain = true
		sub.step = submitVerifyRow
		sub.retryAfter(e.now, 0)
	case message.PlatformConflict:
		sub.step = submitVerifyRow
		sub.retryAfter(e.now, 0)
	case message.PlatformUnreachable, message.PlatformRefused, message.PlatformNotFound:
		sub.step = submitReadRow
		sub.retryAfter(e.now, e.jitter(retryPause))
	}
}

// acceptSubmission ends a submission that the platform holds and puts its manifest
// in force here.
func (e *Engine) acceptSubmission(sub *submission) {
	e.logEvent(event.ManifestAccepted,
		event.F("number", sub.row.Number), event.F("digest", sub.digest), event.F("who", sub.submitter))
	e.finishSubmission(sub, message.SubmitOK, sub.row.Number, "")
	e.adoptManifest(sub.row.Number, sub.digest, sub.body, "submission")
}

// finishSubmission removes a submission and sends its result to the submitter.
func (e *Engine) finishSubmission(sub *submission, result message.SubmitResult, number uint64, detail string) {
	if result != message.SubmitOK {
		e.logEvent(event.ManifestDeclined,
			event.F("expected", sub.expectedNumber), event.F("number", number), event.F("why", result.String()), event.F("detail", detail))
	}
	remaining := e.manifests.submissions[:0]
	for _, other := range e.manifests.submissions {
		if other != sub {
			remaining = append(remaining, other)
		}
	}
	e.manifests.submissions = remaining
	e.emit(message.ManifestDecided{CorrelationID: sub.correlationID, Number: number, Result: result, Detail: detail})
}

// decodeManifestRow decodes a row's body and checks its number. It returns the zero
// row with an error.
func decodeManifestRow(body []byte) (manifestRow, error) {
	var row manifestRow
	err := json.Unmarshal(body, &row)
	if err == nil {
		err = model.CheckCounter("number", row.Number)
	}
	if err != nil {
		return manifestRow{}, err
	}
	return row, nil
}

// decodeGroupRow decodes a row's body and checks its term. It returns the zero row
// with an error.
func decodeGroupRow(body []byte) (groupRow, error) {
	var row groupRow
	err := json.Unmarshal(body, &row)
	if err == nil {
		err = model.CheckCounter("term", uint64(row.Term))
	}
	if err != nil {
		return groupRow{}, err
	}
	return row, nil
}

// logRejected logs a row of the platform that can't be decoded.
func (e *Engine) logRejected(row message.Row, err error) {
	e.logEvent(event.ContentRejected, event.F("table", row.Table), event.F("key", row.Key), event.F("error", err.Error()))
}

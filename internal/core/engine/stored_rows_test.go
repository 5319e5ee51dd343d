package engine

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// TestStoredRows guards against a renamed field that changes the rows at the
// platform: instances of other releases could no longer read them.
func TestStoredRows(t *testing.T) {
	at := time.Date(2026, 3, 4, 5, 6, 7, 123456789, time.UTC)
	rows := []groupRow{
		{Term: 2, Phase: rowPromoted, Primary: "ratings-b", Coordinator: "front-1", Nonce: "front-1.ab.7", Reason: "no answer"},
		{Term: 3, Phase: rowClaimed},
	}
	records := []PromotionRecord{
		{
			Group: "ratings", Term: 2, PreviousPrimary: "ratings-a", Primary: "ratings-b", Coordinator: "front-1",
			Reason: "no answer", Evidence: []string{"no answer to 2 of 3", "stream lost"},
			FencedDatabases: []FencedDatabase{{Database: "ratings-c", Position: "1:69"}}, Position: "1:70",
			SuspectedAt: at, ClaimedAt: at.Add(time.Second), PromotedAt: at.Add(2 * time.Second),
		},
		{Group: "ratings", Term: 3},
	}
	declared := manifestRow{
		Number: 5, Digest: "sum", Nonce: "front-1.ab.8", SubmittedBy: "operator", SubmittedAt: at, WrittenBy: "front-1",
	}
	// The engine's own steps write the rows, so that tables and keys are compared too.
	e := &Engine{}
	for i, record := range records {
		e.writeRecord(&group{name: "ratings", failover: failoverState{claim: rows[i], record: record}})
	}
	e.handleSubmissionRow(&submission{row: declared}, message.RowsRead{})
	var got strings.Builder
	for _, action := range e.actions {
		for _, row := range action.(message.WriteRows).Rows {
			fmt.Fprintf(&got, "%s %s %s\n", row.Table, row.Key, row.Body)
		}
	}
	const path = "testdata/stored_rows.golden"
	// The flag is that of the tests in package engine_test.
	if flag.Lookup("update").Value.String() == "true" {
		if err := os.WriteFile(path, []byte(got.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(golden), got.String()); diff != "" {
		t.Errorf("encoded rows: %s", diff)
	}

	var decodedRows []groupRow
	var decodedManifest manifestRow
	g := &group{name: "ratings"}
	for line := range strings.Lines(string(golden)) {
		part := strings.SplitN(strings.TrimSpace(line), " ", 3)
		switch body := []byte(part[2]); part[0] {
		case groupTable:
			row, err := decodeGroupRow(body)
			if err != nil {
				t.Error(err)
			}
			decodedRows = append(decodedRows, row)
		case logbookTable:
			e.handleLogbookRead(g, message.RowsRead{Rows: []message.Row{{Body: body}}})
		case manifestTable:
			if decodedManifest, err = decodeManifestRow(body); err != nil {
				t.Error(err)
			}
		}
	}
	if diff := cmp.Diff(rows, decodedRows); diff != "" {
		t.Errorf("decoded group rows: %s", diff)
	}
	if diff := cmp.Diff(records, g.logbook); diff != "" {
		t.Errorf("decoded records: %s", diff)
	}
	if diff := cmp.Diff(declared, decodedManifest); diff != "" {
		t.Errorf("decoded manifest row: %s", diff)
	}
}

func FuzzDecodeRows(f *testing.F) {
	f.Add([]byte(`{"number":1,"digest":"ab","nonce":"pipeline","who":"x","at":"2026-01-02T03:04:05Z","by":"i1"}`))
	f.Add([]byte(`{"term":4,"phase":"claimed","primary":"a","steward":"i1","nonce":"n","reason":"r"}`))
	f.Add([]byte(`{"number":18446744073709551615,"term":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if row, err := decodeManifestRow(body); err == nil && row.Number > model.MaxCounter || err != nil && row != (manifestRow{}) {
			t.Errorf("manifest row %+v", row)
		}
		if row, err := decodeGroupRow(body); err == nil && row.Term > model.MaxCounter || err != nil && row != (groupRow{}) {
			t.Errorf("group row %+v", row)
		}
	})
}

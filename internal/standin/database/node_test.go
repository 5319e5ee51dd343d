package database

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

func appendTerms(l *entryLog, terms []int) {
	for _, term := range terms {
		l.append(entry{Position: model.Position{Term: model.Term(term), Offset: l.lastOffset() + 1}})
	}
}

// TestCommonOffset draws two logs with a shared prefix, after which the terms
// of one are even and those of the other are odd. The last common offset must
// be the end of the prefix.
func TestCommonOffset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shared := rapid.SliceOfN(rapid.IntRange(0, 1), 0, 20).Draw(t, "shared")
		term := 0
		for i, step := range shared {
			term += step
			shared[i] = term
		}
		tail := func(name string, first int) []int {
			terms := make([]int, rapid.IntRange(0, 10).Draw(t, name))
			for i := range terms {
				terms[i] = first + 2*(i/3)
			}
			return terms
		}
		a, b := newEntryLog(), newEntryLog()
		for _, l := range []*entryLog{&a, &b} {
			appendTerms(l, shared)
		}
		appendTerms(&a, tail("a", 2*term+2))
		appendTerms(&b, tail("b", 2*term+3))
		if diff := cmp.Diff(uint64(len(shared)), a.commonOffset(b.spans(), b.lastOffset())); diff != "" {
			t.Fatalf("(-want +got)\n%s", diff)
		}
	})
}

// TestTransactionViewMatchesCommittedContent compares the reads inside a
// transaction with those of the content after its commit.
func TestTransactionViewMatchesCommittedContent(t *testing.T) {
	changes := rapid.SliceOf(rapid.Custom(func(t *rapid.T) change {
		return change{
			Op:    op(rapid.IntRange(int(opInsert), int(opAppend)).Draw(t, "op")),
			Key:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"),
			Value: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "value"),
		}
	}))
	rapid.Check(t, func(t *rapid.T) {
		start, final := newContent(), newContent()
		initial, buffered := changes.Draw(t, "initial"), changes.Draw(t, "buffered")
		start.apply(initial)
		final.apply(initial)
		final.apply(buffered)
		uncommitted, committed := transactionView{base: &start, changes: buffered}, transactionView{base: &final}
		for _, key := range []string{"a", "b", "c"} {
			got, found := uncommitted.value(key)
			wanted, exists := committed.value(key)
			if found != exists || found && got != wanted {
				t.Fatalf("%s: got %q %v, want %q %v", key, got, found, wanted, exists)
			}
		}
		if diff := cmp.Diff(committed.ledgerEntries(), uncommitted.ledgerEntries()); diff != "" {
			t.Fatalf("(-want +got)\n%s", diff)
		}
	})
}

func TestAcceptReplica(t *testing.T) {
	primary := newNode(Options{Name: "a", Primary: true, Term: 3})
	replica := newNode(Options{Name: "b"})
	cases := []struct {
		name    string
		node    *node
		startup streamStartup
		want    bool
	}{
		{"empty replica", primary, streamStartup{}, true},
		{"diverged in a lower term", primary, streamStartup{Term: 3, Spans: []termSpan{{Term: 1, First: 1}}, Last: 9}, true},
		{"higher term", primary, streamStartup{Term: 4}, false},
		{"entries of the current term that the primary lacks", primary, streamStartup{Term: 3, Spans: []termSpan{{Term: 3, First: 1}}, Last: 2}, false},
		{"not a primary", replica, streamStartup{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, ok := c.node.acceptReplica(c.startup)
			if diff := cmp.Diff(c.want, ok); diff != "" {
				t.Errorf("(-want +got)\n%s", diff)
			}
		})
	}
}

func TestSlotsAreGrantedFirstComeFirstServed(t *testing.T) {
	s := &slots{limit: 1}
	granted := []chan struct{}{s.enqueue(), s.enqueue(), s.enqueue(), s.enqueue()}
	s.cancelWait(granted[1])
	s.release()
	var got []bool
	for _, g := range granted {
		select {
		case <-g:
			got = append(got, true)
		default:
			got = append(got, false)
		}
	}
	if diff := cmp.Diff([]bool{true, false, true, false}, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
	s.cancelWait(granted[2])
	s.release()
	if diff := cmp.Diff(0, s.inUse()); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

func FuzzParse(f *testing.F) {
	for _, text := range SupportedStatements() {
		f.Add(text)
	}
	for _, text := range []string{"'", "\"", "$", "$0", "/*", "--", "-1", "BEGIN READ ONLY;;", "SELECT 1;", "SET a = $1"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		statements, err := parse(sql)
		if err != nil && len(statements) > 0 {
			t.Errorf("parse returned statements together with the error %v", err)
		}
		parameterCount(sql)
	})
}

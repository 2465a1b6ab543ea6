package uptime

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func seconds(first, last int) Span {
	return Span{First: time.Duration(first) * time.Second, Last: time.Duration(last) * time.Second}
}

func TestMergedReports(t *testing.T) {
	tests := []struct {
		name    string
		reports []Span
		want    Span
		outage  bool
	}{
		{"own answers", []Span{seconds(1, 1), seconds(2, 2), seconds(3, 3)}, seconds(1, 3), false},
		{"an outage", []Span{seconds(1, 5), seconds(9, 9)}, seconds(9, 9), true},
		{"an absence of this process only", []Span{seconds(1, 5), seconds(9, 9), seconds(2, 8)}, seconds(1, 9), false},
		{"an absence, reported by two in part", []Span{seconds(1, 5), seconds(12, 12), seconds(10, 11), seconds(4, 9)}, seconds(1, 12), false},
		{"another process, read first", []Span{seconds(1, 5), seconds(2, 8), seconds(9, 9)}, seconds(1, 9), false},
		{"a process that has just started", []Span{seconds(1, 10), seconds(9, 10)}, seconds(1, 10), false},
		{"an outage that ended earlier elsewhere", []Span{seconds(1, 5), seconds(10, 10), seconds(8, 10)}, seconds(8, 10), true},
		{"an old report", []Span{seconds(10, 12), seconds(1, 4)}, seconds(10, 12), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var u Uptime
			for _, report := range test.reports {
				u.Merge(report)
			}
			got, _ := u.Latest()
			qt.Assert(t, got, qt.Equals, test.want)
			end, ok := u.OutageEnd()
			qt.Assert(t, ok, qt.Equals, test.outage)
			if ok {
				qt.Assert(t, end, qt.Equals, test.want.First)
			}
		})
	}
}

// The merged span must not include an outage, and an absence of one process must not count
// as an outage of the store if another process got answers in that time.
func TestReportsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 4
		var all [processes]Uptime
		var expected Uptime
		now := time.Duration(0)
		process := func(what string) int { return rapid.IntRange(0, processes-1).Draw(t, what) }
		for range rapid.IntRange(2, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
			all[process("answered")].RecordAnswer(now)
			expected.RecordAnswer(now)
			if span, ok := all[process("from")].Latest(); ok {
				all[process("to")].Merge(span)
			}
			whole, _ := expected.Latest()
			for i := range all {
				span, ok := all[i].Latest()
				if ok && span.Last >= whole.First && span.First < whole.First {
					t.Fatalf("process %d has the span %v, but the store answered in %v", i, span, whole)
				}
			}
		}
		// A process that receives a report in time must not assume an outage.
		last, _ := expected.Latest()
		receiver := &all[process("hearer")]
		before, known := receiver.Latest()
		receiver.Merge(last)
		if after, _ := receiver.Latest(); known && before.adjoins(last) && after.First > last.First {
			t.Fatalf("span %v was reported, but the latest span is %v", last, after)
		}
	})
}

package outcome

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

func broken(request, reason, endedBy, stage string, firstByte float64) Line {
	line := ended(request, 502, firstByte, reason)
	line.EndedBy, line.Stage = endedBy, stage
	return line
}

const (
	answerLost = "the request may have run, its answer is lost"
	brokeOff   = "the answer broke off"
)

// The summary does not tell who ended broken requests, or hides a value that is new in the log.
func TestBrokenRequestsAreCountedByWhoEndedThem(t *testing.T) {
	c := qt.New(t)
	a, b := New(goal), New(goal)
	for _, line := range []Line{
		broken("1", answerLost, "HeadTimeout", "", 0),
		broken("2", brokeOff, "Silence", "Cut", 120),
		broken("3", brokeOff, "Silence", "NoStatus", 0),
		broken("4", brokeOff, "", "", 120),
		broken("5", brokeOff, "", "", 0),
		broken("6", answerLost, "SomethingNew", "", 0),
		broken("7", answerLost, "<b>\n", "", 0),
		{Time: at, Message: messageAttemptEnded, Request: "8", End: "Lost", EndedBy: "Stall"},
		broken("8", answerLost, "", "", 0),
		ended("9", 500, 90, ""),
		ended("10", 200, 90, ""),
	} {
		a.Add(&line)
	}
	line := broken("11", answerLost, "HeadTimeout", "", 0)
	b.Add(&line)
	var day Totals
	day.Add(a)
	day.Add(b)
	c.Assert(day.Broken(), qt.DeepEquals, []BrokenRow{
		{"HeadTimeout", ReceivedStatus, 2},
		{"Other", ReceivedStatus, 1},
		{"Silence", ReceivedNothing, 1},
		{"Silence", ReceivedPart, 1},
		{"SomethingNew", ReceivedStatus, 1},
		{"Stall", ReceivedStatus, 1},
		{"Unknown", ReceivedNothing, 1},
		{"Unknown", ReceivedPart, 1},
	})
}

// A malformed log with many values must not create rows without bound.
func TestValuesOfEndedByAreBounded(t *testing.T) {
	c := qt.New(t)
	tally := New(goal)
	for n := range 1000 {
		line := broken("r", answerLost, fmt.Sprint("V", n), "", 0)
		tally.Add(&line)
	}
	var day Totals
	day.Add(tally)
	day.Add(tally)
	rows := day.Broken()
	c.Assert(len(rows) <= maxEndedByValues+1, qt.IsTrue)
	c.Assert(rows[0].EndedBy, qt.Equals, EndedByOther)
}

// Each cause that entries log must be explained.
func TestEachCauseIsExplained(t *testing.T) {
	c := qt.New(t)
	file, err := parser.ParseFile(token.NewFileSet(), "../forward/endedby.go", nil, 0)
	c.Assert(err, qt.IsNil)
	n := 0
	ast.Inspect(file, func(node ast.Node) bool {
		literal, ok := node.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return true
		}
		value, err := strconv.Unquote(literal.Value)
		c.Assert(err, qt.IsNil)
		_, known := Explain(value)
		c.Check(known, qt.IsTrue, qt.Commentf(value))
		n++
		return true
	})
	c.Assert(n > 10, qt.IsTrue)
}

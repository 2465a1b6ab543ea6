package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const entry1Log = `{"Level":"info","Time":"2026-06-07T16:10:17.900Z","Message":"placed","Host":"edge-1","Role":"Entry","Request":"r1","Backend":"i-1","Ahead":-2}
{"Level":"info","Time":"2026-06-07T16:10:17.950Z","Message":"placed","Host":"edge-1","Request":"r10","Backend":"i-1"}
  12.1 collector {"Level":"warn","Time":"2026-06-07T16:10:19.100Z","Message":"attempt failed","Host":"edge-1","Request":"r1","Backend":"i-1","End":"Lost","EndedBy":"Silence","Silent":1200,"error":"context canceled"}
{"Level":"info","Time":"2026-06-07T16:10:19.101Z","Message":"attempt ended","Host":"edge-1","Request":"r1","End":"Lost","Step":"Unknown","EndedBy":"Silence","Silent":1200}
{"Level":"info","Time":"2026-06-07T16:10:19.102Z","Message":"request ended","Host":"edge-1","Request":"r1","Status":200,"Took":1210,"Reason":"the answer broke off","EndedBy":"Silence","Stage":"NoStatus","Silent":1200}
{"Level":"info","Time":"2026-06-07T16:10:19.200Z","Message":"request ended","Host":"edge-1","Request":"r2","Status":502,"Took":900,"Reason":"the request may have run, its answer is lost","EndedBy":"Gremlins"}
{"Level":"info","Time":"2026-06-07T16:10:19.300Z","Message":"placed","Host":"edge-1","Request":"r3","Backend":"i-1"}
`

const entry2Log = `{"Level":"info","Time":"2026-06-07T16:10:17.895Z","Message":"waited for a place","Host":"edge-2","Request":"r1","Placed":false}
`

func writeStoryLogs(c *qt.C, dir string) {
	c.Assert(os.WriteFile(filepath.Join(dir, "b.log"), []byte(entry1Log), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(dir, "c.log"), []byte(entry2Log), 0o600), qt.IsNil)
}

// An engineer who has a request's ID must see its lines of all entries in order, who ended it and what
// the caller received.
func TestStoryOfARequest(t *testing.T) {
	for _, test := range []struct{ name, request, want string }{
		{"no status", "r1", `Request r1, arrived 2026-06-07 16:10:17.892

+3 ms     edge-2  waited for a place  Placed false
+8 ms     edge-1  placed              Backend "i-1", Ahead -2
+1208 ms  edge-1  attempt failed      Backend "i-1", End "Lost", EndedBy "Silence", Silent 1200, error "context canceled"
+1209 ms  edge-1  attempt ended       End "Lost", Step "Unknown", EndedBy "Silence", Silent 1200
+1210 ms  edge-1  request ended       Status 200, Took 1210, Reason "the answer broke off", EndedBy "Silence", Stage "NoStatus", Silent 1200

Outcome:   Broken BrokeOff
Status:    200 after 1210 ms (the answer broke off)
Received:  a closed connection, no status
Ended by:  Silence, this entry: the server paused in the middle of the answer; its server had been silent for 1200 ms
`},
		{"a value that is not known", "r2", `Request r2, arrived 2026-06-07 16:10:18.300

+900 ms  edge-1  request ended  Status 502, Took 900, Reason "the request may have run, its answer is lost", EndedBy "Gremlins"

Outcome:   Broken AnswerLost
Status:    502 after 900 ms (the request may have run, its answer is lost)
Received:  a status
Ended by:  Gremlins, a value that this program does not know
`},
		{"no end", "r3", `Request r3, arrived 2026-06-07 16:10:19.300

+0 ms  edge-1  placed  Backend "i-1"

No line states its end: it is still running, or the process of its entry ended first.
`},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			dir := t.TempDir()
			writeStoryLogs(c, dir)
			s := &story{request: test.request}
			_, err := readFiles(dir, s.add, func() {})
			c.Assert(err, qt.IsNil)
			var out bytes.Buffer
			c.Assert(s.print(&out, 500*time.Millisecond), qt.IsNil)
			c.Assert(out.String(), qt.Equals, test.want)
		})
	}
}

// An ID that is in no log must be an error that says what was searched.
func TestUnknownRequestIsAnError(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	writeStoryLogs(c, dir)
	err := (&arguments{Directory: dir, Goal: time.Second, Request: "r9"}).run()
	c.Assert(err, qt.ErrorMatches, `request "r9": not found in 2 files, 8 lines`)
}

// The summary must tell who ended broken requests, also for values that this program does not know.
func TestSummaryTellsWhoEndedBrokenRequests(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	writeStoryLogs(c, dir)
	day, counts, err := readDirectory(dir, time.Second)
	c.Assert(err, qt.IsNil)
	var out bytes.Buffer
	c.Assert(printTable(&out, day.Rows(), day, counts), qt.IsNil)
	c.Assert(out.String(), qt.Contains, `
Broken requests by what their callers received and who ended them
Nothing  Part  Status  EndedBy   
0        0     1       Gremlins  a value that this program does not know
1        0     0       Silence   this entry: the server paused in the middle of the answer
`)
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/outcome"
)

// maxStoryLines bounds the lines of one request that are kept.
const maxStoryLines = 1000

// story holds the log lines of one request.
type story struct {
	request string
	lines   []storyLine
}

// storyLine is one log line.
type storyLine struct {
	outcome.Line
	Host string
	// fields are the others of the line, in the order of the log.
	fields string
}

// hiddenFields are printed in other columns or are the same in all lines of a story.
var hiddenFields = []string{"Time", "Level", "Message", "Request", "Host", "Role"}

// add keeps a line if it belongs to the request. It reports whether the line could be parsed.
func (s *story) add(data []byte) bool {
	if !bytes.Contains(data, []byte(s.request)) {
		return true
	}
	data, ok := trimPrefix(data)
	if !ok {
		return false
	}
	var line storyLine
	if json.Unmarshal(data, &line) != nil || line.Time.IsZero() {
		return false
	}
	if line.Request == s.request && len(s.lines) < maxStoryLines {
		line.fields = formatFields(data)
		s.lines = append(s.lines, line)
	}
	return true
}

// formatFields returns the fields of a line as text.
func formatFields(data []byte) string {
	decoder := json.NewDecoder(bytes.NewReader(data))
	var texts []string
	if _, err := decoder.Token(); err != nil {
		return ""
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			break
		}
		var value json.RawMessage
		if decoder.Decode(&value) != nil {
			break
		}
		if field := fmt.Sprint(name); !slices.Contains(hiddenFields, field) {
			texts = append(texts, field+" "+string(value))
		}
	}
	return strings.Join(texts, ", ")
}

// print prints the lines in order and what they say about the end of the request.
func (s *story) print(to io.Writer, goal time.Duration) error {
	slices.SortStableFunc(s.lines, func(a, b storyLine) int { return a.Time.Compare(b.Time) })
	start := s.lines[0].Time
	var end *storyLine
	for i := range s.lines {
		if s.lines[i].Message == outcome.MessageRequestEnded {
			end = &s.lines[i]
			start = end.Time.Add(-time.Duration(end.Duration * float64(time.Millisecond)))
		}
	}
	fmt.Fprintf(to, "Request %s, arrived %s\n\n", s.request, start.UTC().Format("2006-01-02 15:04:05.000"))
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	for _, line := range s.lines {
		fmt.Fprintf(w, "%+d ms\t%s\t%s\t%s\n", line.Time.Sub(start).Milliseconds(), line.Host, line.Message, line.fields)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(to)
	if end == nil {
		_, err := fmt.Fprintln(to, "No line states its end: it is still running, or the process of its entry ended first.")
		return err
	}
	return s.printEnd(to, end, goal)
}

// printEnd prints what the caller received, and who ended the last attempt.
func (s *story) printEnd(to io.Writer, end *storyLine, goal time.Duration) error {
	tally := outcome.New(goal)
	for i := range s.lines {
		tally.Add(&s.lines[i].Line)
	}
	var totals outcome.Totals
	totals.Add(tally)
	for _, row := range totals.Rows() {
		fmt.Fprintln(to, "Outcome:  ", strings.TrimSpace(fmt.Sprint(row.Kind, " ", row.Cause)))
	}
	fmt.Fprintf(to, "Status:    %d after %.0f ms", end.Status, end.Duration)
	if end.Reason != "" {
		fmt.Fprintf(to, " (%s)", end.Reason)
	}
	fmt.Fprintln(to)
	for _, row := range totals.Broken() {
		fmt.Fprintln(to, "Received: ", receivedTexts[row.Received])
		fmt.Fprintf(to, "Ended by:  %s, %s", row.EndedBy, explain(row.EndedBy))
		if silence := s.lastSilence(); silence > 0 {
			fmt.Fprintf(to, "; its server had been silent for %.0f ms", silence)
		}
		fmt.Fprintln(to)
	}
	return nil
}

// lastSilence returns how long the server of the last failed attempt had sent nothing, in milliseconds.
func (s *story) lastSilence() float64 {
	silence := 0.0
	for _, line := range s.lines {
		if line.Silence > 0 {
			silence = line.Silence
		}
	}
	return silence
}

var receivedTexts = map[outcome.Received]string{
	outcome.ReceivedNothing: "a closed connection, no status",
	outcome.ReceivedPart:    "a part of the answer, then a closed connection",
	outcome.ReceivedStatus:  "a status",
}

// explain says who ended an attempt.
func explain(endedBy string) string {
	if text, ok := outcome.Explain(endedBy); ok {
		return text
	}
	return "a value that this program does not know"
}

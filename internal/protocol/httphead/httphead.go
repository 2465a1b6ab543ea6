// Package httphead checks the heads of HTTP/1 responses as they were received (RFC 9112).
//
// A head is checked once, where it is read. HTTP libraries accept lines that they drop or read differently
// elsewhere, and what a lenient parser makes of a head is not what its server sent.
package httphead

import (
	"bytes"
	"fmt"
)

// maxErrorText is how many bytes of a line an Error holds.
const maxErrorText = 60

// Error means that a head is not one of a response.
type Error struct {
	// Line is the number of the line in the head; that of the status line is 1.
	Line int
	// Text is the beginning of the line.
	Text string
	// Reason is what is wrong with the line.
	Reason string
}

// Error returns the line, its number and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("not the head of a response: line %d, %q: %s", e.Line, e.Text, e.Reason)
}

// Informational reports whether a status is one of an interim response, which another response follows.
func Informational(status int) bool { return status >= 100 && status < 200 }

// Check returns the status of a response whose head was received, including the empty line that ends it. The
// error is an *Error.
func Check(head []byte) (status int, err error) {
	line, _ := nextLine(head)
	status, reason := checkStatusLine(line)
	if reason != "" {
		return 0, newError(1, line, reason)
	}
	return status, nil
}

func newError(number int, line []byte, reason string) *Error {
	return &Error{Line: number, Text: string(line[:min(len(line), maxErrorText)]), Reason: reason}
}

// nextLine returns the first line without its line break, and what follows it.
func nextLine(head []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(head, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// checkStatusLine returns the status of a status line, or what is wrong with it.
//
// Status codes outside of 100 to 599 are invalid (RFC 9110, section 15). Requests do not ask for another
// protocol, so that 101 is no response to them and what follows it is not HTTP.
func checkStatusLine(line []byte) (status int, reason string) {
	const prefix, codeAt, textAt = "HTTP/1.", len("HTTP/1.1 "), len("HTTP/1.1 200 ")
	switch {
	case len(line) < textAt-1, !bytes.HasPrefix(line, []byte(prefix)), !isDigit(line[len(prefix)]), line[codeAt-1] != ' ':
		return 0, "expected a status line"
	case len(line) >= textAt && line[textAt-1] != ' ':
		return 0, "expected a space after the status"
	case len(line) > textAt && !isText(line[textAt:]):
		return 0, "control character"
	}
	for _, digit := range line[codeAt : textAt-1] {
		if !isDigit(digit) {
			return 0, "expected a status of three digits"
		}
		status = 10*status + int(digit-'0')
	}
	if status < 100 || status > 599 || status == 101 {
		return 0, "not the status of a response"
	}
	return status, ""
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isText reports whether a text has no control characters but tabs.
func isText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

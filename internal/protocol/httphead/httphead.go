// Package httphead checks the heads of HTTP/1 responses as they were received (RFC 9112).
//
// A head is checked once, where it is read. HTTP libraries accept lines that they drop or read differently
// elsewhere, and what a lenient parser makes of a head is not what its server sent.
package httphead

import (
	"bytes"
	"fmt"
	"strings"
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
	line, rest := nextLine(head)
	status, reason := checkStatusLine(line)
	if reason != "" {
		return 0, newError(1, line, reason)
	}
	f := framing{oldVersion: bytes.HasPrefix(line, []byte("HTTP/1.0")), interim: Informational(status)}
	for number := 2; ; number++ {
		if line, rest = nextLine(rest); len(line) == 0 {
			return status, nil
		}
		name, value, reason := parseField(line)
		if reason == "" {
			reason = f.add(name, value)
		}
		if reason != "" {
			return 0, newError(number, line, reason)
		}
	}
}

// parseField returns the name and the value of a field line, or what is wrong with it. A line that continues the
// one before is obsolete (RFC 9112, section 5.2).
func parseField(line []byte) (name, value []byte, reason string) {
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found:
		return nil, nil, "expected a field"
	case !IsName(string(name)):
		return nil, nil, "not the name of a field"
	case !isText(value):
		return nil, nil, "control character"
	}
	return name, bytes.Trim(value, " \t"), ""
}

// IsName reports whether a text is the name of a field: a token (RFC 9110, section 5.6.2).
func IsName(name string) bool {
	for _, b := range []byte(name) {
		if !isDigit(b) && (b|0x20 < 'a' || 'z' < b|0x20) && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(b)) {
			return false
		}
	}
	return name != ""
}

// framing is what the fields of a head state about the end of the body (RFC 9112, section 6).
type framing struct {
	// oldVersion is true for HTTP/1.0, which has no transfer codings, and interim for an informational
	// response, which has no body.
	oldVersion, interim bool
	// length is the length that was stated; nil if none was. chunked is true if a transfer coding was.
	length  []byte
	chunked bool
}

// add adds a field, and returns what is wrong with it beside those before. Fields from which the end of a body
// can be read in two ways are wrong, because another reader of the connection reads it in the other.
func (f *framing) add(name, value []byte) (reason string) {
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		switch {
		case len(value) == 0 || strings.Trim(string(value), "0123456789") != "":
			return "not a length"
		case f.length != nil && !bytes.Equal(f.length, value):
			return "a second length"
		case f.interim && strings.Trim(string(value), "0") != "":
			return "a body of an informational response"
		}
		f.length = value
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		switch {
		case f.oldVersion:
			return "a transfer coding in HTTP/1.0"
		case f.interim:
			return "a body of an informational response"
		case f.chunked || !bytes.EqualFold(value, []byte("chunked")):
			return "not the transfer coding chunked"
		}
		f.chunked = true
	}
	if f.length != nil && f.chunked {
		return "both a length and a transfer coding"
	}
	return ""
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

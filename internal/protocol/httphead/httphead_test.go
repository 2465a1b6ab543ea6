package httphead_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/protocol/httphead"
)

// A status line that is none, or a status that no response has, passes as one of a response.
func TestStatusLine(t *testing.T) {
	for line, want := range map[string]int{
		"HTTP/1.1 200 OK": 200, "HTTP/1.0 404 Not Found": 404, "HTTP/1.1 503": 503, "HTTP/1.1 599 ": 599,
		"HTTP/1.1 100 Continue": 100, "HTTP/1.1 200 \xe4\tb": 200,
		"HTTP/1.1 000 Zero": 0, "HTTP/1.1 099 Low": 0, "HTTP/1.1 600 High": 0, "HTTP/1.1 101 Switching Protocols": 0,
		"HTTP/1.1 +20 OK": 0, "HTTP/1.1 20 OK": 0, "HTTP/1.1 2000 OK": 0, "HTTP/1.1  200 OK": 0, "HTTP/1.1\t200 OK": 0,
		"HTTP/2.0 200 OK": 0, "HTTP/1.x 200 OK": 0, "http/1.1 200 OK": 0, " HTTP/1.1 200 OK": 0, "HTTP/1.1 200 O\rK": 0, "HTTP/1.1 200 \x7f": 0, "": 0,
	} {
		status, err := httphead.Check([]byte(line + "\r\n\r\n"))
		qt.Check(t, status, qt.Equals, want, qt.Commentf("%q", line))
		var invalid *httphead.Error
		qt.Check(t, errors.As(err, &invalid), qt.Equals, want == 0, qt.Commentf("%q", line))
		if want == 0 {
			qt.Check(t, invalid.Line, qt.Equals, 1)
			qt.Check(t, invalid.Text, qt.Equals, line)
		}
	}
}

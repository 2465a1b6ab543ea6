package httphead_test

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
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

// A line that is not a field, or a second reading of where the body ends, passes as a part of a head.
func TestFields(t *testing.T) {
	const line = "HTTP/1.1 200 OK\r\n"
	for _, test := range []struct {
		head, reason string
		line         int
	}{
		{line + "X-A:  b \r\nX-B:\tc\r\nX-C:\r\n\r\n", "", 0},
		{line + "Content-Length: 4\r\ncontent-length: 4 \r\n\r\n", "", 0},
		{line + "Transfer-Encoding: Chunked\r\n\r\n", "", 0},
		{"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n", "", 0},
		{line + "X-A: b\r\nX A: b\r\n\r\n", "not the name of a field", 3},
		{line + "X-A : b\r\n\r\n", "not the name of a field", 2},
		{line + " X-A: b\r\n\r\n", "not the name of a field", 2},
		{line + ": b\r\n\r\n", "not the name of a field", 2},
		{line + "X-\xffA: b\r\n\r\n", "not the name of a field", 2},
		{line + "X-A: b\r\n c\r\n\r\n", "expected a field", 3},
		{line + "X-A: b\rc\r\n\r\n", "control character", 2},
		{line + "Content-Length: 4\r\nContent-Length: 5\r\n\r\n", "a second length", 3},
		{line + "Content-Length: -4\r\n\r\n", "not a length", 2},
		{line + "Content-Length: 4, 4\r\n\r\n", "not a length", 2},
		{line + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n", "both a length and a transfer coding", 3},
		{line + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", "not the transfer coding chunked", 3},
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "a transfer coding in HTTP/1.0", 2},
		{"HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\n", "a body of an informational response", 2},
		{"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n", "a body of an informational response", 2},
	} {
		_, err := httphead.Check([]byte(test.head))
		var invalid *httphead.Error
		qt.Check(t, errors.As(err, &invalid), qt.Equals, test.reason != "", qt.Commentf("%q", test.head))
		if invalid != nil {
			qt.Check(t, invalid.Reason, qt.Equals, test.reason, qt.Commentf("%q", test.head))
			qt.Check(t, invalid.Line, qt.Equals, test.line, qt.Commentf("%q", test.head))
		}
	}
}

// FuzzCheck checks that an HTTP library reads each field of a head that is accepted as it was sent, and writes it
// unchanged.
func FuzzCheck(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-A: b\r\nx-a:  c \r\nContent-Length: 4\r\n\r\n", "HTTP/1.0 404\nX-\xe4: b\n\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 000 OK\r\nContent-Length : 4\r\n\r\n", "HTTP/1.1 204 OK\r\nX-A: b\r\n c\r\nTrailer: X-B\r\n\r\n", "HTTP/1.1 103 \r\nLink: \xe4\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, head []byte) {
		if n := bytes.Index(head, []byte("\n\n")); n >= 0 {
			head = head[:n+2]
		}
		if n := bytes.Index(head, []byte("\n\r\n")); n >= 0 {
			head = head[:n+3]
		}
		status, err := httphead.Check(head)
		if err != nil || len(head) > 2<<10 || !bytes.HasSuffix(head, []byte("\n\r\n")) && !bytes.HasSuffix(head, []byte("\n\n")) {
			return
		}
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), &http.Request{Method: http.MethodHead})
		if err != nil {
			return
		}
		qt.Assert(t, response.StatusCode, qt.Equals, status)
		sent := http.Header{}
		for _, line := range strings.Split(strings.ReplaceAll(string(head), "\r\n", "\n"), "\n")[1:] {
			name, value, found := strings.Cut(line, ":")
			if found {
				sent.Add(name, strings.Trim(value, " \t"))
			}
		}
		for _, name := range []string{"Content-Length", "Transfer-Encoding", "Trailer"} {
			sent.Del(name)
			response.Header.Del(name)
		}
		qt.Assert(t, response.Header, qt.DeepEquals, sent)
		var written strings.Builder
		qt.Assert(t, sent.Write(&written), qt.IsNil)
		for name, values := range sent {
			for _, value := range values {
				qt.Assert(t, written.String(), qt.Contains, name+": "+value+"\r\n")
			}
		}
	})
}

package network_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/transport/network"
)

// exchange sends a request to a server that answers with a text, at once, and then ends the connection.
func exchange(t *testing.T, method, text string, body io.Reader, end func(conn *net.TCPConn)) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReaderSize(conn, 16))
		_, _ = io.WriteString(conn, text)
		end(conn.(*net.TCPConn))
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+listener.Addr().String(), body)
	qt.Assert(t, err, qt.IsNil)
	client := network.NewClient(&http.Transport{DialContext: network.TCP{DialTimeout: time.Second}.DialContext})
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// A store, a model server, an origin or another entry sends a head that is not one of HTTP, and it counts as an
// answer.
func TestMalformedHeadIsAnError(t *testing.T) {
	for name, test := range map[string]struct {
		text  string
		sound bool
	}{
		"Sound":            {"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\nbody", true},
		"SoundUntilClose":  {"HTTP/1.0 410 Gone\r\n\r\nbody", true},
		"000":              {"HTTP/1.1 000 Zero\r\nContent-Length: 4\r\n\r\nbody", false},
		"SignedStatus":     {"HTTP/1.1 +20 OK\r\nContent-Length: 4\r\n\r\nbody", false},
		"600":              {"HTTP/1.1 600 High\r\nContent-Length: 4\r\n\r\nbody", false},
		"OtherProtocol":    {"HTTP/1.1 101 Switching Protocols\r\n\r\nbody", false},
		"BlankInName":      {"HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 4\r\n\r\nbody", false},
		"BlankBeforeColon": {"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody", false},
		"ChunksWithBlank":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		"ControlByte":      {"HTTP/1.1 200 OK\r\nX\x01A: b\r\nContent-Length: 4\r\n\r\nbody", false},
	} {
		body, err := exchange(t, http.MethodGet, test.text, nil, func(conn *net.TCPConn) { _ = conn.Close() })
		qt.Check(t, err == nil, qt.Equals, test.sound, qt.Commentf("%s: %q, %v", name, body, err))
		if test.sound {
			qt.Check(t, body, qt.Equals, "body", qt.Commentf(name))
		}
	}
}

// The connection of a store or a model server is reset while a long body is written, and the part of the response
// that has arrived passes as the whole.
func TestResetDuringAnUploadIsAnError(t *testing.T) {
	for range 250 {
		body, err := exchange(t, http.MethodPut, "HTTP/1.1 200 OK\r\n\r\nhalf", strings.NewReader(strings.Repeat("x", 3<<20)), func(conn *net.TCPConn) {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		})
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", body))
	}
}

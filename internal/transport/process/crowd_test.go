package process_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.yaml.in/yaml/v3"

	"github.com/filbertlever/filbertlever"
	loopback "github.com/filbertlever/filbertlever/internal/bench/cluster"
	"github.com/filbertlever/filbertlever/internal/coordination/routing"
	"github.com/filbertlever/filbertlever/internal/proof/crowd"
	"github.com/filbertlever/filbertlever/internal/settings"
	"github.com/filbertlever/filbertlever/internal/standin"
)

// Limits of the entry's host in the tests with crowds.
const (
	crowdMemory      = 128 << 20
	crowdDescriptors = 1024
	// spareDescriptors must be left for connections to the platform, to agents and to other entries.
	spareDescriptors = 64
	// messageBytes is the size of a message of a crowd, and crowdClients the size of one whose messages
	// together exceed the memory of the host.
	messageBytes = 4<<20 - 1<<10
	crowdClients = 100
	crowdTries   = 3
	// settleTimeout bounds the time that a crowd has before ordinary requests are sent beside it, and
	// programTimeout the start and the end of a program.
	settleTimeout   = 20 * time.Second
	programTimeout  = 30 * time.Second
	ordinaryTries   = 12
	ordinaryTimeout = 5 * time.Second

	crowdToken = "hauler-1"
	answerPath = "/filbertlever.v1.CallerService/Answer"
)

// entryProgram is an entry that runs as a process of its own on a small host.
type entryProgram struct {
	*qt.C
	*crowd.Process
	callers string
	tls     *tls.Config
}

// startEntryProgram builds the program of an entry and runs it in a cluster with one agent. The Go
// runtime's variable states the memory of the host.
func startEntryProgram(t *testing.T) *entryProgram {
	c, folder := qt.New(t), t.TempDir()
	binary := filepath.Join(folder, "filbertlever")
	output, err := exec.Command("go", "build", "-o", binary, "../../../cmd/filbertlever").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", output))
	p := &entryProgram{C: c}
	started := make(chan error, 1)
	t.Cleanup(func() {
		if p.Process != nil && p.Alive() {
			p.Stop(programTimeout)
		}
		if t.Failed() {
			text, _ := os.ReadFile(filepath.Join(folder, "log"))
			t.Logf("end of the log:\n%s", text[max(0, len(text)-2000):])
		}
	})
	run := func(ctx context.Context, s *settings.Settings) error {
		s.Log.Format = "JSON"
		text, err := yaml.Marshal(s)
		c.Check(err, qt.IsNil)
		file := filepath.Join(folder, "entry.yaml")
		c.Check(os.WriteFile(file, text, 0o600), qt.IsNil)
		log, err := os.Create(filepath.Join(folder, "log"))
		c.Check(err, qt.IsNil)
		defer func() { _ = log.Close() }()
		p.Process, err = crowd.StartProcess([]string{binary, "entry", "--settings", file}, []string{fmt.Sprintf("GOMEMLIMIT=%d", crowdMemory)},
			crowdDescriptors, log, s.Callers.Address, s.Peer.Address)
		started <- err
		<-ctx.Done()
		return nil
	}
	running, stop, err := loopback.New(t.Context(), loopback.Config{Entries: 1, Agents: 1, Concurrency: 8, Queue: 32, Routing: routing.DefaultConfig(),
		Engine: standin.EngineConfig{ChecksFencing: true, Slots: 8}, Organisations: []filbertlever.OrganisationID{crowdToken}, RunEntry: run})
	c.Assert(err, qt.IsNil)
	t.Cleanup(stop)
	c.Assert(<-started, qt.IsNil)
	p.callers, p.tls = running.Callers[0], running.TLS
	p.checkServes("in calm", strings.Repeat("x", messageBytes))
	return p
}

// message returns a request for an answer with a prompt.
func message(prompt string) string {
	return fmt.Sprintf(`{"requestId":"r-1","model":"%s","maxTokens":4,"prompt":"%s"}`, loopback.Model, prompt)
}

// checkServes checks that an ordinary caller, who comes back after refusals, gets its answer.
func (p *entryProgram) checkServes(when, prompt string) {
	last := ""
	client := http.Client{Timeout: ordinaryTimeout, Transport: &http.Transport{TLSClientConfig: p.tls.Clone(), DisableKeepAlives: true}}
	for n := 0; n < ordinaryTries && !strings.HasPrefix(last, "200") && p.Alive(); n++ {
		request, err := http.NewRequest(http.MethodPost, "https://"+p.callers+answerPath, strings.NewReader(message(prompt)))
		p.Assert(err, qt.IsNil)
		request.Header.Set("Authorization", "Bearer "+crowdToken)
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
			time.Sleep(200 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if last = fmt.Sprint(response.StatusCode, " ", string(text)); !strings.Contains(last, "OUTCOME_ANSWERED") {
			last = "not answered: " + last
			time.Sleep(200 * time.Millisecond)
		}
	}
	p.Check(strings.HasPrefix(last, "200"), qt.IsTrue, qt.Commentf("%s: %.300s", when, last))
}

// bear checks that the process lives beside a crowd, stays within its host's memory and descriptors,
// serves ordinary callers beside the crowd and after it, and stops.
func (p *entryProgram) bear(start func() (awaitSettled func(time.Duration) bool, leave func())) {
	awaitSettled, leave := start()
	settled := awaitSettled(settleTimeout)
	p.checkServes("beside the crowd", "ordinary")
	leave()
	p.checkServes("after the crowd", "ordinary")
	peak := p.Peak()
	p.Logf("peak %d MB, %d descriptors; the crowd sent all: %v", peak.Memory>>20, peak.Descriptors, settled)
	p.Check(p.Alive(), qt.IsTrue)
	p.Check(peak.Memory <= crowdMemory, qt.IsTrue, qt.Commentf("%d MB of %d", peak.Memory>>20, crowdMemory>>20))
	p.Check(peak.Descriptors <= crowdDescriptors-spareDescriptors, qt.IsTrue, qt.Commentf("%d descriptors of %d", peak.Descriptors, crowdDescriptors))
	p.Check(p.Stop(programTimeout), qt.IsTrue, qt.Commentf("did not stop within %v of SIGTERM", programTimeout))
}

// sending returns how to start a crowd of clients that send bytes over TLS.
func (p *entryProgram) sending(clients int, sent []byte) func() (func(time.Duration) bool, func()) {
	return func() (func(time.Duration) bool, func()) {
		dialer := &tls.Dialer{NetDialer: &net.Dialer{Timeout: settleTimeout}, Config: p.tls.Clone()}
		c := &crowd.Crowd{Clients: clients, Tries: crowdTries, Behaviour: crowd.Behaviour{Sent: sent, Reads: true},
			Dial: func() (net.Conn, error) { return dialer.Dial("tcp4", p.callers) }}
		leave := c.Start()
		return c.AwaitSettled, leave
	}
}

// cutShort returns a request whose last bytes are not sent.
func cutShort(framing string, body []byte) []byte {
	head := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n%s\r\n\r\n", answerPath, crowdToken, framing)
	return append(head, body...)
}

// An entry kept all messages that stop just short of their end.
func TestCrowdOfMessagesCutShort(t *testing.T) {
	p := startEntryProgram(t)
	body := message(strings.Repeat("x", messageBytes))
	p.bear(p.sending(crowdClients, cutShort(fmt.Sprintf("Content-Length: %d", len(body)), []byte(body[:len(body)-1]))))
}

// An entry kept all messages in chunks whose last chunk is missing.
func TestCrowdOfMessagesInChunks(t *testing.T) {
	p := startEntryProgram(t)
	p.bear(p.sending(crowdClients, cutShort("Transfer-Encoding: chunked", crowd.Chunked(messageBytes, 64<<10))))
}

// An entry kept all messages in small chunks whose last chunk is missing.
func TestCrowdOfMessagesInSmallChunks(t *testing.T) {
	p := startEntryProgram(t)
	p.bear(p.sending(crowdClients, cutShort("Transfer-Encoding: chunked", crowd.Chunked(messageBytes, 16))))
}

// An entry read messages of callers without a token.
func TestCrowdOfMessagesWithoutToken(t *testing.T) {
	p := startEntryProgram(t)
	sent := cutShort(fmt.Sprintf("Content-Length: %d", messageBytes), bytes.Repeat([]byte{'x'}, messageBytes-1))
	p.bear(p.sending(crowdClients, bytes.Replace(sent, []byte("Bearer "+crowdToken), []byte("Bearer nobody"), 1)))
}

// Connections that are opened and not used took all descriptors of an entry.
func TestCrowdOfUnusedTLSConnections(t *testing.T) {
	p := startEntryProgram(t)
	p.bear(p.sending(12*crowdClients, nil))
}

// An entry kept all messages that stop just short of their end, also those on one connection.
func TestCrowdOfMessagesOverHTTP2(t *testing.T) {
	p := startEntryProgram(t)
	p.bear(func() (func(time.Duration) bool, func()) {
		ctx, cancel := context.WithCancel(context.Background())
		var clients, settling sync.WaitGroup
		body := []byte(message(strings.Repeat("x", messageBytes)))
		transport := &http.Transport{TLSClientConfig: p.tls.Clone(), ForceAttemptHTTP2: true}
		for range crowdClients {
			settling.Add(1)
			clients.Go(func() {
				settled := sync.OnceFunc(settling.Done)
				defer settled()
				for n := 0; n < crowdTries && ctx.Err() == nil; n++ {
					rest := &stayingReader{data: bytes.NewReader(body[:len(body)-1]), ctx: ctx, sent: settled}
					request, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+p.callers+answerPath, rest)
					p.Check(err, qt.IsNil)
					request.ContentLength = int64(len(body))
					request.Header.Set("Authorization", "Bearer "+crowdToken)
					request.Header.Set("Content-Type", "application/json")
					if response, err := transport.RoundTrip(request); err == nil {
						_, _ = io.Copy(io.Discard, response.Body)
						_ = response.Body.Close()
					}
				}
			})
		}
		awaitSettled := func(timeout time.Duration) bool {
			done := make(chan struct{})
			go func() { settling.Wait(); close(done) }()
			select {
			case <-done:
				return true
			case <-time.After(timeout):
				return false
			}
		}
		return awaitSettled, func() { cancel(); clients.Wait(); transport.CloseIdleConnections() }
	})
}

// stayingReader is a body that does not end before its client leaves.
type stayingReader struct {
	data *bytes.Reader
	ctx  context.Context
	sent func()
}

func (r *stayingReader) Read(p []byte) (int, error) {
	if n, err := r.data.Read(p); err == nil {
		return n, nil
	}
	r.sent()
	<-r.ctx.Done()
	return 0, r.ctx.Err()
}

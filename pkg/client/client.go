// Package client is the client library for callers. It asks the system which
// entries to use and caches the response, fails over to another entry if one
// becomes unreachable, resumes interrupted answers and retries only requests
// that are safe to retry.
package client

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/filbertlever/filbertlever"
	filbertleverv1 "github.com/filbertlever/filbertlever/pkg/api/filbertlever/v1"
	"github.com/filbertlever/filbertlever/pkg/api/filbertlever/v1/filbertleverv1connect"
)

// Config is the configuration of a Client.
type Config struct {
	// Entries are the addresses (IP:port) of entries to contact first. One
	// reachable entry is enough.
	Entries []string
	// Token is an access token of the caller's organisation.
	Token string
	// TLS must trust the authority that signed the entries' certificates.
	TLS *tls.Config
	// Site is the caller's site. It is optional.
	Site string
	// DialTimeout bounds a connection attempt. Zero means one second.
	DialTimeout time.Duration
	// Dial connects to an address. Nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Silence is the time without an event of an answer after which the question is
	// also sent to another entry. Zero means 15 seconds.
	Silence time.Duration
}

// Errors of requests.
var (
	// ErrNotRun means that the request did not run.
	ErrNotRun = errors.New("not run")
	// ErrUnknown means that an order may have run. Lookup returns its outcome
	// later.
	ErrUnknown = errors.New("outcome unknown")
	// ErrIncomplete means that an answer was interrupted and could not be
	// completed.
	ErrIncomplete = errors.New("answer incomplete")
	// ErrNoEntry means that no entry could be reached.
	ErrNoEntry = errors.New("no entry reachable")
)

// Refusal is an ErrNotRun with the time after which to retry.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("not run: %s (retry after %s)", r.Reason, r.RetryAfter)
}

// Is reports whether target is ErrNotRun.
func (r *Refusal) Is(target error) bool { return target == ErrNotRun }

// Client sends requests of one organisation to the system. It is safe for
// concurrent use.
type Client struct {
	config Config
	http   *http.Client

	mu sync.Mutex
	// entries are the addresses of the last response of Locate. They are valid
	// until entriesExpire.
	entries       []string
	entriesExpire time.Time
	// avoidUntil maps each address that failed to the time until which other
	// addresses are preferred.
	avoidUntil map[string]time.Time
}

// Defaults and timeouts. An address that failed is avoided for avoidDuration.
// Pings detect dead connections.
const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 15 * time.Second
	avoidDuration      = 5 * time.Second
	retryDelay         = 50 * time.Millisecond
	pingInterval       = 2 * time.Second
	pingTimeout        = 2 * time.Second
)

// maxMessageBytes is the largest message that is read from an entry.
const maxMessageBytes = 32 << 20

// New returns a client and a function that closes its idle connections.
func New(config Config) (*Client, func()) {
	if config.DialTimeout == 0 {
		config.DialTimeout = defaultDialTimeout
	}
	if config.Silence == 0 {
		config.Silence = defaultIdleTimeout
	}
	if config.Dial == nil {
		config.Dial = (&net.Dialer{Timeout: config.DialTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:         config.Dial,
		TLSClientConfig:     config.TLS,
		TLSHandshakeTimeout: 2 * config.DialTimeout,
		ForceAttemptHTTP2:   true,
		HTTP2:               &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	}
	c := &Client{config: config, http: &http.Client{Transport: transport}, avoidUntil: map[string]time.Time{}}
	return c, transport.CloseIdleConnections
}

// Must wraps a call of New and panics if the configuration has no entries.
func Must(client *Client, closeIdle func()) (*Client, func()) {
	if len(client.config.Entries) == 0 {
		panic("client: no entries configured")
	}
	return client, closeIdle
}

// NewKey returns a new random idempotency key.
func NewKey() string {
	var random [16]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// Located is a response of Locate.
type Located struct {
	Entries       []Entry
	Keep          time.Duration
	BundleVersion uint64
}

// Entry is an entry host that a caller may use.
type Entry struct {
	Host    filbertlever.HostID
	Address string
	Site    string
}

// Locate asks the system which entries to use, and caches the response.
func (c *Client) Locate(ctx context.Context) (*Located, error) {
	var failures []error
	for _, address := range c.candidates() {
		response, err := c.service(address).Locate(ctx, connect.NewRequest(&filbertleverv1.LocateRequest{Site: c.config.Site}))
		if err != nil {
			failures = append(failures, c.markFailed(address, err))
			continue
		}
		located := &Located{Keep: response.Msg.Keep.AsDuration(), BundleVersion: response.Msg.BundleVersion}
		for _, entry := range response.Msg.Entries {
			located.Entries = append(located.Entries, Entry{Host: filbertlever.HostID(entry.Host), Address: entry.Address, Site: entry.Site})
		}
		c.setEntries(response.Msg.Entries, located.Keep)
		return located, nil
	}
	return nil, errors.Join(append([]error{ErrNoEntry}, failures...)...)
}

// setEntries replaces the cached addresses and sets how long they are valid.
func (c *Client) setEntries(entries []*filbertleverv1.EntryAddress, validFor time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(entries) == 0 {
		return
	}
	c.entries = nil
	for _, entry := range entries {
		c.entries = append(c.entries, entry.Address)
	}
	c.entriesExpire = time.Now().Add(validFor)
}

// candidates returns the addresses to try, best first: the cached ones, then the
// configured ones. Those that failed recently come last.
func (c *Client) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	seen := map[string]bool{}
	var preferred, avoided []string
	for _, address := range append(append([]string(nil), c.entries...), c.config.Entries...) {
		if seen[address] {
			continue
		}
		seen[address] = true
		if now.Before(c.avoidUntil[address]) {
			avoided = append(avoided, address)
		} else {
			preferred = append(preferred, address)
		}
	}
	return append(preferred, avoided...)
}

// address returns the address to use. It calls Locate if the cached addresses
// have expired.
func (c *Client) address(ctx context.Context) (string, error) {
	c.mu.Lock()
	valid := len(c.entries) > 0 && time.Now().Before(c.entriesExpire)
	c.mu.Unlock()
	if !valid {
		if _, err := c.Locate(ctx); err != nil {
			return "", err
		}
	}
	return c.candidates()[0], nil
}

// otherAddress returns the best address besides one.
func (c *Client) otherAddress(address string) (string, bool) {
	for _, other := range c.candidates() {
		if other != address {
			return other, true
		}
	}
	return "", false
}

// markFailed makes other addresses preferred for avoidDuration and wraps the
// error.
func (c *Client) markFailed(address string, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[address] = time.Now().Add(avoidDuration)
	return fmt.Errorf("entry %s: %w", address, err)
}

func (c *Client) service(address string) filbertleverv1connect.CallerServiceClient {
	return filbertleverv1connect.NewCallerServiceClient(c.http, "https://"+address, connect.WithReadMaxBytes(maxMessageBytes))
}

func withToken[T any](message *T, token string) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+token)
	return request
}

// isPermanent reports whether an error is caused by the request itself, so that
// every entry would return it.
func isPermanent(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated, connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodePermissionDenied, connect.CodeFailedPrecondition:
		return true
	}
	return false
}

// sleep waits, or returns the error of ctx once ctx is done.
func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

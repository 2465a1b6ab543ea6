package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// Bounds of what other processes say.
const (
	// maxPeerResponse bounds an answer of another entry: whole tables of hundreds of servers
	// and of a desired state have 2 MB, and a reader keeps as much again of changes.
	maxPeerResponse = 32 << 20
	// maxNameBytes bounds names, as the store does its keys.
	maxNameBytes = 200
	// maxRequests bounds the requests that one process has at one server.
	maxRequests = 1 << 20
	maxModels   = 256
	// maxPace bounds how many times slower than it should be a server is.
	maxPace = 1000
	// maxLookahead bounds how far ahead a report tells: a change of weights takes seconds.
	maxLookahead = time.Hour
	// revisionMost is the largest revision that all readers of JSON agree on.
	revisionMost = 1 << 53
)

// What was expected of other processes.
var (
	errAddress  = errors.New("expected HOST:PORT")
	errName     = fmt.Errorf("expected a name of 1 to %d bytes", maxNameBytes)
	errRequests = fmt.Errorf("expected 0 to %d requests", maxRequests)
	errPace     = fmt.Errorf("expected a pace of 0 to %d", maxPace)
	errAge      = errors.New("expected a time that can be")
	errRevision = fmt.Errorf("expected a revision of up to %d", uint64(revisionMost))
	errTooLarge = errors.New("the answer is too large")
)

// decodeResponse decodes what another process answered, up to a bound.
func decodeResponse(body io.Reader, out any) error {
	data, err := io.ReadAll(io.LimitReader(body, maxPeerResponse+1))
	switch {
	case err != nil:
		return err
	case len(data) > maxPeerResponse:
		return errTooLarge
	}
	return json.Unmarshal(data, out)
}

// decodeEntries decodes the entries that another one knows, those that can be called.
func decodeEntries(body io.Reader) ([]Entry, error) {
	var list []json.RawMessage
	if err := decodeResponse(body, &list); err != nil {
		return nil, fmt.Errorf("decode entries: %w", err)
	}
	var entries []Entry
	for _, raw := range list {
		var entry Entry
		if json.Unmarshal(raw, &entry) == nil && entry.check() == nil {
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

func (e *Entry) check() error {
	if e.Host == "" || len(e.Host) > maxNameBytes {
		return fmt.Errorf("host: %w", errName)
	}
	return errors.Join(checkAddress("Callers", e.Callers), checkAddress("Peers", e.Peers), checkAddress("Datagrams", e.Datagrams))
}

func checkAddress(field, address string) error {
	host, port, err := net.SplitHostPort(address)
	if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || n == 0 || host == "" {
		return fmt.Errorf("%s: %w", field, errAddress)
	}
	return nil
}

func (b *Beat) check() error {
	if b == nil {
		return nil
	}
	return errors.Join(checkNamed(b.Named), b.Entry.check())
}

func checkNamed(named []NamedAge) error {
	for _, n := range named {
		if n.Age < 0 || n.Version > revisionMost {
			return fmt.Errorf("named: %w", errAge)
		}
	}
	return nil
}

func (c *Counts) check() error {
	if c == nil {
		return nil
	}
	if c.From == "" || len(c.From) > maxNameBytes {
		return fmt.Errorf("from: %w", errName)
	}
	for _, n := range c.Requests {
		if n < 0 || n > maxRequests {
			return fmt.Errorf("requests: %w", errRequests)
		}
	}
	return nil
}

func (l *LoadReport) check() error {
	if l == nil {
		return nil
	}
	load := &l.Load
	if load.Running < 0 || load.Running > maxRequests || load.Queued < 0 || load.Queued > maxRequests {
		return fmt.Errorf("load: %w", errRequests)
	}
	if load.LeavesIn > maxLookahead || load.LoadedIn > maxLookahead {
		return fmt.Errorf("load: %w", errAge)
	}
	if !(load.Pace >= 0 && load.Pace <= maxPace) {
		return fmt.Errorf("load: %w", errPace)
	}
	return errors.Join(checkModels(load.Models), checkNamed(l.Named))
}

func checkModels(models []catalog.Model) error {
	for _, m := range models {
		if m.Name == "" || len(m.Name) > maxNameBytes || m.Version > revisionMost || len(models) > maxModels {
			return fmt.Errorf("models: %w", errName)
		}
	}
	return nil
}

// joinRows makes one list of several; what is no list has no rows.
func joinRows(lists []json.RawMessage) []byte {
	var joined []byte
	for _, list := range lists {
		list = bytes.TrimSpace(list)
		if len(list) < 2 || list[0] != '[' {
			continue
		}
		rows := bytes.TrimSpace(list[1 : len(list)-1])
		if len(rows) == 0 {
			continue
		}
		joined = append(append(joined, ','), rows...)
	}
	if len(joined) == 0 {
		return nil
	}
	joined[0] = '['
	return append(joined, ']')
}

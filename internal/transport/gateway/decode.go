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
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
)

// Limits on data from other processes.
const (
	// maxPeerResponse bounds the response of another entry. Whole tables of hundreds of
	// servers and of a desired state take 2 MB, and a reader keeps the same amount of changes.
	maxPeerResponse = 32 << 20
	// maxNameBytes bounds names. The store has the same bound on its keys.
	maxNameBytes = 200
	// maxRequests bounds the requests of one process at one server.
	maxRequests = 1 << 20
	// maxModels bounds the models of one server.
	maxModels = 256
	// maxSlowdown bounds the slowdown factor of a server compared with its expected speed.
	maxSlowdown = 1000
	// maxLookahead bounds the predicted times in a load report. A change of weights takes
	// seconds.
	maxLookahead = time.Hour
	// maxFreeMemory bounds the free cache of a server, in tokens times layers. 10 million tokens at a
	// thousand layers fit.
	maxFreeMemory = 1 << 40
	// maxRevision is the limit up to which JSON decoders represent integers exactly.
	maxRevision = 1 << 53
)

// Validation errors.
var (
	errAddress    = errors.New("expected HOST:PORT")
	errName       = fmt.Errorf("expected a name of 1 to %d bytes", maxNameBytes)
	errRequests   = fmt.Errorf("expected 0 to %d requests", maxRequests)
	errSlowdown   = fmt.Errorf("expected a pace of 0 to %d", maxSlowdown)
	errOutOfRange = errors.New("value out of range")
	errRevision   = fmt.Errorf("expected a revision of up to %d", uint64(maxRevision))
	errTooLarge   = errors.New("response too large")
)

// decodeResponse decodes a JSON response of at most maxPeerResponse bytes.
func decodeResponse(body io.Reader, out any) error {
	data, err := io.ReadAll(io.LimitReader(body, maxPeerResponse+1))
	switch {
	case err != nil:
		return err
	case len(data) > maxPeerResponse:
		return fmt.Errorf("%w: more than %d bytes", errTooLarge, maxPeerResponse)
	}
	return json.Unmarshal(data, out)
}

// decodeEntries decodes a list of entries, without those that are malformed.
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

// check validates an entry.
func (e *Entry) check() error {
	if e.Host == "" || len(e.Host) > maxNameBytes {
		return fmt.Errorf("host: %w", errName)
	}
	return errors.Join(checkAddress("Callers", e.Callers), checkAddress("Peers", e.Peers), checkAddress("Datagrams", e.Datagrams))
}

// checkAddress validates the address in a field of an entry.
func checkAddress(field, address string) error {
	host, port, err := net.SplitHostPort(address)
	if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || n == 0 || host == "" {
		return fmt.Errorf("%s %.200q: %w", field, address, errAddress)
	}
	return nil
}

// check validates a heartbeat, or nil.
func (b *Heartbeat) check() error {
	if b == nil {
		return nil
	}
	return errors.Join(checkNamed(b.Named), b.Entry.check())
}

func checkNamed(named []NamedAge) error {
	for _, n := range named {
		if n.Age < 0 || n.Version > maxRevision {
			return fmt.Errorf("named: version %d, age %v: %w", n.Version, n.Age, errOutOfRange)
		}
	}
	return nil
}

// check validates counts, or nil.
func (c *Counts) check() error {
	if c == nil {
		return nil
	}
	if c.From == "" || len(c.From) > maxNameBytes {
		return fmt.Errorf("from: %w", errName)
	}
	for id, n := range c.Requests {
		if n < 0 || n > maxRequests {
			return fmt.Errorf("requests: %d at %.200q: %w", n, id, errRequests)
		}
	}
	return errors.Join(checkSpeeds(c.Speeds), checkDemand(c.Demand))
}

// checkRateReports validates reports about rate limits.
func checkRateReports(reports []fleet.RateReport) error {
	for _, r := range reports {
		if r.Backend == "" || len(r.Backend) > maxNameBytes {
			return fmt.Errorf("rate report: %w", errName)
		}
		if !(r.PerSecond >= 0) || r.Age < 0 {
			return fmt.Errorf("rate report: %v a second, age %v: %w", r.PerSecond, r.Age, errOutOfRange)
		}
	}
	return nil
}

// check validates a load report, or nil.
func (l *LoadReport) check() error {
	if l == nil {
		return nil
	}
	load := &l.Load
	if load.Running < 0 || load.Running > maxRequests || load.Queued < 0 || load.Queued > maxRequests {
		return fmt.Errorf("load: %d running, %d queued: %w", load.Running, load.Queued, errRequests)
	}
	if load.LeavesIn > maxLookahead || load.LoadedIn > maxLookahead {
		return fmt.Errorf("load: leaves in %v, loaded in %v: %w", load.LeavesIn, load.LoadedIn, errOutOfRange)
	}
	if !(load.Pace >= 0 && load.Pace <= maxSlowdown) {
		return fmt.Errorf("load: pace %v: %w", load.Pace, errSlowdown)
	}
	if load.FreeMemory != nil && (*load.FreeMemory < 0 || *load.FreeMemory > maxFreeMemory) {
		return fmt.Errorf("load: free memory %d: %w", *load.FreeMemory, errOutOfRange)
	}
	return errors.Join(checkModels(load.Models), checkNamed(l.Named))
}

func checkModels(models []catalog.Model) error {
	for _, m := range models {
		if m.Name == "" || len(m.Name) > maxNameBytes || m.Version > maxRevision || len(models) > maxModels {
			return fmt.Errorf("models: %w", errName)
		}
	}
	return nil
}

// joinRows joins JSON lists into one. Values that are not lists are skipped.
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

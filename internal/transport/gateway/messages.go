package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
)

// Datagram is a message between processes that may be lost.
type Datagram struct {
	// Beat is an entry's heartbeat.
	Beat *Beat `cbor:"1,keyasint,omitempty"`
	// Counts is an entry's requests at backend servers.
	Counts *Counts `cbor:"2,keyasint,omitempty"`
	// Load is an agent's report on its backend server.
	Load *LoadReport `cbor:"3,keyasint,omitempty"`
	// Changed tells an agent that the sender knows more of versions than it does.
	Changed bool `cbor:"4,keyasint,omitempty"`
	// News is of requests that end the servers that run them.
	News *quarantine.News `cbor:"5,keyasint,omitempty"`
}

// Beat tells other entries that one lives.
type Beat struct {
	Entry Entry `cbor:"1,keyasint"`
	Ready bool  `cbor:"2,keyasint,omitempty"`
	// StoreUnreachable is true while the store does not answer the entry.
	StoreUnreachable bool       `cbor:"3,keyasint,omitempty"`
	Named            []NamedAge `cbor:"4,keyasint,omitempty"`
	// Held differs between entries that keep different requests from servers; 0: none.
	Held uint64 `cbor:"5,keyasint,omitempty"`
	// Restored is true once the entry knows the verdicts that were made before it started.
	Restored bool `cbor:"6,keyasint,omitempty"`
	// StoreUptime is since when and until when the store has answered, as far as the entry knows;
	// nil if it knows of no answer lately.
	StoreUptime *StoreUptime `cbor:"7,keyasint,omitempty"`
	// StoreAnswerAgeMs is how many milliseconds ago the store last answered the entry itself; 0 if
	// that was too long ago to matter.
	StoreAnswerAgeMs uint16 `cbor:"8,keyasint,omitempty"`
}

// Counts tells how many requests an entry has at each backend server.
type Counts struct {
	From filbertlever.HostID `cbor:"1,keyasint"`
	// Sequence orders the counts of one entry, also across its restarts.
	Sequence int64          `cbor:"2,keyasint"`
	Requests map[string]int `cbor:"3,keyasint,omitempty"`
	// Silent are servers of the entry's region that have fallen silent.
	Silent []string `cbor:"4,keyasint,omitempty"`
	// Boots are the processes that the counts are of, for servers that started again
	// lately.
	Boots map[string]catalog.Boot `cbor:"5,keyasint,omitempty"`
}

// NamedAge is a named version and how long ago it was named.
type NamedAge struct {
	Model   string        `cbor:"1,keyasint"`
	Version uint64        `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint"`
	// Known is false if the age is not known by any process.
	Known bool `cbor:"4,keyasint,omitempty"`
}

// LoadReport is a backend server's load, and what its agent knows of versions.
type LoadReport struct {
	Load fleet.Load `cbor:"1,keyasint"`
	// Named are the versions that the agent knows of; nil before it has a view.
	Named []NamedAge `cbor:"2,keyasint"`
}

// decMode bounds what a message may hold.
var decMode = mustDecMode()

// maxItems bounds the servers that one message tells of, as 8 KiB do.
const maxItems = 1 << 10

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxMapPairs: maxItems, MaxArrayElements: maxItems}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeDatagram encodes a message between processes, in CBOR with numbers for the names
// of fields.
func EncodeDatagram(d Datagram) ([]byte, error) {
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode datagram: %w", err)
	}
	return data, nil
}

// DecodeDatagram decodes a message between processes.
//
// Guard: anything may arrive at the socket. A heartbeat without addresses was called
// back nowhere, and figures that cannot be would keep a server out of use for ever.
func DecodeDatagram(data []byte) (*Datagram, error) {
	var d Datagram
	if err := decMode.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("decode datagram: %w", err)
	}
	if err := errors.Join(d.Beat.check(), d.Counts.check(), d.Load.check(), d.News.Check()); err != nil {
		return nil, fmt.Errorf("decode datagram: %w", err)
	}
	return &d, nil
}

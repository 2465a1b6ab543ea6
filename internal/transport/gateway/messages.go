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
	"github.com/filbertlever/filbertlever/internal/coordination/speed"
)

// Datagram is a message between entries, or between an entry and an agent. Delivery is not
// guaranteed.
type Datagram struct {
	// Heartbeat is the heartbeat of an entry.
	Heartbeat *Heartbeat `cbor:"1,keyasint,omitempty"`
	// Counts are the requests of an entry in flight at backend servers.
	Counts *Counts `cbor:"2,keyasint,omitempty"`
	// Load is an agent's report on its backend server.
	Load *LoadReport `cbor:"3,keyasint,omitempty"`
	// Changed notifies an agent that its view of the named versions is probably outdated.
	Changed bool `cbor:"4,keyasint,omitempty"`
	// Crashes reports requests that crash backend servers.
	Crashes *quarantine.CrashReport `cbor:"5,keyasint,omitempty"`
	// RateReports are what the entry reports about the rate limits of backend servers.
	RateReports []fleet.RateReport `cbor:"6,keyasint,omitempty"`
	// Named are, with Changed, the sender's named versions of the server's models. Earlier
	// builds send none, and expect the view to be read again in any case.
	Named []NamedAge `cbor:"7,keyasint,omitempty"`
}

// Heartbeat reports the state of an entry to the others.
type Heartbeat struct {
	Entry Entry `cbor:"1,keyasint"`
	// Ready is true if the entry accepts callers.
	Ready bool `cbor:"2,keyasint,omitempty"`
	// StoreUnreachable is true while the store does not answer the entry.
	StoreUnreachable bool `cbor:"3,keyasint,omitempty"`
	// Named are the named versions that the entry has observed, with their ages.
	Named []NamedAge `cbor:"4,keyasint,omitempty"`
	// HeldDigest is a digest of the quarantined requests; 0 if there are none. It differs
	// between entries that hold different ones.
	HeldDigest uint64 `cbor:"5,keyasint,omitempty"`
	// Restored is true once the entry has the quarantine verdicts from before its start.
	Restored bool `cbor:"6,keyasint,omitempty"`
	// StoreUptime is the latest period in which the store answered, by the reports that
	// the entry has; nil if there is no recent one.
	StoreUptime *StoreUptime `cbor:"7,keyasint,omitempty"`
	// StoreAnswerAgeMs is how many milliseconds ago the store last answered the entry itself;
	// 0 if that is longer ago than storeAnswerTTL.
	StoreAnswerAgeMs uint16 `cbor:"8,keyasint,omitempty"`
	// ReportsRegion is true if the entry reports all entries of its region as alive, except for
	// Down, which is sorted.
	ReportsRegion bool                  `cbor:"9,keyasint,omitempty"`
	Down          []filbertlever.HostID `cbor:"10,keyasint,omitempty"`
}

// Counts reports the requests that an entry has in flight at each backend server.
type Counts struct {
	From filbertlever.HostID `cbor:"1,keyasint"`
	// Sequence orders the counts of one entry, including across its restarts.
	Sequence int64 `cbor:"2,keyasint"`
	// Requests has the number of requests by server ID.
	Requests map[string]int `cbor:"3,keyasint,omitempty"`
	// Silent are the unresponsive servers of the entry's region.
	Silent []string `cbor:"4,keyasint,omitempty"`
	// Boots identifies the server processes that the counts refer to, for servers that
	// restarted recently.
	Boots map[string]catalog.Boot `cbor:"5,keyasint,omitempty"`
	// Speeds are what the entry observed of the speed of servers. They are sent to the entry's region
	// only.
	Speeds map[string]speed.Observation `cbor:"6,keyasint,omitempty"`
	// Demand is the demand at the entry for contended services with urgency levels. It is sent to the
	// entries of other regions only while a region has no server of the service.
	Demand []ServiceDemand `cbor:"7,keyasint,omitempty"`
}

// NamedAge is a version that operators have named, and how long ago.
type NamedAge struct {
	Model   string        `cbor:"1,keyasint"`
	Version uint64        `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint"`
	// Known is false if no process has observed the naming. The age is then the largest possible one.
	Known bool `cbor:"4,keyasint,omitempty"`
}

// LoadReport is the load of a backend server, and the versions that its agent has in its
// view.
type LoadReport struct {
	Load fleet.Report `cbor:"1,keyasint"`
	// Named are the named versions of the agent's view; nil before it has a view.
	Named []NamedAge `cbor:"2,keyasint"`
}

// decMode limits the size and nesting of a message.
var decMode = mustDecMode()

// maxItems bounds the servers in one message, as does the datagram size of 8 KiB.
const maxItems = 1 << 10

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxMapPairs: maxItems, MaxArrayElements: maxItems}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeDatagram encodes a message in CBOR, with integer keys in place of field names.
func EncodeDatagram(d Datagram) ([]byte, error) {
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode datagram: %w", err)
	}
	return data, nil
}

// DecodeDatagram decodes and validates a message.
//
// The socket may receive arbitrary data. An entry whose heartbeat has no valid
// addresses cannot be contacted, and out-of-range load values would keep a server out of use
// permanently.
func DecodeDatagram(data []byte) (*Datagram, error) {
	var d Datagram
	if err := decMode.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("decode datagram: %w", err)
	}
	if err := errors.Join(d.Heartbeat.check(), d.Counts.check(), d.Load.check(), d.Crashes.Validate(), checkRateReports(d.RateReports), checkNamed(d.Named)); err != nil {
		return nil, fmt.Errorf("decode datagram: %w", err)
	}
	return &d, nil
}

// Package gateway is an entry on an installation: it takes callers' requests,
// places each at a backend server, and returns one whole answer. What the
// installation speaks is behind the interfaces of this file.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
)

// Call is a caller's request.
type Call struct {
	// ID names one attempt of a caller.
	ID     string
	Method string
	Host   string
	// Path selects the route; Target is the path and query as they were sent.
	Path   string
	Target string
	// Header is what is passed on as the caller sent it.
	Header http.Header
	Key    string
	// Bounded is true if the caller said how long it waits, which is Left.
	Bounded bool
	Left    time.Duration
	// Model is empty for plain services.
	Model        string
	PromptTokens int
	// AnswerTokens is how long the answer will be: the caller's guess, which is
	// right in the middle and often far off, or else its limit; 0 if it said neither.
	AnswerTokens int
	// LastEvent is the last event of a stream that the caller has; may be empty.
	LastEvent string
	Body      []byte
}

// Codec reads the head of callers' requests.
type Codec interface {
	Parse(r *http.Request) (*Call, error)
}

// Dispatch is a request on its way to one backend server.
type Dispatch struct {
	Call         *Call
	Backend      catalog.Backend
	Organisation filbertlever.OrganisationID
	// Urgency is 0 for the most urgent; negative sends none.
	Urgency int
	// Left is the time that the server has.
	Left time.Duration
	// Version is the only version of the weights that may answer; 0 means any.
	Version uint64
	// LastEvent is the event after which a stream goes on; may be empty.
	LastEvent string
	// Still is asked right before the request is sent; an error says that it must not be.
	Still func() error
}

// Reply is the head of a backend server's answer.
type Reply struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is negative if the server did not say.
	Length int64
	// Sound is true if the answer bears the server's receipt and is as it was made.
	Sound bool
	// Stream is true if the body is a series of events.
	Stream bool
	// NotRun is true if the server says that it did not run the request.
	NotRun bool
	// Moved is true if another server, or other weights, were met than expected.
	Moved bool
	// Life names the server that answered, if it is another than expected.
	Life string
	// Leaves is true if the server says that it is about to end.
	Draining bool
	// Closes is true if the server closes the connection after the answer.
	Closes bool
	// Rest is how long the server wants no more requests of this entry; 0 if it did not say.
	RetryAfter time.Duration
	// Version is the version of the weights that answer; 0 if unknown.
	Version uint64
	// Finish ends the use of the channel, which is kept only after a whole answer.
	Finish func(whole bool)
}

// Sender sends requests to backend servers. An error that is a
// *channel.SendError tells whether the request may have reached the server.
type Sender interface {
	Send(ctx context.Context, dispatch *Dispatch) (*Reply, error)
	// Gone reports whether nothing listens at a server's address.
	Gone(backend catalog.Backend) bool
}

// ErrHistoryGone means that a feed can no longer go on from a revision.
var ErrHistoryGone = errors.New("the history asked for is gone")

// ErrTurnedAway means that the store answers this process, or refuses its connections, and
// does not serve it.
var ErrTurnedAway = errors.New("the store turns this process away")

// Table names a table of the store by what it holds.
type Table string

// The tables.
const (
	TableDesired  Table = "Desired"
	TableBackends Table = "Backends"
	TableEntries  Table = "Entries"
	TableHolds    Table = "Holds"
	TableVersions Table = "Versions"
)

// Rows are rows of a table as the store sent them.
type Rows struct {
	// Revision is that of the whole store.
	Revision uint64
	// Raw is opaque; it is empty if there are no rows.
	Raw []byte
	// packed is Raw as another entry told it; nil if they came from the store.
	packed []byte
}

// Cause says why a row names nothing.
type Cause string

// The causes.
const (
	// CauseEnvelope: it is no row of its table, or its key, revision or value cannot
	// be had.
	CauseEnvelope Cause = "Envelope"
	// CauseBytes: its value is not an object of readable fields.
	CauseBytes Cause = "Bytes"
	// CauseSize: it is larger than any row of its table.
	CauseSize Cause = "Size"
	// CauseMissing and CauseType: a field is not there, or of another type.
	CauseMissing Cause = "Missing"
	CauseType    Cause = "Type"
	// CauseRange: a field is of its type, and says what cannot be.
	CauseRange Cause = "Range"
	// CauseState and CauseService: a state that has no name here, and a service that
	// the desired state in force does not name.
	CauseState   Cause = "State"
	CauseService Cause = "Service"
)

// BadRow is a row that names nothing: another program may have written it.
type BadRow struct {
	Table Table
	// Key and Revision are empty and 0 if they cannot be read.
	Key      string
	Revision uint64
	Cause    Cause
	// Err says which field, and what was expected.
	Err error
}

func (b BadRow) Error() string {
	return fmt.Sprintf("decode row %.200q of table %s, revision %d: %s: %v", b.Key, b.Table, b.Revision, b.Cause, b.Err)
}

func (b BadRow) Unwrap() error { return b.Err }

// Desired is the desired state, or what has changed of it.
type Desired struct {
	// State is nil if it has not changed.
	State *catalog.State
	Named []catalog.NamedVersion
	Bad   []BadRow
}

// Backends is the list of backend servers, or what has changed of it.
type Backends struct {
	Present []catalog.Backend
	// Gone are also those whose row is bad now.
	Gone []string
	Bad  []BadRow
}

// Entry is how an entry registers.
type Entry struct {
	Host   filbertlever.HostID `cbor:"1,keyasint"`
	Site   string              `cbor:"2,keyasint"`
	Region string              `cbor:"3,keyasint"`
	// Callers is where callers connect, Peers where other processes do.
	Callers string `cbor:"4,keyasint"`
	Peers   string `cbor:"5,keyasint"`
	// Datagrams is where heartbeats and load reports are sent.
	Datagrams string `cbor:"6,keyasint"`
	// Incarnation names this life of the process.
	Incarnation filbertlever.Incarnation `cbor:"7,keyasint"`
}

// Entries is the list of entries, or what has changed of it.
type Entries struct {
	Present []Entry
	// Gone are also those whose row is bad now.
	Gone []string
	Bad  []BadRow
}

// Store is what an entry needs of the platform's store. Follow returns after
// wait at the latest, also if nothing has changed. Desired, Backends and Entries
// decode rows that are newer than a revision, each by itself: they fail only if
// there are no rows to be told apart.
type Store interface {
	Read(ctx context.Context, table Table) (Rows, error)
	Follow(ctx context.Context, table Table, after uint64, wait time.Duration) (Rows, error)
	Desired(rows Rows, after uint64) (Desired, error)
	Backends(rows Rows, after uint64) (Backends, error)
	Entries(rows Rows, after uint64) (Entries, error)
	Register(ctx context.Context, entry Entry) error
	Unregister(ctx context.Context, entry Entry) error
	// Holds returns the requests that are kept from all servers, and rows that tell of none;
	// KeepHold writes one, and DropHolds removes what is kept no more.
	Holds(ctx context.Context) ([]quarantine.Hold, []BadRow, error)
	KeepHold(ctx context.Context, hold quarantine.Hold) error
	DropHolds(ctx context.Context, requests []quarantine.Fingerprint) error
	// KeepVersions writes when a host learned of the named versions. Versions returns what hosts
	// have written, as ages at the time of the call or a little more, and rows that cannot be read.
	KeepVersions(ctx context.Context, host filbertlever.HostID, named []NamedAge) error
	Versions(ctx context.Context) ([]NamedAge, []BadRow, error)
}

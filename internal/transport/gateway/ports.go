// Package gateway implements an entry: it accepts callers' requests, forwards each to a backend
// server, and returns exactly one complete response. The interfaces in this file separate it from
// the protocol of the installation.
package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/intake"
	"github.com/filbertlever/filbertlever/internal/coordination/liveness"
	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
	"github.com/filbertlever/filbertlever/internal/coordination/revision"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
)

// Call is a caller's request.
type Call struct {
	// ID identifies one attempt of a caller.
	ID     string
	Method string
	Host   string
	// Path selects the route. Target is the path and query exactly as the caller sent them.
	Path   string
	Target string
	// Header holds the headers that are forwarded unchanged.
	Header http.Header
	Key    string
	// HasTimeout is true if the caller sent a timeout, which is then in Timeout.
	HasTimeout bool
	Timeout    time.Duration
	// Model is empty for plain services.
	Model string
	// PromptParts are the IDs of the parts of the prompt, in order. Requests share parts; the last one
	// usually belongs to the request or to its session.
	PromptParts  []string
	PromptTokens int
	// AnswerTokens is the expected length of the answer: the caller's estimate, whose median is
	// right but which is often far off, or otherwise the caller's limit. It is 0 if the caller sent
	// neither.
	AnswerTokens int
	// LastEvent is the ID of the last stream event that the caller has received; may be empty.
	LastEvent string
	Body      intake.Body
}

// maxLoggedBytes is how much of what a caller sent is repeated in a log line.
const maxLoggedBytes = 128

// logID returns the ID as it is logged.
func (c *Call) logID() string { return shortened(c.ID) }

func shortened(text string) string { return text[:min(len(text), maxLoggedBytes)] }

// Codec parses the head of callers' requests.
type Codec interface {
	Parse(r *http.Request) (*Call, error)
}

// Dispatch is a request to be sent to one backend server.
type Dispatch struct {
	Call         *Call
	Backend      catalog.Backend
	Organisation filbertlever.OrganisationID
	// Priority is 0 for the most urgent requests. If negative, no priority is sent.
	Priority int
	// TimeLeft returns the time that the server has to answer. It is called immediately before the
	// request is sent, because a connection may take some time to open.
	TimeLeft func() time.Duration
	// Version is the only version of the weights that may answer; 0 means any.
	Version uint64
	// LastEvent is the ID of the event after which a stream is resumed; may be empty.
	LastEvent string
	// BeforeSend is called immediately before the request is sent. If it returns an error, the
	// request is not sent.
	BeforeSend func() error
}

// Reply is the head of a backend server's response.
type Reply struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is negative if the server did not send a length.
	Length int64
	// UntilClose is true if the body has neither a length nor chunks. It ends with its connection, so
	// that its end does not show that it is complete.
	UntilClose bool
	// Verified is true if the response carries the server's receipt and was not altered in transit.
	Verified bool
	// Stream is true if the body is an event stream.
	Stream bool
	// NotRun is true if the server states that it did not run the request.
	NotRun bool
	// Misdirected is true if a different server, or different weights, were found at the address.
	Misdirected bool
	// ActualServer identifies the server that answered if it is not the expected one.
	ActualServer string
	// Date is the date of the response by the server's clock, in whole seconds; zero if unknown.
	Date time.Time
	// Draining is true if the server announces that it is about to stop.
	Draining bool
	// ConnectionClose is true if the server closes the connection after this response.
	ConnectionClose bool
	// RetryAfter is how long the server wants no more requests from this entry; 0 if unspecified.
	RetryAfter time.Duration
	// RateLimit is the number of requests a second that the server takes from all entries together;
	// nil if it names none. RateLimitErr is why a limit that it named cannot be used.
	RateLimit    *float64
	RateLimitErr error
	// Version is the version of the weights that answer; 0 if unknown.
	Version uint64
	// Failure returns why the connection did not end in an orderly way; nil if nothing shows that. It may be nil,
	// and must not be called after Finish.
	Failure func() error
	// Finish releases the connection, which is reused only if the response was read completely.
	Finish func(whole bool)
}

// framing names what ends the body, for the log.
func (r *Reply) framing() string {
	switch {
	case r.UntilClose:
		return "UntilClose"
	case r.Length >= 0:
		return "Length"
	}
	return "Chunks"
}

// Sender sends requests to backend servers. An error that is a *channel.SendError indicates whether
// the request may have reached the server.
type Sender interface {
	Send(ctx context.Context, dispatch *Dispatch) (*Reply, error)
	// Probe asks what runs at a server's address for its identity, at the path at which servers name
	// themselves. If path is empty, it only finds out whether the address refuses connections. The error
	// explains why the check names no server.
	Probe(ctx context.Context, backend catalog.Backend, path string) (liveness.Check, error)
}

// ErrRevisionPruned means that a feed no longer holds all changes since the requested revision.
var ErrRevisionPruned = errors.New("the requested revision is no longer in the history")

// ErrStoreRestored means that the store was restored from an older copy since the requested revision,
// which it no longer has or has given out again.
var ErrStoreRestored = fmt.Errorf("the store was restored from an older copy: %w", ErrRevisionPruned)

// ErrStoreRejected means that the store is reachable but refuses to serve this process: it answers
// with a refusal, or refuses the connection.
var ErrStoreRejected = errors.New("the store refuses to serve this process")

// Table names a table of the store.
type Table string

// The tables.
const (
	TableDesired  Table = "Desired"
	TableBackends Table = "Backends"
	TableEntries  Table = "Entries"
	TableHolds    Table = "Holds"
	TableVersions Table = "Versions"
)

// Rows holds rows of a table as the store sent them.
type Rows struct {
	// Revision is the revision of the whole store, as defined by package revision. The numbers in Raw
	// are of its era.
	Revision uint64
	// Raw is opaque. It is empty if there are no rows.
	Raw []byte
	// AnsweredAt is a time at which the rows were certainly current, on the clock of package boottime; 0 if
	// only that of the call is known.
	AnsweredAt time.Duration
	// changed is when the oldest of the rows was written; zero if unknown.
	changed switchover.Naming
	// batches is Raw as another entry sent it; nil if the rows came from the store.
	batches []rowList
	// observedAge is how long ago the region's reader received the newest rows.
	observedAge time.Duration
	// source is the entry that sent the rows; empty if it was the store. waited is how long its response
	// took to begin, and transferred how long it then took to arrive.
	source              filbertlever.HostID
	waited, transferred time.Duration
}

// sourceStore stands for the store where the source of rows is logged.
const sourceStore filbertlever.HostID = "Store"

// sourceName returns who sent the rows.
func (r *Rows) sourceName() filbertlever.HostID { return cmp.Or(r.source, sourceStore) }

// Cause is why a row cannot be used.
type Cause string

// The causes.
const (
	// CauseEnvelope: the row does not belong to its table, or its key, revision or value cannot be
	// read.
	CauseEnvelope Cause = "Envelope"
	// CauseBytes: the value is not an object of readable fields.
	CauseBytes Cause = "Bytes"
	// CauseSize: the row is larger than any valid row of its table.
	CauseSize Cause = "Size"
	// CauseMissing and CauseType: a field is missing or has the wrong type.
	CauseMissing Cause = "Missing"
	CauseType    Cause = "Type"
	// CauseRange: a field has the right type and an impossible value.
	CauseRange Cause = "Range"
	// CauseState and CauseService: the row has an unknown state, or a service that is not in the
	// active desired state.
	CauseState   Cause = "State"
	CauseService Cause = "Service"
)

// BadRow is a row that cannot be used. Another program may have written it.
type BadRow struct {
	Table Table
	// Key and Revision are empty and 0 if they cannot be read.
	Key      string
	Revision uint64
	Cause    Cause
	// Err names the field and what was expected.
	Err error
}

func (b BadRow) Error() string {
	return fmt.Sprintf("decode row %.200q of table %s, revision %d: %s: %v", b.Key, b.Table, revision.Number(b.Revision), b.Cause, b.Err)
}

func (b BadRow) Unwrap() error { return b.Err }

// Desired holds the desired state, or the changes to it.
type Desired struct {
	// State is nil if it has not changed.
	State *catalog.State
	Named []catalog.ModelVersion
	// Evacuated are the sites that an operator asked to evacuate, and Reopened those whose
	// evacuation has ended.
	Evacuated []string
	Reopened  []string
	// Clamped are the priorities of State that were out of range.
	Clamped []ClampedPriority
	Bad     []BadRow
}

// ClampedPriority is the priority of a route that was limited to its range.
type ClampedPriority struct {
	Route string
	// Value is the number in the desired state, shortened, and Used the one in force.
	Value string
	Used  int
}

// Backends holds the list of backend servers, or the changes to it.
type Backends struct {
	Present []catalog.Backend
	// Removed also lists servers whose row can no longer be used.
	Removed []string
	Bad     []BadRow
}

// Entry is the registration of an entry.
type Entry struct {
	Host   filbertlever.HostID `cbor:"1,keyasint"`
	Site   string              `cbor:"2,keyasint"`
	Region string              `cbor:"3,keyasint"`
	// Callers is the address for callers, Peers the one for other processes.
	Callers string `cbor:"4,keyasint"`
	Peers   string `cbor:"5,keyasint"`
	// Datagrams is the address for heartbeats and load reports.
	Datagrams string `cbor:"6,keyasint"`
	// Incarnation identifies one lifetime of the process.
	Incarnation filbertlever.Incarnation `cbor:"7,keyasint"`
}

// Entries holds the list of entries, or the changes to it.
type Entries struct {
	Present []Entry
	// Removed also lists entries whose row can no longer be used.
	Removed []string
	Bad     []BadRow
}

// Store is an entry's access to the platform's store. Follow begins to answer after wait at the latest,
// even if nothing has changed, and calls onProgress whenever a part of the answer has arrived. RowKey
// returns the key of a row in a list of rows; it is empty if it cannot be read. DecodeDesired, DecodeBackends and DecodeEntries decode the rows that are
// newer than a revision. Each row is decoded on its own, so they fail only if the rows cannot be
// separated.
type Store interface {
	Read(ctx context.Context, table Table) (Rows, error)
	Follow(ctx context.Context, table Table, after uint64, wait time.Duration, onProgress func()) (Rows, error)
	RowKey(row json.RawMessage) string
	DecodeDesired(rows Rows, after uint64) (Desired, error)
	DecodeBackends(rows Rows, after uint64) (Backends, error)
	DecodeEntries(rows Rows, after uint64) (Entries, error)
	Register(ctx context.Context, entry Entry) error
	Unregister(ctx context.Context, entry Entry) error
	// Holds returns what is quarantined and the rows that cannot be read. SaveHold writes one
	// hold, and DeleteHolds removes those that have expired.
	Holds(ctx context.Context) ([]quarantine.Hold, []BadRow, error)
	SaveHold(ctx context.Context, hold quarantine.Hold) error
	DeleteHolds(ctx context.Context, features []quarantine.Feature) error
	// SaveVersions records when a host learned of the named versions. Versions returns what hosts
	// have recorded, as ages at the time of the call or slightly more, and the rows that cannot be
	// read.
	SaveVersions(ctx context.Context, host filbertlever.HostID, named []NamedAge) error
	Versions(ctx context.Context) ([]NamedAge, []BadRow, error)
}

package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// keyOf returns the field K of a row.
func keyOf(row json.RawMessage) string {
	var decoded struct{ K string }
	_ = json.Unmarshal(row, &decoded)
	return decoded.K
}

// Followers that were some desired states behind were sent all of them.
func TestReplacedLargeRowsAreNotSent(t *testing.T) {
	c := qt.New(t)
	large := func(key string, n int) string {
		return fmt.Sprintf(`{"K":%q,"N":%d,"X":%q}`, key, n, strings.Repeat("x", largeRow))
	}
	f, follower := newFeeds(), newFeeds()
	f.rowKey, follower.rowKey = keyOf, keyOf
	f.reset(TableDesired, rows(1, `[`+large("state", 0)+`,{"K":"small"}]`), time.Second)
	f.publish(TableDesired, 1, rows(3, `[`+large("state", 1)+`,{"K":"small","N":1},`+large("state", 2)+`]`), time.Second)
	f.publish(TableDesired, 3, rows(4, `[`+large("state", 3)+`]`), time.Second)
	for after, want := range map[uint64]string{
		0: `[{"K":"small"},{"K":"small","N":1},` + large("state", 3) + `]`,
		1: `[{"K":"small","N":1},` + large("state", 3) + `]`,
		3: `[` + large("state", 3) + `]`,
	} {
		response, ok := f.changesSince(context.Background(), FeedRequest{Table: TableDesired, After: after})
		c.Assert(ok, qt.IsTrue)
		lists, err := decompressRows(response.Compressed)
		c.Assert(err, qt.IsNil)
		c.Check(string(joinRows(rawOf(lists))), qt.Equals, want)
		// An entry that passes the rows on replaces them as well.
		follower.reset(TableDesired, Rows{Revision: 4, Raw: joinRows(rawOf(lists)), batches: lists}, time.Second)
		follower.publish(TableDesired, 4, rows(5, `[`+large("state", 4)+`]`), time.Second)
		passed, _, _ := follower.available(TableDesired, 0)
		lists, err = decompressRows(passed.Compressed)
		c.Assert(err, qt.IsNil)
		c.Check(strings.Count(string(joinRows(rawOf(lists))), `"state"`), qt.Equals, 1)
	}
	c.Assert(f.tables[TableDesired].batchBytes, qt.Equals, len(`[{"K":"small","N":1}]`)+len(large("state", 3))+2)
}

// The age of a view grew with each entry between it and the reader, so that the last ones rejected it.
func TestConfirmationIsPassedOnAtOnce(t *testing.T) {
	c := qt.New(t)
	f, began := newFeeds(), boottime.Now()
	f.reset(TableDesired, rows(5, `[{"a":1}]`), began-time.Second)
	time.AfterFunc(20*time.Millisecond, func() { f.publish(TableDesired, 5, Rows{Revision: 5}, boottime.Now()) })
	response, ok := f.changesSince(context.Background(), FeedRequest{Table: TableDesired, After: 5, Age: time.Second})
	c.Assert(ok, qt.IsTrue)
	c.Assert(response.Age < confirmStep, qt.IsTrue)
	c.Assert(boottime.Now()-began < feedPollWait/2, qt.IsTrue)
}

// A large change that arrived over a busy link was fetched again by the next reader, and the next one.
func TestReaderKeepsReadingWhileAChangeArrives(t *testing.T) {
	c := qt.New(t)
	now, self := boottime.Now(), entryAt("e1", "a", "ra")
	g := &Gateway{crashes: newCrashes(), config: Config{Self: self}, peers: newPeers(self, now), feeds: newFeeds(), log: zap.NewNop(), rng: rand.New(rand.NewPCG(1, 2))}
	g.feeds.reset(TableDesired, rows(5, `[{"a":1}]`), now)
	g.store = progressingStore{duration: followGrace + confirmWait + 200*time.Millisecond}
	w := &tableWatch{gateway: g, table: TableDesired, wait: confirmWait, revision: 5}
	_, _, err := w.follow(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(g.feeds.isUnreachable(TableDesired), qt.IsFalse)
	response, _, _ := g.feeds.available(TableDesired, 5)
	c.Assert(response.Arriving, qt.IsTrue)
}

// progressingStore is a Store whose answers take a while to arrive.
type progressingStore struct {
	Store
	duration time.Duration
}

func (s progressingStore) Follow(_ context.Context, _ Table, after uint64, _ time.Duration, onProgress func()) (Rows, error) {
	const parts = 6
	for range parts {
		onProgress()
		time.Sleep(s.duration / parts)
	}
	return Rows{Revision: after}, nil
}

// A follower whose only source died while it was asked took that for an answer without changes.
func TestDeadSourceIsNoAnswer(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(serveNothing))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	now, self := boottime.Now(), entryAt("e1", "a", "ra")
	g := &Gateway{crashes: newCrashes(), config: Config{Self: self}, peers: newPeers(self, now), feeds: newFeeds(), client: server.Client(), log: zap.NewNop(), rng: rand.New(rand.NewPCG(1, 2))}
	g.readerSuspendedUntil.Store(int64(now + time.Minute))
	reader := entryAt("e2", "a", "ra")
	reader.Peers = server.Listener.Addr().String()
	g.peers.observeHeartbeat(reader, true, false, now-heartbeatTimeout+livenessInterval)
	w := &tableWatch{gateway: g, table: TableDesired, revision: 5, suspects: map[filbertlever.HostID]time.Duration{}}
	_, _, ok, err := w.followReader(context.Background())
	c.Assert(ok, qt.IsFalse)
	// The only entry that is left asks the store.
	c.Assert(err, qt.IsNil)
	c.Assert(boottime.Now()-now < feedTimeout, qt.IsTrue)
}

package relays

import "time"

// Limits of fetches that are repeated because a piece does not match its digest.
const (
	// repeatedMismatches is how often the same wrong bytes of a piece must arrive before the
	// manifest is doubted. Bytes that were corrupted on the way differ each time.
	repeatedMismatches = 2
	// minRecheckInterval and maxRecheckInterval limit the time until a manifest that was fetched
	// again may be fetched once more. It doubles each time.
	minRecheckInterval = 100 * time.Millisecond
	maxRecheckInterval = 5 * time.Second
	// minPieceInterval and maxPieceInterval limit the time until a piece that did not match is
	// fetched again. It doubles each time.
	minPieceInterval = 50 * time.Millisecond
	maxPieceInterval = 2 * time.Second
)

// Doubts are what speaks against a version's manifest: pieces that arrived and do not match their
// digests. Either the piece or the manifest may be wrong. The zero value has no doubts. It is not
// safe for concurrent use.
type Doubts struct {
	// pieces counts the mismatches of each piece, and seen those with the same digest.
	pieces map[int]mismatches
	seen   map[receivedPiece]int
	// rechecks is how often the manifest was fetched again, and recheckAt when it may be again.
	rechecks  int
	recheckAt time.Duration
}

// mismatches are those of one piece.
type mismatches struct {
	count  int
	lastAt time.Duration
}

// receivedPiece is a piece that arrived with the digest of its bytes.
type receivedPiece struct {
	piece  int
	digest string
}

// RecordMismatch records that the bytes of a piece have another digest than in the manifest, and
// reports whether the manifest should be fetched again.
func (d *Doubts) RecordMismatch(piece int, digest string, now time.Duration) bool {
	if d.pieces == nil {
		d.pieces, d.seen = map[int]mismatches{}, map[receivedPiece]int{}
	}
	d.pieces[piece] = mismatches{count: d.pieces[piece].count + 1, lastAt: now}
	key := receivedPiece{piece, digest}
	d.seen[key]++
	return d.seen[key] >= repeatedMismatches && d.MayRecheck(now)
}

// MayRecheck reports whether the manifest may be fetched again. Sources that keep sending wrong
// pieces must not make a right manifest be fetched without end.
func (d *Doubts) MayRecheck(now time.Duration) bool { return now >= d.recheckAt }

// BeginRecheck records that the manifest is fetched again.
func (d *Doubts) BeginRecheck(now time.Duration) {
	d.recheckAt = now + min(minRecheckInterval<<min(d.rechecks, 16), maxRecheckInterval)
	d.rechecks++
}

// askOriginAfter is how many copies of a manifest may come from other entries before one is fetched
// from the origin. All entries may have the same wrong copy.
const askOriginAfter = 2

// ShouldAskOrigin reports whether the next copy of the manifest should come from the origin itself.
func (d *Doubts) ShouldAskOrigin() bool { return d.rechecks > askOriginAfter }

// ReplaceManifest discards what spoke against a manifest that was replaced.
func (d *Doubts) ReplaceManifest() { d.pieces, d.seen = nil, nil }

// RecordMatch discards what spoke against a piece that has arrived.
func (d *Doubts) RecordMatch(piece int) { delete(d.pieces, piece) }

// PieceDelay returns how long to wait before a piece is fetched again.
func (d *Doubts) PieceDelay(piece int, now time.Duration) time.Duration {
	m, ok := d.pieces[piece]
	if !ok {
		return 0
	}
	return m.lastAt + min(minPieceInterval<<min(m.count-1, 16), maxPieceInterval) - now
}

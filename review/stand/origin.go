package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"crypto/sha256"
)

const (
	pieceCount = 64
	pieceBytes = 32 << 10
)

// origin serves manifests and pieces of all versions, one change away from the next.
type origin struct {
	record *record

	mu      sync.Mutex
	named   uint64
	cache   map[uint64][][]byte
	digests map[uint64][]string
	// spoilUntil is until when the next manifest is spoilt; spoilt counts the answers that were, and
	// answers all since spoilFrom.
	spoilUntil time.Time
	spoilt     int
	answers    int
	manifests  int
}

func newOrigin(r *record) *origin {
	return &origin{record: r, named: 1, cache: map[uint64][][]byte{}, digests: map[uint64][]string{}}
}

func (o *origin) newest() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.named
}

func (o *origin) name(version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.named = version
}

func (o *origin) fillLocked(version uint64) {
	if o.cache[version] != nil {
		return
	}
	for piece := range pieceCount {
		source := rand.NewChaCha8(sha256.Sum256(fmt.Appendf(nil, "%d/%d", version, piece)))
		data := make([]byte, pieceBytes)
		_, _ = source.Read(data)
		o.cache[version] = append(o.cache[version], data)
		o.digests[version] = append(o.digests[version], digestOf(data))
	}
}

func (o *origin) piece(version uint64, piece int) []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fillLocked(version)
	return o.cache[version][piece]
}

func (o *origin) digest(version uint64, piece int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fillLocked(version)
	return o.digests[version][piece]
}

// spoilNextManifest makes the origin send wrong bytes in one answer: the next manifest until a time has one
// other digit in one digest.
func (o *origin) spoilNextManifest(until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.spoilUntil = until
}

// counts returns the answers since the start, how many were manifests and how many were spoilt.
func (o *origin) counts() (answers, manifests, spoilt int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.answers, o.manifests, o.spoilt
}

func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		version = o.newest()
	}
	if version+1 < o.newest() {
		w.WriteHeader(http.StatusGone)
		return
	}
	if name, ok := strings.CutPrefix(r.URL.Path, "/api/manifest/"); ok && name == modelName {
		o.serveManifest(w, version)
		return
	}
	piece, err := strconv.Atoi(r.URL.Query().Get("quantity"))
	if name, ok := strings.CutPrefix(r.URL.Path, "/api/piece/"); !ok || name != modelName || err != nil || piece < 0 || piece >= pieceCount {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	data := o.piece(version, piece)
	o.mu.Lock()
	o.answers++
	o.mu.Unlock()
	_, _ = w.Write(data)
}

func (o *origin) serveManifest(w http.ResponseWriter, version uint64) {
	o.mu.Lock()
	o.fillLocked(version)
	digests := slices.Clone(o.digests[version])
	o.answers++
	o.manifests++
	spoil := time.Now().Before(o.spoilUntil)
	if spoil {
		o.spoilUntil = time.Time{}
		o.spoilt++
		digests[7] = flipDigit(digests[7])
	}
	o.mu.Unlock()
	o.record.note("origin sends the manifest of version %d, spoilt: %v", version, spoil)
	writeJSON(w, map[string]any{"model": modelName, "version": version, "chunkBytes": pieceBytes, "layers": 16, "digests": digests})
}

// flipDigit changes the last bit of the last digit of a hexadecimal number.
func flipDigit(digest string) string {
	last, _ := strconv.ParseUint(digest[len(digest)-1:], 16, 8)
	return digest[:len(digest)-1] + strconv.FormatUint(last^1, 16)
}

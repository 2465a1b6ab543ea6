package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
)

// FetchManifest fetches a manifest from an entry, on behalf of an agent. doubted is the ID of a copy
// that the entry should fetch again before it returns it; empty if there is none.
func FetchManifest(ctx context.Context, client *http.Client, address string, id catalog.ModelVersion, doubted string) (Manifest, error) {
	return fetchManifest(ctx, client, address, id, relays.RoleAny, doubted)
}

// FetchPiece fetches a piece of at most limit bytes from an entry, on behalf of an agent. It does
// not verify the piece.
func FetchPiece(ctx context.Context, client *http.Client, address string, id catalog.ModelVersion, piece int, limit int64) ([]byte, error) {
	return fetchPiece(ctx, client, address, id, piece, relays.RoleAny, limit)
}

// AwaitPiece waits until an entry has cached a piece, without transferring it. Agents
// that must not transfer several pieces at once use it.
func AwaitPiece(ctx context.Context, client *http.Client, address string, id catalog.ModelVersion, piece int) error {
	values := pieceValues(id, &piece, relays.RoleAny)
	values.Set("Await", "1")
	if _, err := fetch(ctx, client, address, PathPiece, values, agentTimeout, maxErrorBytes); err != nil {
		return fmt.Errorf("await piece %d of %s version %d at %s: %w", piece, id.Model, id.Version, address, err)
	}
	return nil
}

// doubtedParam is the query parameter with the ID of a copy of a manifest that the requester doubts.
const doubtedParam = "Doubted"

// fetchManifest fetches a manifest from an entry, which is asked in a role. doubted is the ID of a
// copy that the entry should fetch again before it returns it; empty if there is none.
func fetchManifest(ctx context.Context, client *http.Client, address string, id catalog.ModelVersion, role relays.Role, doubted string) (Manifest, error) {
	var manifest Manifest
	values := pieceValues(id, nil, role)
	if doubted != "" {
		values.Set(doubtedParam, doubted)
	}
	data, err := fetch(ctx, client, address, pathManifest, values, timeoutFor(role), maxManifestBytes)
	if err == nil {
		err = json.Unmarshal(data, &manifest)
	}
	if err != nil {
		return Manifest{}, fmt.Errorf("manifest of %s version %d from %s: %w", id.Model, id.Version, address, err)
	}
	return manifest, nil
}

// fetchPiece fetches a piece of at most limit bytes from an entry, which is asked in a role. It
// does not verify the piece.
func fetchPiece(ctx context.Context, client *http.Client, address string, id catalog.ModelVersion, piece int, role relays.Role, limit int64) ([]byte, error) {
	data, err := fetch(ctx, client, address, PathPiece, pieceValues(id, &piece, role), timeoutFor(role), limit)
	if err != nil {
		return nil, fmt.Errorf("piece %d of %s version %d from %s: %w", piece, id.Model, id.Version, address, err)
	}
	return data, nil
}

// timeoutFor returns the timeout for a request to an entry in a role.
func timeoutFor(role relays.Role) time.Duration {
	if role == relays.RoleAny {
		return agentTimeout
	}
	return peerTimeout
}

// pieceValues returns the query of a request for a piece, or for a manifest if piece
// is nil.
func pieceValues(id catalog.ModelVersion, piece *int, role relays.Role) url.Values {
	values := url.Values{"Model": {id.Model}, "Version": {strconv.FormatUint(id.Version, 10)}}
	if piece != nil {
		values.Set("Piece", strconv.Itoa(*piece))
	}
	if role != relays.RoleAny {
		values.Set("As", strconv.Itoa(int(role)))
	}
	return values
}

// fetch sends a GET request and returns the body of the response, of at most limit bytes.
func fetch(ctx context.Context, client *http.Client, address, path string, values url.Values, timeout time.Duration, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path+"?"+values.Encode(), nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		limit = maxErrorBytes
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK && int64(len(data)) > limit {
		return nil, fmt.Errorf("%w of %d bytes", errTooLarge, limit)
	}
	switch response.StatusCode {
	case http.StatusGone:
		return nil, ErrRemoved
	case http.StatusNotFound:
		return nil, errNotCached
	case http.StatusBadGateway:
		return nil, fmt.Errorf("%w: %s", errUpstream, data[:min(len(data), 200)])
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("answered %d: %s", response.StatusCode, data[:min(len(data), 200)])
	}
	return data, nil
}

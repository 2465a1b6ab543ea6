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

// FetchManifest asks an entry for a manifest, for an agent.
func FetchManifest(ctx context.Context, client *http.Client, address string, named catalog.NamedVersion) (Manifest, error) {
	return fetchManifest(ctx, client, address, named, relays.RoleAny)
}

// FetchPiece asks an entry for a piece, for an agent; it is not yet verified.
func FetchPiece(ctx context.Context, client *http.Client, address string, named catalog.NamedVersion, piece int) ([]byte, error) {
	return fetchPiece(ctx, client, address, named, piece, relays.RoleAny)
}

// AwaitPiece waits until an entry has a piece, for an agent that is not to move
// several at once.
func AwaitPiece(ctx context.Context, client *http.Client, address string, named catalog.NamedVersion, piece int) error {
	values := pieceValues(named, &piece, relays.RoleAny)
	values.Set("Await", "1")
	if _, err := fetch(ctx, client, address, PathPiece, values, agentTimeout); err != nil {
		return fmt.Errorf("await piece %d of %s version %d at %s: %w", piece, named.Model, named.Version, address, err)
	}
	return nil
}

func fetchManifest(ctx context.Context, client *http.Client, address string, named catalog.NamedVersion, ask relays.Role) (Manifest, error) {
	var manifest Manifest
	data, err := fetch(ctx, client, address, pathManifest, pieceValues(named, nil, ask), timeoutFor(ask))
	if err == nil {
		err = json.Unmarshal(data, &manifest)
	}
	if err != nil {
		return Manifest{}, fmt.Errorf("manifest of %s version %d from %s: %w", named.Model, named.Version, address, err)
	}
	return manifest, nil
}

func fetchPiece(ctx context.Context, client *http.Client, address string, named catalog.NamedVersion, piece int, ask relays.Role) ([]byte, error) {
	data, err := fetch(ctx, client, address, PathPiece, pieceValues(named, &piece, ask), timeoutFor(ask))
	if err != nil {
		return nil, fmt.Errorf("piece %d of %s version %d from %s: %w", piece, named.Model, named.Version, address, err)
	}
	return data, nil
}

func timeoutFor(ask relays.Role) time.Duration {
	if ask == relays.RoleAny {
		return agentTimeout
	}
	return peerTimeout
}

func pieceValues(named catalog.NamedVersion, piece *int, ask relays.Role) url.Values {
	values := url.Values{"Model": {named.Model}, "Version": {strconv.FormatUint(named.Version, 10)}}
	if piece != nil {
		values.Set("Piece", strconv.Itoa(*piece))
	}
	if ask != relays.RoleAny {
		values.Set("As", strconv.Itoa(int(ask)))
	}
	return values
}

func fetch(ctx context.Context, client *http.Client, address, path string, values url.Values, timeout time.Duration) ([]byte, error) {
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
	data, err := io.ReadAll(io.LimitReader(response.Body, pieceMost))
	if err != nil {
		return nil, err
	}
	switch response.StatusCode {
	case http.StatusGone:
		return nil, ErrGone
	case http.StatusNotFound:
		return nil, errNotHeld
	case http.StatusBadGateway:
		return nil, fmt.Errorf("%w: %s", errBehind, data[:min(len(data), 200)])
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("answered %d: %s", response.StatusCode, data[:min(len(data), 200)])
	}
	return data, nil
}

package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// FetchManifest asks an entry for a manifest, for an agent.
func FetchManifest(ctx context.Context, client *http.Client, address string, named catalog.NamedVersion) (Manifest, error) {
	return fetchManifest(ctx, client, address, named, false)
}

// FetchPiece asks an entry for a piece, for an agent; it is not yet verified.
func FetchPiece(ctx context.Context, client *http.Client, address string, named catalog.NamedVersion, piece int) ([]byte, error) {
	return fetchPiece(ctx, client, address, named, piece, false)
}

func fetchManifest(ctx context.Context, client *http.Client, address string, named catalog.NamedVersion, home bool) (Manifest, error) {
	var manifest Manifest
	data, err := fetch(ctx, client, address, pathManifest, named, nil, home)
	if err == nil {
		err = json.Unmarshal(data, &manifest)
	}
	if err != nil {
		return Manifest{}, fmt.Errorf("manifest of %s version %d from %s: %w", named.Model, named.Version, address, err)
	}
	return manifest, nil
}

func fetchPiece(ctx context.Context, client *http.Client, address string, named catalog.NamedVersion, piece int, home bool) ([]byte, error) {
	data, err := fetch(ctx, client, address, pathPiece, named, &piece, home)
	if err != nil {
		return nil, fmt.Errorf("piece %d of %s version %d from %s: %w", piece, named.Model, named.Version, address, err)
	}
	return data, nil
}

func fetch(ctx context.Context, client *http.Client, address, path string, named catalog.NamedVersion, piece *int, home bool) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	values := url.Values{"Model": {named.Model}, "Version": {strconv.FormatUint(named.Version, 10)}}
	if piece != nil {
		values.Set("Piece", strconv.Itoa(*piece))
	}
	if home {
		values.Set("Home", "1")
	}
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
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("answered %d: %s", response.StatusCode, data[:min(len(data), 200)])
	}
	return data, nil
}

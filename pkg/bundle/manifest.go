package bundle

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/filbertlever/filbertlever"
)

// Limits of a manifest.
const (
	MaxManifestBytes = 8 << 20
	MaxChunkBytes    = 64 << 20
)

// Manifest lists the chunks of a set of weights. Chunk i starts at byte
// i*ChunkSize. All chunks but the last have ChunkSize bytes.
type Manifest struct {
	// Path is the path of the weights at the origin.
	Path      string
	Size      int64
	ChunkSize int64
	// Digest is the digest of all the weights.
	Digest filbertlever.Digest
	Chunks []filbertlever.Digest
}

// NewManifest reads a set of weights and returns its manifest.
func NewManifest(path string, r io.Reader, chunkSize int64) (*Manifest, error) {
	if chunkSize < 1 || chunkSize > MaxChunkBytes {
		return nil, fmt.Errorf("chunk size %d: expected 1 to %d", chunkSize, MaxChunkBytes)
	}
	m := &Manifest{Path: path, ChunkSize: chunkSize}
	allData := sha256.New()
	chunk := make([]byte, chunkSize)
	for {
		n, err := io.ReadFull(r, chunk)
		if n > 0 {
			allData.Write(chunk[:n])
			m.Size += int64(n)
			m.Chunks = append(m.Chunks, filbertlever.DigestOf(chunk[:n]))
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("read weights %s: %w", path, err)
		}
	}
	if m.Size == 0 {
		return nil, fmt.Errorf("read weights %s: empty", path)
	}
	m.Digest = filbertlever.NewDigest(allData.Sum(nil))
	return m, nil
}

// Encode returns the JSON encoding whose digest a bundle refers to.
func (m *Manifest) Encode() ([]byte, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode manifest %s: %w", m.Path, err)
	}
	return data, nil
}

// DecodeManifest decodes a manifest after checking that data has the expected
// digest.
func DecodeManifest(data []byte, expected filbertlever.Digest) (*Manifest, error) {
	if len(data) > MaxManifestBytes {
		return nil, fmt.Errorf("manifest %s: more than %d bytes", expected.Short(), MaxManifestBytes)
	}
	if filbertlever.DigestOf(data) != expected {
		return nil, fmt.Errorf("manifest %s: %w", expected.Short(), ErrDigest)
	}
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("manifest %s: %w", expected.Short(), err)
	}
	if err := m.check(); err != nil {
		return nil, fmt.Errorf("manifest %s: %w", expected.Short(), err)
	}
	return &m, nil
}

// ChunkLen returns the length of chunk i in bytes.
func (m *Manifest) ChunkLen(i int) int64 {
	return min(m.ChunkSize, m.Size-int64(i)*m.ChunkSize)
}

func (m *Manifest) check() error {
	if m.ChunkSize < 1 || m.ChunkSize > MaxChunkBytes || m.Size < 1 {
		return fmt.Errorf("size %d, chunk size %d: out of range", m.Size, m.ChunkSize)
	}
	expected := (m.Size + m.ChunkSize - 1) / m.ChunkSize
	if int64(len(m.Chunks)) != expected {
		return fmt.Errorf("%d chunks: expected %d", len(m.Chunks), expected)
	}
	for i, chunk := range m.Chunks {
		if !chunk.Valid() {
			return fmt.Errorf("chunk %d: %w", i, ErrDigest)
		}
	}
	if !m.Digest.Valid() {
		return fmt.Errorf("digest of the weights: %w", ErrDigest)
	}
	return nil
}

package state

import (
	"hash/maphash"
	"sync"
	"sync/atomic"

	"github.com/filbertlever/filbertlever"
)

const chunkShards = 32

// ChunkStore keeps verified chunks of weights by digest, in shards with a lock
// each. The caller of Put must have verified the chunk.
type ChunkStore struct {
	seed   maphash.Seed
	bytes  atomic.Int64
	shards [chunkShards]chunkShard
}

type chunkShard struct {
	mu   sync.Mutex
	data map[filbertlever.Digest][]byte
	// waiters holds a channel for each chunk that a caller waits for. The channel is
	// closed when the chunk is put.
	waiters map[filbertlever.Digest]chan struct{}
}

// NewChunkStore returns an empty store.
func NewChunkStore() *ChunkStore {
	c := &ChunkStore{seed: maphash.MakeSeed()}
	for i := range c.shards {
		c.shards[i].data = map[filbertlever.Digest][]byte{}
		c.shards[i].waiters = map[filbertlever.Digest]chan struct{}{}
	}
	return c
}

// Put stores data under digest. The caller must not change data afterwards.
func (c *ChunkStore) Put(digest filbertlever.Digest, data []byte) {
	shard := c.shard(digest)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if _, ok := shard.data[digest]; ok {
		return
	}
	shard.data[digest] = data
	c.bytes.Add(int64(len(data)))
	if waiter, ok := shard.waiters[digest]; ok {
		close(waiter)
		delete(shard.waiters, digest)
	}
}

// Get returns the chunk, or nil if the store does not hold it. The caller must
// not change the chunk.
func (c *ChunkStore) Get(digest filbertlever.Digest) []byte {
	shard := c.shard(digest)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.data[digest]
}

// Wait returns the chunk, or nil and a channel that is closed when the chunk is put.
func (c *ChunkStore) Wait(digest filbertlever.Digest) ([]byte, <-chan struct{}) {
	shard := c.shard(digest)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if data, ok := shard.data[digest]; ok {
		return data, nil
	}
	waiter, ok := shard.waiters[digest]
	if !ok {
		waiter = make(chan struct{})
		shard.waiters[digest] = waiter
	}
	return nil, waiter
}

// Retain removes every chunk whose digest is not in keep.
func (c *ChunkStore) Retain(keep map[filbertlever.Digest]bool) {
	for i := range c.shards {
		shard := &c.shards[i]
		shard.mu.Lock()
		for digest, data := range shard.data {
			if !keep[digest] {
				c.bytes.Add(-int64(len(data)))
				delete(shard.data, digest)
			}
		}
		shard.mu.Unlock()
	}
}

// Bytes returns the total size of the stored chunks.
func (c *ChunkStore) Bytes() int64 {
	return c.bytes.Load()
}

func (c *ChunkStore) shard(digest filbertlever.Digest) *chunkShard {
	return &c.shards[maphash.String(c.seed, string(digest))%chunkShards]
}

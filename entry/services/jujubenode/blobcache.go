package jujubenode

import (
	"sync"

	"jujubepier.example/core/services/jujubebatch"
)

const (
	// maxCacheBytes bounds the records cached in memory. Trainers read results soon after they are listed, and the
	// largest site lists 1 MB a second.
	maxCacheBytes = 8 << 20
	// maxDecodedBytes bounds the plain text of the chunks that are kept decoded: those of the latest submissions. Each gateway to
	// which items are offered needs a part of each chunk.
	maxDecodedBytes = 3 << 20
)

// blobKey identifies a blob by its partition of the texts topic and its position there.
type blobKey struct {
	part    int
	pointer jujubebatch.Pointer
}

// cachedBlob is the key of a cached value and the size that it counts with.
type cachedBlob struct {
	key  blobKey
	size int
}

// blobCache caches the values of the blobs that were written or read last.
type blobCache[V any] struct {
	// limit bounds the total size of the values, except for a single one.
	limit int

	mu     sync.Mutex
	values map[blobKey]V
	// order holds the keys, oldest first; bytes is the total size.
	order []cachedBlob
	bytes int
}

func newBlobCache[V any](limit int) *blobCache[V] {
	return &blobCache[V]{limit: limit, values: make(map[blobKey]V)}
}

func (c *blobCache[V]) get(key blobKey) (V, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	value, ok := c.values[key]
	return value, ok
}

// put adds a value unless the key has one, and returns the key's value.
func (c *blobCache[V]) put(key blobKey, value V, size int) V {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.values[key]; ok {
		return known
	}
	c.values[key] = value
	c.order = append(c.order, cachedBlob{key, size})
	c.bytes += size
	for c.bytes > c.limit && len(c.order) > 1 {
		c.bytes -= c.order[0].size
		delete(c.values, c.order[0].key)
		c.order = c.order[1:]
	}
	return value
}

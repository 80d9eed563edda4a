package jujubebatch

import model "jujubepier.example/core/models/jujubemodel"

// Chunk holds the contents of some of a submission's items.
type Chunk struct {
	// Contents are keyed by the items' indexes in the submission.
	Contents map[int]Content
}

// targetChunkBytes is the approximate size of a chunk. It is well below the size of a record, because chunks are read one
// at a time.
const targetChunkBytes = 32 << 10

// SplitContents distributes a submission's contents over chunks.
func (s *Submission) SplitContents() []Chunk {
	size := 0
	for i := range s.Items {
		size += len(s.Items[i].Content.Body)
	}
	count := min(1+size/targetChunkBytes, max(1, len(s.Items)))
	chunks := make([]Chunk, count)
	for i := range s.Items {
		c := &chunks[i%count]
		if c.Contents == nil {
			c.Contents = map[int]Content{}
		}
		c.Contents[i] = s.Items[i].Content
	}
	return chunks
}

// Place locates an item's content.
type Place struct {
	Chunk Pointer
	Index int
	// By is the instance that wrote the chunk.
	By model.InstanceID
}

// contentPlace returns where the item's content is stored; ok is false if the submission's record names no chunks.
func (it *item) contentPlace() (Place, bool) {
	if len(it.submission.Chunks) == 0 {
		return Place{}, false
	}
	return Place{Chunk: it.submission.Chunks[it.index%len(it.submission.Chunks)], Index: it.index, By: it.submission.By}, true
}

package jujubebatch

import model "jujubepier.example/core/models/jujubemodel"

// Chunk holds the contents of some of a submission's items.
type Chunk struct {
	// Contents are by the items' places in the submission.
	Contents map[int]Content
}

// chunkBytes is about how large a chunk gets: well below a record, as chunks are read one by one.
const chunkBytes = 32 << 10

// Split puts a submission's contents into chunks.
func (s *Submission) Split() []Chunk {
	size := 0
	for i := range s.Items {
		size += len(s.Items[i].Content.Body)
	}
	count := min(1+size/chunkBytes, max(1, len(s.Items)))
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

// Place is where an item's content lies.
type Place struct {
	Chunk Pointer
	Index int
	// By is the instance that wrote the chunk.
	By model.InstanceID
}

// place returns where an item's content lies; ok is false for a submission whose record names no chunks.
func (row *item) place() (Place, bool) {
	if len(row.of.Chunks) == 0 {
		return Place{}, false
	}
	return Place{Chunk: row.of.Chunks[row.index%len(row.of.Chunks)], Index: row.index, By: row.of.By}, true
}

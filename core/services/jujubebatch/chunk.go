package jujubebatch

import (
	"iter"

	model "jujubepier.example/core/models/jujubemodel"
)

// Chunk holds the contents of some of a submission's items.
type Chunk struct {
	// Contents are keyed by the items' indexes in the submission.
	Contents map[int]Content
}

// TargetChunkBytes is the approximate size of a chunk, before compression. It is well below the size of a record, because chunks are read
// one at a time.
const TargetChunkBytes = 64 << 10

// Contents are the contents of a submission's items. They are read one at a time, so that they needn't all be decoded at once.
type Contents interface {
	// Bytes returns the approximate total size.
	Bytes() int
	// Content returns the content of the item with an index.
	Content(index int) (Content, error)
}

// SplitContents distributes a submission's contents over chunks and iterates over them.
func (s *Submission) SplitContents() iter.Seq2[Chunk, error] {
	size := 0
	if s.Contents != nil {
		size = s.Contents.Bytes()
	}
	count := min(1+size/TargetChunkBytes, max(1, len(s.Items)))
	return func(yield func(Chunk, error) bool) {
		for first := range count {
			chunk := Chunk{Contents: map[int]Content{}}
			var err error
			for i := first; i < len(s.Items) && err == nil && s.Contents != nil; i += count {
				chunk.Contents[i], err = s.Contents.Content(i)
			}
			if !yield(chunk, err) || err != nil {
				return
			}
		}
	}
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
	return Place{Chunk: it.submission.Chunks[int(it.index)%len(it.submission.Chunks)], Index: int(it.index), By: it.submission.By}, true
}

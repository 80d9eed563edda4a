package jujubenode

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
)

const (
	// fetchTimeout bounds fetching the texts of one response or the content of an item, including a second attempt
	// through another instance.
	fetchTimeout = 1500 * time.Millisecond
	// readAheadBytes is added to the expected size of a read, because the records between the wanted ones may be larger
	// than those.
	readAheadBytes = 8 << 10
	// maxGapBytes is the largest gap between two wanted blobs that is read along with them instead of making a second
	// call: it takes less than a millisecond of the store's read rate of 80 MB a second, whereas a call takes 4 ms.
	maxGapBytes = 64 << 10
	// parallelReads bounds the concurrent reads for the blobs of one response: a hundred reads then take 50 ms.
	parallelReads = 8
)

// blobBatch collects encoded values to be appended to the log.
type blobBatch struct {
	codec   *jujubebatch.Codec
	records []Record
	size    int
	// pointers are relative to the first record until writeBlobs makes them absolute.
	pointers []jujubebatch.Pointer
}

// add encodes a value as the next blob.
func (b *blobBatch) add(value any, maxRecord int) error {
	parts, err := b.codec.EncodeBlob(value, maxRecord)
	if err != nil {
		return err
	}
	pointer := jujubebatch.Pointer{Offset: int64(len(b.records)), Count: len(parts)}
	for _, part := range parts {
		pointer.Size += len(part)
		b.records = append(b.records, Record{Value: part})
	}
	b.size += pointer.Size
	b.pointers = append(b.pointers, pointer)
	return nil
}

// writeBlobs appends blobs to the partition of the texts topic and makes their pointers absolute. Each append contains
// as many blobs as the store accepts.
func (p *partition) writeBlobs(ctx context.Context, b *blobBatch) error {
	return p.writeBlobsWith(b, func(records []Record) (int64, error) {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		return p.settleAppend(callCtx, topicTexts, records, never)
	})
}

// writeBlobsWith writes blobs with a function that appends records and returns the offset of the first one.
func (p *partition) writeBlobsWith(b *blobBatch, write func(records []Record) (int64, error)) error {
	n := p.node
	for first := 0; first < len(b.pointers); {
		last, size := first, 0
		for last < len(b.pointers) && (last == first || size+b.pointers[last].Size <= n.settings.MaxAppendBytes) {
			size += b.pointers[last].Size
			last++
		}
		if size > n.settings.MaxAppendBytes {
			return ErrTooLarge{Size: size, Limit: n.settings.MaxAppendBytes}
		}
		from := b.pointers[first].Offset
		end := b.pointers[last-1].Offset + int64(b.pointers[last-1].Count)
		offset, err := write(b.records[from:end])
		if err != nil {
			return err
		}
		for i := first; i < last; i++ {
			relative := b.pointers[i].Offset
			b.pointers[i].Offset = offset + relative - from
			n.cacheBlob(p.number, b.pointers[i], b.records[relative:relative+int64(b.pointers[i].Count)])
		}
		first = last
	}
	return nil
}

func (n *Node) cacheBlob(part int, pointer jujubebatch.Pointer, records []Record) {
	values := make([][]byte, len(records))
	for i, record := range records {
		values[i] = record.Value
	}
	n.blobCache.put(blobKey{part, pointer}, values, pointer.Size)
}

// blobRef refers to a blob and the instance that wrote it.
type blobRef struct {
	pointer jujubebatch.Pointer
	writer  model.InstanceID
}

// fetchBlobs returns the records of blobs from the cache or the store, or from the instances that wrote them while the
// store is unavailable.
func (p *partition) fetchBlobs(ctx context.Context, refs []blobRef) (map[jujubebatch.Pointer][][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	found := make(map[jujubebatch.Pointer][][]byte, len(refs))
	var missing []blobRef
	for _, ref := range refs {
		if records, ok := p.node.blobCache.get(blobKey{p.number, ref.pointer}); ok {
			found[ref.pointer] = records
		} else {
			missing = append(missing, ref)
		}
	}
	if len(missing) == 0 {
		return found, nil
	}
	if p.node.store.isConfirmedDown(time.Now(), topicTexts, p.number) && p.fetchFromWriters(ctx, missing, found) {
		return found, nil
	}
	err := p.readBlobs(ctx, missing, found)
	if err != nil && p.fetchFromWriters(ctx, missing, found) {
		return found, nil
	}
	return found, err
}

// readBlobs reads blobs from the store. Blobs that lie close together are read with one call, and several groups are
// read concurrently.
func (p *partition) readBlobs(ctx context.Context, refs []blobRef, found map[jujubebatch.Pointer][][]byte) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	groups := groupPointers(refs)
	type outcome struct {
		blobs map[jujubebatch.Pointer][][]byte
		err   error
	}
	outcomes := make(chan outcome, len(groups))
	slots := make(chan struct{}, parallelReads)
	for _, group := range groups {
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			blobs, err := p.readGroup(ctx, group)
			outcomes <- outcome{blobs, err}
		}()
	}
	var firstErr error
	for range groups {
		result := <-outcomes
		if result.err != nil && firstErr == nil {
			firstErr = result.err
			cancel() // the result is incomplete without this group, so the others are cancelled
		}
		maps.Copy(found, result.blobs)
	}
	return firstErr
}

// blobGroup is a group of wanted blobs with small gaps between them, sorted by offset.
type blobGroup struct {
	pointers []jujubebatch.Pointer
	// bytes is the estimated size of all records from the first to the last wanted one.
	bytes int
}

// groupPointers groups blobs with small gaps between them. The size of a gap is estimated with the average record size
// of the wanted blobs.
func groupPointers(refs []blobRef) []blobGroup {
	pointers := make([]jujubebatch.Pointer, len(refs))
	totalSize, records := 0, 0
	for i, ref := range refs {
		pointers[i] = ref.pointer
		totalSize += ref.pointer.Size
		records += ref.pointer.Count
	}
	slices.SortFunc(pointers, func(a, b jujubebatch.Pointer) int { return cmp.Compare(a.Offset, b.Offset) })
	averageSize := totalSize / max(1, records)
	var groups []blobGroup
	for i, pointer := range pointers {
		gap := maxGapBytes + 1
		if i > 0 {
			last := pointers[i-1]
			gap = int(pointer.Offset-last.Offset-int64(last.Count)) * averageSize
		}
		if gap > maxGapBytes {
			groups = append(groups, blobGroup{bytes: readAheadBytes})
			gap = 0
		}
		group := &groups[len(groups)-1]
		group.pointers = append(group.pointers, pointer)
		group.bytes += max(0, gap) + pointer.Size
	}
	return groups
}

func (p *partition) readGroup(ctx context.Context, group blobGroup) (map[jujubebatch.Pointer][][]byte, error) {
	found := make(map[jujubebatch.Pointer][][]byte, len(group.pointers))
	for _, pointer := range group.pointers {
		if _, ok := found[pointer]; ok {
			continue
		}
		if err := p.readBlob(ctx, pointer, group.pointers, group.bytes, found); err != nil {
			return found, err
		}
	}
	return found, nil
}

// fetchFromWriters fetches blobs from the instances that wrote them and reports whether all were found.
func (p *partition) fetchFromWriters(ctx context.Context, refs []blobRef, found map[jujubebatch.Pointer][][]byte) bool {
	wanted := map[model.InstanceID][]jujubebatch.Pointer{}
	for _, ref := range refs {
		if _, ok := found[ref.pointer]; !ok {
			wanted[ref.writer] = append(wanted[ref.writer], ref.pointer)
		}
	}
	addresses := p.node.peerAddresses()
	for writer, pointers := range wanted {
		address, ok := addresses[writer]
		if !ok {
			return false
		}
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		var reply BlobsReply
		err := p.node.store.pool.Call(callCtx, address, "Relay.GiveBlobs", BlobsArgs{Part: p.number, Pointers: pointers}, &reply)
		cancel()
		if err != nil || len(reply.Blobs) != len(pointers) {
			return false
		}
		for i, pointer := range pointers {
			if len(reply.Blobs[i]) != pointer.Count {
				return false
			}
			found[pointer] = reply.Blobs[i]
			p.node.blobCache.put(blobKey{p.number, pointer}, reply.Blobs[i], pointer.Size)
		}
	}
	return true
}

// readBlob reads from the start of a blob until it is complete, and stores any other wanted blobs that the same reads
// returned.
func (p *partition) readBlob(ctx context.Context, wanted jujubebatch.Pointer, all []jujubebatch.Pointer, bytes int,
	found map[jujubebatch.Pointer][][]byte,
) error {
	var records []Record
	for len(records) < wanted.Count {
		batch, err := p.node.store.Fetch(ctx, topicTexts, p.number, wanted.Offset+int64(len(records)), bytes)
		if err != nil {
			return err
		}
		if len(batch.Records) == 0 {
			return errors.Errorf("the text at %d of partition %d isn't there", wanted.Offset, p.number)
		}
		records = append(records, batch.Records...)
	}
	for _, pointer := range all {
		from := pointer.Offset - wanted.Offset
		if from < 0 || from+int64(pointer.Count) > int64(len(records)) {
			continue
		}
		p.node.cacheBlob(p.number, pointer, records[from:from+int64(pointer.Count)])
		values := make([][]byte, 0, pointer.Count)
		for _, record := range records[from : from+int64(pointer.Count)] {
			values = append(values, record.Value)
		}
		found[pointer] = values
	}
	return nil
}

// fetchBlob reads one blob and decodes it into value.
func (p *partition) fetchBlob(ctx context.Context, ref blobRef, value any) error {
	found, err := p.fetchBlobs(ctx, []blobRef{ref})
	if err != nil {
		return err
	}
	return p.node.codec.DecodeBlob(found[ref.pointer], value)
}

// fetchChunk reads a chunk. Others may have the same one, so it mustn't be changed.
func (p *partition) fetchChunk(ctx context.Context, location jujubebatch.Place) (chunk jujubebatch.Chunk, err error) {
	found, err := p.fetchBlobs(ctx, []blobRef{{location.Chunk, location.By}})
	if err != nil {
		return chunk, err
	}
	decode := sync.OnceValues(func() (chunk jujubebatch.Chunk, err error) {
		err = p.node.codec.DecodeBlob(found[location.Chunk], &chunk)
		return chunk, err
	})
	size := max(location.Chunk.Size, jujubebatch.TargetChunkBytes)
	if size > maxDecodedBytes {
		return decode()
	}
	return p.node.chunkCache.put(blobKey{p.number, location.Chunk}, decode, size)()
}

// fetchContent reads the part of an item's request that is sent to the engine.
func (p *partition) fetchContent(ctx context.Context, location jujubebatch.Place) (jujubebatch.Content, error) {
	chunk, err := p.fetchChunk(ctx, location)
	if err != nil {
		return jujubebatch.Content{}, err
	}
	content, ok := chunk.Contents[location.Index]
	if !ok {
		return content, errors.Errorf("the chunk at %d has no item %d", location.Chunk.Offset, location.Index)
	}
	return content, nil
}

// fetchTexts fills in the texts of results.
func (p *partition) fetchTexts(ctx context.Context, results []jujubebatch.Result) error {
	var refs []blobRef
	for i := range results {
		if results[i].Data.Count > 0 {
			refs = append(refs, blobRef{results[i].Data, results[i].By})
		}
	}
	found, err := p.fetchBlobs(ctx, refs)
	if err != nil {
		return err
	}
	for i := range results {
		if results[i].Data.Count == 0 {
			continue
		}
		if err := p.node.codec.DecodeBlob(found[results[i].Data], &results[i].Text); err != nil {
			return err
		}
	}
	return nil
}

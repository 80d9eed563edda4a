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
	// cacheBytes bounds the records that an instance keeps in memory. Trainers read results soon after they were listed,
	// and the largest site lists 1 MB a second.
	cacheBytes = 8 << 20
	// fetchTimeout bounds the fetching of one answer's texts or of an item's content, with a second way to the store.
	fetchTimeout = 1500 * time.Millisecond
	// fetchSlack is read beyond what is expected, as the records between the wanted ones may be larger than these.
	fetchSlack = 8 << 10
	// bridgeBytes is what is read along between two wanted blobs rather than asking twice: less than a millisecond of the
	// store's reading rate of 80 MB a second, where a call takes 4 ms.
	bridgeBytes = 64 << 10
	// parallelReads is how many reads of one answer's blobs are made at a time: a hundred take 50 ms then.
	parallelReads = 8
)

// blobKey names a blob of a texts' partition.
type blobKey struct {
	part    int
	pointer jujubebatch.Pointer
}

// blobCache keeps the records of the blobs that were written or read last.
type blobCache struct {
	mu      sync.Mutex
	records map[blobKey][][]byte
	// order holds the keys, the oldest first; bytes is the size of all.
	order []blobKey
	bytes int
}

func newBlobCache() *blobCache { return &blobCache{records: make(map[blobKey][][]byte)} }

func (c *blobCache) get(key blobKey) ([][]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	records, ok := c.records[key]
	return records, ok
}

func (c *blobCache) put(key blobKey, records [][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.records[key]; ok {
		return
	}
	c.records[key] = records
	c.order = append(c.order, key)
	c.bytes += key.pointer.Size
	for c.bytes > cacheBytes && len(c.order) > 1 {
		c.bytes -= c.order[0].pointer.Size
		delete(c.records, c.order[0])
		c.order = c.order[1:]
	}
}

// blobs are encoded values that wait for their place in the log.
type blobs struct {
	records []Record
	size    int
	// pointers are relative to the first record until place.
	pointers []jujubebatch.Pointer
}

// add encodes a value as the next blob.
func (b *blobs) add(value any, maxRecord int) error {
	parts, err := jujubebatch.EncodeBlob(value, maxRecord)
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

// writeBlobs appends blobs to the texts' partition and makes their pointers absolute. One append has all of them, or as
// many as the store takes.
func (p *partition) writeBlobs(ctx context.Context, b *blobs) error {
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
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		offset, err := n.store.Append(call, topicTexts, p.number, b.records[from:end], NoCondition)
		cancel()
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
	n.cache.put(blobKey{part, pointer}, values)
}

// source is a blob that is wanted and the instance that wrote it.
type source struct {
	pointer jujubebatch.Pointer
	by      model.InstanceID
}

// fetchBlobs returns the records of blobs, from the cache, the store, or the instances that wrote them while the store is
// away.
func (p *partition) fetchBlobs(ctx context.Context, sources []source) (map[jujubebatch.Pointer][][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	found := make(map[jujubebatch.Pointer][][]byte, len(sources))
	var missing []source
	for _, one := range sources {
		if records, ok := p.node.cache.get(blobKey{p.number, one.pointer}); ok {
			found[one.pointer] = records
		} else {
			missing = append(missing, one)
		}
	}
	if len(missing) == 0 {
		return found, nil
	}
	if p.node.store.isAwayForAll(time.Now()) && p.askWriters(ctx, missing, found) {
		return found, nil
	}
	err := p.readBlobs(ctx, missing, found)
	if err != nil && p.askWriters(ctx, missing, found) {
		return found, nil
	}
	return found, err
}

// readBlobs reads blobs from the store: those that lie close together at once, several groups at a time.
func (p *partition) readBlobs(ctx context.Context, sources []source, found map[jujubebatch.Pointer][][]byte) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	groups := groupPointers(sources)
	type outcome struct {
		blobs map[jujubebatch.Pointer][][]byte
		err   error
	}
	outcomes := make(chan outcome, len(groups))
	free := make(chan struct{}, parallelReads)
	for _, one := range groups {
		go func() {
			free <- struct{}{}
			defer func() { <-free }()
			blobs, err := p.readGroup(ctx, one)
			outcomes <- outcome{blobs, err}
		}()
	}
	var first error
	for range groups {
		done := <-outcomes
		if done.err != nil && first == nil {
			first = done.err
			cancel() // the others are of no use without it
		}
		maps.Copy(found, done.blobs)
	}
	return first
}

// blobGroup is wanted blobs that lie close together, in the order of their offsets.
type blobGroup struct {
	pointers []jujubebatch.Pointer
	// bytes is about the size of all records from the first to the last one.
	bytes int
}

// groupPointers puts blobs together that have little between them. The records of others there are taken to be as large as
// the wanted ones are on average.
func groupPointers(sources []source) []blobGroup {
	pointers := make([]jujubebatch.Pointer, len(sources))
	size, records := 0, 0
	for i, one := range sources {
		pointers[i] = one.pointer
		size += one.pointer.Size
		records += one.pointer.Count
	}
	slices.SortFunc(pointers, func(a, b jujubebatch.Pointer) int { return cmp.Compare(a.Offset, b.Offset) })
	average := size / max(1, records)
	var groups []blobGroup
	for i, pointer := range pointers {
		between := bridgeBytes + 1
		if i > 0 {
			last := pointers[i-1]
			between = int(pointer.Offset-last.Offset-int64(last.Count)) * average
		}
		if between > bridgeBytes {
			groups = append(groups, blobGroup{bytes: fetchSlack})
			between = 0
		}
		group := &groups[len(groups)-1]
		group.pointers = append(group.pointers, pointer)
		group.bytes += max(0, between) + pointer.Size
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

// askWriters asks the instances that wrote blobs for them, and tells whether all were found.
func (p *partition) askWriters(ctx context.Context, sources []source, found map[jujubebatch.Pointer][][]byte) bool {
	wanted := map[model.InstanceID][]jujubebatch.Pointer{}
	for _, one := range sources {
		if _, ok := found[one.pointer]; !ok {
			wanted[one.by] = append(wanted[one.by], one.pointer)
		}
	}
	addresses := p.node.peerAddresses()
	for writer, pointers := range wanted {
		address, ok := addresses[writer]
		if !ok {
			return false
		}
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		var reply BlobsReply
		err := p.node.store.pool.Call(call, address, "Relay.GiveBlobs", BlobsArgs{Part: p.number, Pointers: pointers}, &reply)
		cancel()
		if err != nil || len(reply.Blobs) != len(pointers) {
			return false
		}
		for i, pointer := range pointers {
			if len(reply.Blobs[i]) != pointer.Count {
				return false
			}
			found[pointer] = reply.Blobs[i]
			p.node.cache.put(blobKey{p.number, pointer}, reply.Blobs[i])
		}
	}
	return true
}

// readBlob reads from a blob on until it is whole, and takes what other wanted blobs come with it.
func (p *partition) readBlob(ctx context.Context, wanted jujubebatch.Pointer, all []jujubebatch.Pointer, bytes int,
	found map[jujubebatch.Pointer][][]byte,
) error {
	var records []Record
	for len(records) < wanted.Count {
		batch, err := p.node.store.Read(ctx, topicTexts, p.number, wanted.Offset+int64(len(records)), 0, bytes)
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

// fetch reads one blob into a value.
func (p *partition) fetch(ctx context.Context, one source, value any) error {
	found, err := p.fetchBlobs(ctx, []source{one})
	if err != nil {
		return err
	}
	return jujubebatch.DecodeBlob(found[one.pointer], value)
}

func (p *partition) fetchChunk(ctx context.Context, place jujubebatch.Place) (chunk jujubebatch.Chunk, err error) {
	err = p.fetch(ctx, source{place.Chunk, place.By}, &chunk)
	return chunk, err
}

// fetchContent reads what an item sends to an engine.
func (p *partition) fetchContent(ctx context.Context, place jujubebatch.Place) (jujubebatch.Content, error) {
	chunk, err := p.fetchChunk(ctx, place)
	if err != nil {
		return jujubebatch.Content{}, err
	}
	content, ok := chunk.Contents[place.Index]
	if !ok {
		return content, errors.Errorf("the chunk at %d has no item %d", place.Chunk.Offset, place.Index)
	}
	return content, nil
}

// fetchTexts fills in the texts of results.
func (p *partition) fetchTexts(ctx context.Context, results []jujubebatch.Result) error {
	var sources []source
	for i := range results {
		if results[i].Data.Count > 0 {
			sources = append(sources, source{results[i].Data, results[i].By})
		}
	}
	found, err := p.fetchBlobs(ctx, sources)
	if err != nil {
		return err
	}
	for i := range results {
		if results[i].Data.Count == 0 {
			continue
		}
		if err := jujubebatch.DecodeBlob(found[results[i].Data], &results[i].Text); err != nil {
			return err
		}
	}
	return nil
}

package jujubenode

import (
	"sync"

	"jujubepier.example/core/services/jujubebatch"
)

// decodeAheadBytes is the size from which on an entry is decoded before the node's lock is taken: the entry of a large submission takes
// hundreds of milliseconds, in which nothing else would be served.
const decodeAheadBytes = 16 << 10

// decodedEntries are entries that were decoded ahead, by the offset of their last record.
type decodedEntries struct {
	// decoding is held while entries are decoded, as a partition may be read by several goroutines at the same time.
	decoding sync.Mutex

	mu      sync.Mutex
	entries map[int64]*jujubebatch.Entry
}

func (d *decodedEntries) put(offset int64, entry *jujubebatch.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entries == nil {
		d.entries = make(map[int64]*jujubebatch.Entry)
	}
	d.entries[offset] = entry
}

// take returns the entry at an offset and forgets all of them up to it.
func (d *decodedEntries) take(offset int64) *jujubebatch.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry := d.entries[offset]
	for other := range d.entries {
		if other <= offset {
			delete(d.entries, other)
		}
	}
	return entry
}

// decodeAhead decodes the large entries among records that are applied next.
func (p *partition) decodeAhead(from int64, records []Record) {
	size := 0
	for _, record := range records {
		size += len(record.Value)
	}
	if size < decodeAheadBytes {
		return
	}
	p.decoded.decoding.Lock()
	defer p.decoded.decoding.Unlock()
	p.node.mu.Lock()
	decoder, next := p.decoder, p.follower.next
	p.node.mu.Unlock()
	if next != from {
		return // another read has brought some of them
	}
	for i, record := range records {
		data, err := decoder.Join(record.Value)
		if err != nil || len(data) < decodeAheadBytes {
			continue
		}
		if entry, err := p.node.codec.DecodeEntry(data); err == nil {
			p.decoded.put(from+int64(i), entry)
		}
	}
}

// decode returns the entry that a record completes; nil for none. The node's lock is held.
func (p *partition) decode(offset int64, record Record) (*jujubebatch.Entry, error) {
	data, err := p.decoder.Join(record.Value)
	if err != nil || data == nil {
		return nil, err
	}
	if entry := p.decoded.take(offset); entry != nil {
		return entry, nil
	}
	return p.node.codec.DecodeEntry(data)
}

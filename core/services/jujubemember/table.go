package jujubemember

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// bucketCount is the number of buckets of the update table. In anti-entropy, peers compare bucket digests and list the keys
// of differing buckets only.
const bucketCount = 32

// keyBit is set in each key hash, so that hashes don't collide with the bucket indexes of a version list (see exchange.go).
const keyBit = 1 << 63

// tombstoneFactor is the age, in validity periods, up to which the version of an expired update is remembered, so that
// peers that received it later, or instances that started in that time, don't reintroduce it.
const tombstoneFactor = 4

// entry holds an update and its state in the update table.
type entry struct {
	update model.Rumour
	hash   uint64
	// receivedAt is when this version was received.
	receivedAt time.Time
	// hidden entries (dead members, expired updates) are excluded from the digests and are not offered to peers, but their
	// versions still win over lower ones. So a peer that has removed such an entry doesn't receive it again.
	hidden bool
	// remainingForwards is in how many more ticks the update is sent to Fanout peers.
	remainingForwards int
}

// updateTable holds one entry per kind and key. Its digests are sums of hashes of the entries that aren't hidden.
type updateTable struct {
	buckets [bucketCount]*jujubetable.Table[uint64, *entry]
	digests [bucketCount]uint64
	total   uint64
	count   int
}

func newUpdateTable() *updateTable {
	t := &updateTable{}
	for i := range t.buckets {
		t.buckets[i] = jujubetable.New[uint64, *entry]()
	}
	return t
}

func hashKey(kind model.GossipKind, key string) uint64 {
	return xxhash.Sum64String(string(kind)+"\x00"+key) | keyBit
}

func bucketOf(hash uint64) int { return int(hash % bucketCount) }

func (t *updateTable) get(hash uint64) (*entry, bool) { return t.buckets[bucketOf(hash)].Get(hash) }

func (t *updateTable) put(now time.Time, update model.Rumour, hidden bool, forwards int) *entry {
	hash := hashKey(update.Kind, update.Key)
	if old, ok := t.get(hash); ok {
		t.hide(old)
	} else {
		t.count++
	}
	e := &entry{update: update, hash: hash, receivedAt: now, hidden: hidden, remainingForwards: forwards}
	t.buckets[bucketOf(hash)].Put(hash, e)
	if !hidden {
		t.adjustDigests(e, 1)
	}
	return e
}

// hide excludes an entry from the digests.
func (t *updateTable) hide(e *entry) {
	if !e.hidden {
		e.hidden = true
		t.adjustDigests(e, ^uint64(0))
	}
}

func (t *updateTable) remove(e *entry) {
	t.hide(e)
	t.buckets[bucketOf(e.hash)].Delete(e.hash)
	t.count--
}

// adjustDigests adds the hash of an entry, multiplied by factor (1 or -1), to the digests.
func (t *updateTable) adjustDigests(e *entry, factor uint64) {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], e.hash)
	binary.LittleEndian.PutUint64(data[8:], uint64(e.update.Version))
	change := xxhash.Sum64(data[:]) * factor
	t.digests[bucketOf(e.hash)] += change
	t.total += change
}

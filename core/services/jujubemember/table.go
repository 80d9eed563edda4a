package jujubemember

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// bucketCount divides the rumour table for anti-entropy: peers compare bucket digests and list only differing buckets.
const bucketCount = 32

// keyBit is set in each key hash, so that hashes and the markers of a version list (see exchange.go) don't collide.
const keyBit = 1 << 63

// tombstoneFactor is how many validity periods the version of an expired rumour is remembered, so that peers that
// received it later, or instances that started meanwhile, don't bring it back.
const tombstoneFactor = 4

// entry is a row of the rumour table.
type entry struct {
	rumour model.Rumour
	hash   uint64
	// at is the time of the receipt of this version.
	at time.Time
	// hidden entries (dead members, expired rumours) are outside the digests and are not offered to peers, but their
	// versions still win over lower ones. A peer that has forgotten one is therefore not given it again.
	hidden bool
	// forwards is how many more ticks the rumour is sent to Fanout peers.
	forwards int
}

// rumourTable holds one entry per kind and key. Its digests are sums over the entries that aren't hidden.
type rumourTable struct {
	buckets [bucketCount]*jujubetable.Table[uint64, *entry]
	digests [bucketCount]uint64
	total   uint64
	count   int
}

func newRumourTable() *rumourTable {
	t := &rumourTable{}
	for i := range t.buckets {
		t.buckets[i] = jujubetable.New[uint64, *entry]()
	}
	return t
}

func hashKey(kind model.RumourKind, key string) uint64 {
	return xxhash.Sum64String(string(kind)+"\x00"+key) | keyBit
}

func bucketOf(hash uint64) int { return int(hash % bucketCount) }

func (t *rumourTable) get(hash uint64) (*entry, bool) { return t.buckets[bucketOf(hash)].Get(hash) }

func (t *rumourTable) put(now time.Time, rumour model.Rumour, hidden bool, forwards int) *entry {
	hash := hashKey(rumour.Kind, rumour.Key)
	if old, ok := t.get(hash); ok {
		t.hide(old)
	} else {
		t.count++
	}
	e := &entry{rumour: rumour, hash: hash, at: now, hidden: hidden, forwards: forwards}
	t.buckets[bucketOf(hash)].Put(hash, e)
	if !hidden {
		t.add(e, 1)
	}
	return e
}

// hide takes an entry out of the digests.
func (t *rumourTable) hide(e *entry) {
	if !e.hidden {
		e.hidden = true
		t.add(e, ^uint64(0))
	}
}

func (t *rumourTable) remove(e *entry) {
	t.hide(e)
	t.buckets[bucketOf(e.hash)].Delete(e.hash)
	t.count--
}

// add changes the digests by the hash of an entry, times one or minus one.
func (t *rumourTable) add(e *entry, factor uint64) {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], e.hash)
	binary.LittleEndian.PutUint64(data[8:], uint64(e.rumour.Version))
	change := xxhash.Sum64(data[:]) * factor
	t.digests[bucketOf(e.hash)] += change
	t.total += change
}

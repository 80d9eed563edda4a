package jujubebatch

import (
	"unsafe"

	"jujubepier.example/core/services/jujubeprompt"
)

// ItemBytes is the memory that an item takes at each instance, apart from its texts, with its result and the entries of indexes.
const ItemBytes = int(unsafe.Sizeof(Item{})+unsafe.Sizeof(item{})+unsafe.Sizeof(listedResult{})*5/4) + indexBytes

const (
	// indexBytes is the memory for an item in byID, longestFirst, the groups and Scheduler.latestItems.
	indexBytes = 3*4 + 40
	// originBytes is the memory for the origin of a result that has a score.
	originBytes = 96
	// allocationBytes is the unit in which small allocations are rounded up.
	allocationBytes = 16
	// submissionBytes is the memory for a submission without its items.
	submissionBytes = 1 << 10
)

// allocated returns the memory that an allocation of a size takes.
func allocated(size int) int { return (size + allocationBytes - 1) / allocationBytes * allocationBytes }

// MemoryBytes returns the memory that the submission takes at each instance until it is deleted, except for the state of the items that
// are being run.
func (s *Submission) MemoryBytes() int {
	if s.memoryBytes == 0 {
		s.memoryBytes = submissionBytes + len(s.Chunks)*int(unsafe.Sizeof(Pointer{}))
		for i := range s.Items {
			previous := GroupID("")
			if i > 0 {
				previous = s.Items[i-1].Group
			}
			s.memoryBytes += s.Items[i].MemoryBytes(previous)
		}
	}
	return s.memoryBytes
}

// MemoryBytes returns the memory that the item takes. The group is kept once for consecutive items.
func (it *Item) MemoryBytes(previousGroup GroupID) int {
	bytes := ItemBytes + allocated(len(it.ID)) + allocated(len(it.Path)) + allocated(len(it.Prompt)*int(unsafe.Sizeof(jujubeprompt.Part{})))
	if it.Group == "" || it.Group != previousGroup {
		bytes += int(unsafe.Sizeof(itemGroup{})) + allocated(len(it.Group))
	}
	if call := it.Scoring; call != nil {
		bytes += allocated(int(unsafe.Sizeof(*call))) + allocated(len(call.ID)) + allocated(len(call.Host)) + allocated(len(call.Path)) + originBytes
	}
	return bytes
}

// HeldBytes returns the memory that all submissions take.
func (s *Scheduler) HeldBytes() int { return s.heldBytes }

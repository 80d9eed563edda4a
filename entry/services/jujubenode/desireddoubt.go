package jujubenode

// desiredDoubt tells whether a version of the desired state may have been missed. A snapshot has only the newest record; if that is
// unusable, a version between the one in force and that record may have expired unread, and it may have revoked keys.
type desiredDoubt struct {
	// isUncertain is true while the version in force may not be the newest usable one.
	isUncertain bool
	// next is the offset at which reading went on after the snapshot that left the doubt. Another instance has to have read as far to
	// end it.
	next int64
	// isSkipped and isConfirmed are true if the records that are being applied contain an unusable desired state, and one that is at
	// least as new as the version in force.
	isSkipped, isConfirmed bool
}

// SkipDesired records that an unusable record of the desired state was skipped. It is called from a feed, with the node's lock held.
func (n *Node) SkipDesired() { n.desiredDoubt.isSkipped = true }

// applySnapshot calls apply with all records of a snapshot, after which reading goes on at next. The lock is held.
func (f *follower) applySnapshot(next int64, apply func()) {
	n := f.node
	if f != n.desiredFollower {
		apply()
		return
	}
	doubt := &n.desiredDoubt
	doubt.isSkipped, doubt.isConfirmed = false, false
	apply()
	switch {
	case doubt.isConfirmed:
		doubt.isUncertain = false
	case doubt.isSkipped && n.desired != nil:
		doubt.isUncertain, doubt.next = true, next
	}
}

// applyCopy calls apply with a record of the desired state from an instance that has read up to next. It does nothing if that instance
// hasn't read as far as the snapshot that left the doubt. The lock is held.
func (n *Node) applyCopy(next int64, apply func()) {
	doubt := &n.desiredDoubt
	if next < doubt.next {
		return
	}
	doubt.isConfirmed = false
	apply()
	if doubt.isConfirmed {
		doubt.isUncertain = false
	}
}

// isDesiredCertain reports whether the desired state is known and no newer version can have been missed. The lock is held.
func (n *Node) isDesiredCertain() bool { return n.desired != nil && !n.desiredDoubt.isUncertain }

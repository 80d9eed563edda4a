package jujubeprompt

import "time"

// keptPart is a part that a server is assumed to keep.
type keptPart struct {
	of     *modelParts
	id     PartID
	tokens int
	// openUses counts the open requests with this part. A part with open uses isn't evicted.
	openUses int
	// isConfirmed is true once a request with this part is known to have reached the server.
	isConfirmed bool
	// isDropped is true once the part isn't in the server's memory any more. Open uses may still refer to it.
	isDropped bool
	// lastUse is the time of the last use that reached the server, or that at which the part was added.
	lastUse time.Time
	// older and newer link the parts without open uses; nil at the ends and for a part that isn't in the list.
	older, newer *keptPart
}

// recencyList lists the parts without open uses by their last use.
type recencyList struct {
	oldest, newest *keptPart
}

// insert adds a part by its last use, after those that were used at the same time.
func (l *recencyList) insert(p *keptPart) {
	p.older, p.newer = l.newest, nil
	for p.older != nil && p.older.lastUse.After(p.lastUse) {
		p.older, p.newer = p.older.older, p.older
	}
	if p.older != nil {
		p.older.newer = p
	} else {
		l.oldest = p
	}
	if p.newer != nil {
		p.newer.older = p
	} else {
		l.newest = p
	}
}

func (l *recencyList) remove(p *keptPart) {
	switch {
	case p.older != nil:
		p.older.newer = p.newer
	case l.oldest == p:
		l.oldest = p.newer
	}
	switch {
	case p.newer != nil:
		p.newer.older = p.older
	case l.newest == p:
		l.newest = p.older
	}
	p.older, p.newer = nil, nil
}

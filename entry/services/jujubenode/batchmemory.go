package jujubenode

import (
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/modules/jujubememory"
	"jujubepier.example/core/services/jujubebatch"
)

const (
	// minMemoryRetryAfter and maxMemoryRetryAfter bound the retry delay of a submission that finds no memory.
	minMemoryRetryAfter = 500 * time.Millisecond
	maxMemoryRetryAfter = 30 * time.Second
)

// MemorySettings are the limits of the memory for submissions; zero for no limit.
type MemorySettings struct {
	// Accept is the memory of all submissions above which none is accepted. Each instance keeps all submissions, so the lowest
	// limit among the live ones applies.
	Accept int
	// Keep is the memory of all submissions above which the record of a further one is read later. It is higher than Accept, because
	// several instances accept at the same time.
	Keep int
}

// batchMemory accounts for the memory of submissions at this instance, from the decoding of a request to the deletion of the submission.
// Its fields are guarded by the node's lock.
type batchMemory struct {
	node     *Node
	settings MemorySettings
	// bodies is the budget of the bodies of requests, which share the memory with the submissions; may be nil.
	bodies *jujubememory.Budget
	// reservations are those of submissions that are being accepted, and reserved is their sum.
	reservations map[jujubebatch.SubmissionID]*reservation
	reserved     int
}

// reservation is the memory of a submission that is being accepted by one or several requests.
type reservation struct {
	bytes, holders int
	// isWritten is true from when the record is on the log until it has been read: the instance that accepted a submission keeps it, also
	// if the records of others that were accepted at the same time come first.
	isWritten bool
}

// BatchReservation is a request's share of the memory of its submission.
type BatchReservation struct {
	memory *batchMemory
	id     jujubebatch.SubmissionID
	// route is the name of the route, for the log.
	route string
	// bytes is what this request has reserved. Requests with the same id share the memory, so only the largest of them counts.
	bytes int
}

func newBatchMemory(n *Node, settings MemorySettings, bodies *jujubememory.Budget) *batchMemory {
	return &batchMemory{node: n, settings: settings, bodies: bodies, reservations: make(map[jujubebatch.SubmissionID]*reservation)}
}

// ReserveBatch begins the reservation of memory for a submission. It ends with release, or when the submission has been written if that
// is later.
func (n *Node) ReserveBatch(id jujubebatch.SubmissionID, route string) (r *BatchReservation, release func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.memory.retain(id)
	r = &BatchReservation{memory: n.memory, id: id, route: route}
	return r, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.memory.release(id)
	}
}

// Check refuses a submission that needs more memory than there is, without a reservation. It returns how much of it has to be found: nothing
// for one that is sent again.
func (r *BatchReservation) Check(bytes int) (needed int, err error) {
	r.memory.node.mu.Lock()
	defer r.memory.node.mu.Unlock()
	if r.isOnLog() {
		return 0, nil
	}
	return bytes, r.check(bytes)
}

// isOnLog reports whether this instance has read the submission's record; the node's lock is held.
func (r *BatchReservation) isOnLog() bool {
	known, _ := r.memory.node.scheduler.SubmissionStatus(r.id)
	return known || r.memory.node.scheduler.IsDeferred(r.id)
}

// Grow reserves further bytes, or refuses the submission.
func (r *BatchReservation) Grow(bytes int) error {
	m := r.memory
	m.node.mu.Lock()
	defer m.node.mu.Unlock()
	if err := r.check(bytes); err != nil {
		return err
	}
	r.bytes += bytes
	reservation := m.reservations[r.id]
	m.reserved += max(0, r.bytes-reservation.bytes)
	reservation.bytes = max(reservation.bytes, r.bytes)
	m.publish()
	return nil
}

// check refuses a submission for which further bytes aren't available; the node's lock is held.
func (r *BatchReservation) check(bytes int) error {
	m := r.memory
	if r.isOnLog() {
		return nil
	}
	others := m.node.scheduler.HeldBytes() + m.reserved - m.reservations[r.id].bytes
	limit, smallest := m.acceptLimit()
	if limit == 0 || others+r.bytes+bytes <= limit {
		return nil
	}
	retryAfter := minMemoryRetryAfter
	if missing := m.node.scheduler.HeldBytes() + r.bytes + bytes - limit; missing > 0 {
		retryAfter = m.node.scheduler.FreesWithin(time.Now(), missing)
	}
	retryAfter = min(max(retryAfter, minMemoryRetryAfter), maxMemoryRetryAfter)
	m.node.metrics.countMemoryRefusal()
	m.node.log.Write(jujubeevent.SubmissionTooLarge, func() logrus.Fields {
		return logrus.Fields{
			"Submission": r.id, "Route": r.route, "Needed": r.bytes + bytes, "Others": others, "Limit": limit, "LimitOf": smallest, "RetryAfter": retryAfter.String(),
		}
	})
	return jujubeerror.ErrRefused{
		Code: jujubeerror.CodeOverloaded, Ran: model.RanNo, RetryAfter: retryAfter, Message: "no memory for the submission",
	}
}

// acceptLimit returns the lowest limit among the live instances, and whose it is; zero for none. The node's lock is held.
func (m *batchMemory) acceptLimit() (limit int, of model.InstanceID) {
	limit, of = m.settings.Accept, m.node.identity.Instance
	for _, heartbeat := range m.node.liveInstances {
		if other := heartbeat.BatchMemory; other > 0 && (limit == 0 || other < limit) {
			limit, of = other, heartbeat.Instance
		}
	}
	return limit, of
}

// recheck refuses a submission whose record isn't on the log yet if others have used up the memory meanwhile.
func (m *batchMemory) recheck(s *jujubebatch.Submission) error {
	m.node.mu.Lock()
	defer m.node.mu.Unlock()
	limit, _ := m.acceptLimit()
	if held := m.node.scheduler.HeldBytes(); limit > 0 && held+s.MemoryBytes() > limit {
		return jujubememory.ErrExhausted{Size: s.MemoryBytes()}
	}
	return nil
}

// retain adds a holder to a submission's reservation; the node's lock is held.
func (m *batchMemory) retain(id jujubebatch.SubmissionID) {
	if m.reservations[id] == nil {
		m.reservations[id] = &reservation{}
	}
	m.reservations[id].holders++
}

// release removes a holder. The node's lock is held.
func (m *batchMemory) release(id jujubebatch.SubmissionID) {
	m.reservations[id].holders--
	m.drop(id)
}

// markWritten records that a submission's record is on the log.
func (m *batchMemory) markWritten(id jujubebatch.SubmissionID) {
	m.node.mu.Lock()
	defer m.node.mu.Unlock()
	if known, _ := m.node.scheduler.SubmissionStatus(id); !known && !m.node.scheduler.IsDeferred(id) {
		m.reservations[id].isWritten = true
	}
}

// settle records that a submission's record has been read, and reports whether memory was reserved for it here; the node's lock is held.
func (m *batchMemory) settle(id jujubebatch.SubmissionID) (isReserved bool) {
	reservation := m.reservations[id]
	if reservation == nil {
		return false
	}
	reservation.isWritten = false
	m.drop(id)
	return true
}

// settleAll ends the reservations for records that have expired unread; the node's lock is held.
func (m *batchMemory) settleAll() {
	for id := range m.reservations {
		m.settle(id)
	}
}

// drop ends a reservation without holders whose record needn't be read any more; the node's lock is held.
func (m *batchMemory) drop(id jujubebatch.SubmissionID) {
	if reservation := m.reservations[id]; reservation.holders == 0 && !reservation.isWritten {
		m.reserved -= reservation.bytes
		delete(m.reservations, id)
	}
	m.publish()
}

// publish tells the budget of the bodies what the submissions take; the node's lock is held.
func (m *batchMemory) publish() { m.bodies.SetHeld(m.node.scheduler.HeldBytes() + m.reserved) }

package jujubeclock

import "time"

// ReadTime is how recent data is that was read from elsewhere. Both instants are this machine's.
type ReadTime struct {
	// RequestedAt is when the read was requested. Everything that was written before is included, whatever delayed the response.
	RequestedAt Instant
	// ReadAt is a time up to which everything is included if the source kept the time that it was asked to wait for news; at least
	// RequestedAt.
	ReadAt Instant
}

// ReadAges are the ages of a ReadTime at some instant, in a form that other machines understand. They are negative if the read was
// later than that instant.
type ReadAges struct {
	RequestAge, ReadAge time.Duration
}

// RequestedNow returns the time of a read that is requested at an instant.
func RequestedNow(now Instant) ReadTime { return ReadTime{RequestedAt: now, ReadAt: now} }

// Ages returns the ages at the instant at which another machine's request for the data arrived here.
func (t ReadTime) Ages(arrived Instant) ReadAges {
	return ReadAges{RequestAge: arrived.Sub(t.RequestedAt), ReadAge: arrived.Sub(t.ReadAt)}
}

// Relayed returns the time of a read that another machine made, in terms of this machine's clock. The other machine has received the
// request for the data at or after the instant at which this one asked, so the data is at least as recent as returned.
func Relayed(askedAt Instant, ages ReadAges) ReadTime {
	return ReadTime{RequestedAt: askedAt.Add(-ages.RequestAge), ReadAt: askedAt.Add(-ages.ReadAge)}
}

// Latest returns the later of two read times, field by field.
func (t ReadTime) Latest(other ReadTime) ReadTime {
	return ReadTime{RequestedAt: max(t.RequestedAt, other.RequestedAt), ReadAt: max(t.ReadAt, other.ReadAt)}
}

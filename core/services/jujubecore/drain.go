package jujubecore

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// applyDrained begins or ends an operator's drain and tells the other instances. Its rumour doesn't expire, because an
// instance that starts days later must not use the endpoint either.
func (c *Core) applyDrained(now time.Time, drained EndpointDrained) {
	row, known := c.endpoints.Get(drained.Endpoint)
	if !known || row.isDrained() != drained.Ended {
		return
	}
	c.setDrain(now, row, row.drain+1)
	c.members.Publish(now, newRumour(model.RumourDrain, string(drained.Endpoint), row.drain+1, nil))
}

func (c *Core) applyDrainRumour(now time.Time, rumour model.Rumour) {
	row, known := c.endpoints.Get(model.EndpointID(rumour.Key))
	if !known {
		// The endpoint may be listed here later than elsewhere.
		row.endpoint.ID = model.EndpointID(rumour.Key)
	}
	if rumour.Version > row.drain {
		c.setDrain(now, row, rumour.Version)
	}
}

func (c *Core) setDrain(now time.Time, row endpointRow, drain int64) {
	row.drain = drain
	c.endpoints.Put(row.endpoint.ID, row)
	if !row.isLeaving() {
		c.router.EndLeaving(row.endpoint.ID)
	}
	c.offer(now, row)
}

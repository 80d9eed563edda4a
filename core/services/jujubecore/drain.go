package jujubecore

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// applyEndpointDrained starts or ends an operator's drain and publishes it to the other instances. The gossip update doesn't
// expire, because an instance that starts days later must not use the endpoint either.
func (c *Core) applyEndpointDrained(now time.Time, drained EndpointDrained) {
	endpoint, known := c.endpoints.Get(drained.Endpoint)
	if !known || endpoint.isDrained() != drained.Ended {
		return
	}
	c.setDrainCount(now, endpoint, endpoint.drainCount+1)
	c.members.Publish(now, newGossipUpdate(model.GossipDrain, string(drained.Endpoint), endpoint.drainCount+1, nil))
}

func (c *Core) applyDrainUpdate(now time.Time, update model.Rumour) {
	endpoint, known := c.endpoints.Get(model.EndpointID(update.Key))
	if !known {
		// Other instances may have read the instance list earlier; keep the state until the endpoint is listed here.
		endpoint.info.ID = model.EndpointID(update.Key)
	}
	if update.Version > endpoint.drainCount {
		c.setDrainCount(now, endpoint, update.Version)
	}
}

func (c *Core) setDrainCount(now time.Time, endpoint endpointState, count int64) {
	endpoint.drainCount = count
	c.endpoints.Put(endpoint.info.ID, endpoint)
	if !endpoint.isLeaving() {
		c.router.ClearLeaving(endpoint.info.ID)
	}
	c.addToRouter(now, endpoint)
}

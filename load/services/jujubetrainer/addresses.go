package jujubetrainer

import (
	"context"
	"sync"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// addressTimeout limits one request for the addresses of the entry instances.
const addressTimeout = 2 * time.Second

// addressCache caches the last address response until it expires.
type addressCache struct {
	trainer *Trainer

	mu      sync.Mutex
	answer  model.AddressAnswer
	expires time.Time
}

// addresses returns the entry instances to use and refreshes an expired response first.
func (c *addressCache) addresses(ctx context.Context) []model.EntryAddress {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) {
		c.refresh(ctx)
	}
	return c.answer.Addresses
}

// invalidate forces a refresh at the next use; it is called when no instance answered or the one in use failed.
func (c *addressCache) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// refresh asks the known instances in turn, those of the last response first, until one returns addresses.
func (c *addressCache) refresh(ctx context.Context) {
	candidates := make([]string, 0, len(c.answer.Addresses)+len(c.trainer.settings.Addresses))
	for _, address := range c.answer.Addresses {
		candidates = append(candidates, address.Address)
	}
	candidates = append(candidates, c.trainer.settings.Addresses...)
	for _, address := range candidates {
		callCtx, cancel := context.WithTimeout(ctx, addressTimeout)
		answer, err := c.trainer.client.Addresses(callCtx, address, model.CallerID(c.trainer.settings.Trainer), c.trainer.settings.DataCentre)
		cancel()
		if err == nil && len(answer.Addresses) > 0 {
			c.answer = answer
			c.expires = time.Now().Add(answer.ValidFor.Std())
			return
		}
	}
}

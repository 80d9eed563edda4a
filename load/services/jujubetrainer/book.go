package jujubetrainer

import (
	"context"
	"sync"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// askTimeout bounds a question for addresses.
const askTimeout = 2 * time.Second

// addressBook keeps the last address answer for as long as it is valid.
type addressBook struct {
	trainer *Trainer

	mu      sync.Mutex
	answer  model.AddressAnswer
	expires time.Time
}

// addresses returns the instances to use, asking again when the last answer has run out.
func (b *addressBook) addresses(ctx context.Context) []model.EntryAddress {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().After(b.expires) {
		b.ask(ctx)
	}
	return b.answer.Addresses
}

// renew asks again at the next use, because an address didn't answer.
func (b *addressBook) renew() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expires = time.Time{}
}

func (b *addressBook) ask(ctx context.Context) {
	known := make([]string, 0, len(b.answer.Addresses)+len(b.trainer.settings.Addresses))
	for _, address := range b.answer.Addresses {
		known = append(known, address.Address)
	}
	known = append(known, b.trainer.settings.Addresses...)
	for _, address := range known {
		call, cancel := context.WithTimeout(ctx, askTimeout)
		answer, err := b.trainer.client.Addresses(call, address, model.CallerID(b.trainer.settings.Trainer), b.trainer.settings.DataCentre)
		cancel()
		if err == nil && len(answer.Addresses) > 0 {
			b.answer = answer
			b.expires = time.Now().Add(answer.ValidFor.Std())
			return
		}
	}
}

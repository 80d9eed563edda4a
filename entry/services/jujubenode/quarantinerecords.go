package jujubenode

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubequarantine"
)

// ListQuarantine returns the fingerprints that the store's records quarantine or suspect, for operators.
func ListQuarantine(ctx context.Context, store Store) ([]jujubequarantine.Entry, error) {
	quarantine, err := readQuarantine(ctx, store)
	if err != nil {
		return nil, err
	}
	return quarantine.List(), nil
}

// LiftQuarantine ends the quarantine or the suspicion of a fingerprint at all instances: the crashes that led to it never count again.
// It returns false if the store has neither.
func LiftQuarantine(ctx context.Context, store Store, f model.Fingerprint) (bool, error) {
	quarantine, err := readQuarantine(ctx, store)
	if err != nil {
		return false, err
	}
	now := time.Now()
	if len(quarantine.UpdatesFor(now, f)) == 0 {
		return false, nil
	}
	update := quarantine.Lift(now, f)
	value, err := json.Marshal(update)
	if err != nil {
		return false, errors.Wrap(err, "quarantine record")
	}
	_, err = store.Append(ctx, topicQuarantine, 0, []Record{{Key: updateKey(update), Value: value}}, NoCondition)
	return err == nil, err
}

// readQuarantine applies the store's records to an empty quarantine. Records that can't be used are skipped, as instances do.
func readQuarantine(ctx context.Context, store Store) (*jujubequarantine.Quarantine, error) {
	quarantine := jujubequarantine.New(jujubequarantine.PlatformSettings())
	now := time.Now()
	for after, more := "", true; more; {
		page, err := store.Newest(ctx, topicQuarantine, after)
		if err != nil {
			return nil, err
		}
		for _, record := range page.Records {
			after = record.Key
			var update model.Rumour
			if json.Unmarshal(record.Value, &update) == nil && updateKey(update) == record.Key {
				quarantine.ApplyUpdate(now, update)
			}
		}
		more = page.More && len(page.Records) > 0
	}
	// All crashes have been reported when an operator lists them, so they are judged as settled.
	quarantine.Check(now.Add(jujubequarantine.PlatformSettings().SettleTime), 0)
	return quarantine, nil
}

package jujubequarantine

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// maxCrashes bounds the crashes that are kept per fingerprint and listed by a lift, so that a gossip update stays below 1 KB.
const maxCrashes = 8

// Versions of a GossipSuspect. Its key consists of the fingerprint and the crash. With one key per fingerprint, two crashes that
// are detected at the same time would get the same version, and one of them would be lost.
const (
	versionSuspect = 1
	versionCleared = 2
)

// suspectPayload is the payload of a GossipSuspect.
type suspectPayload struct {
	Until time.Time
}

// verdictPayload is the payload of a GossipQuarantine, whose odd versions quarantine and whose even versions lift.
type verdictPayload struct {
	Crashes []model.CrashID
	Until   time.Time
}

func newSuspectUpdate(f model.Fingerprint, c crash) model.Rumour {
	payload, _ := json.Marshal(suspectPayload{Until: c.until.UTC()}) // can't fail: JSON can encode a time of this era
	update := model.Rumour{Kind: model.GossipSuspect, Key: formatKey(f) + "/" + string(c.id), Version: versionSuspect, Payload: payload}
	if c.cleared {
		update.Version = versionCleared
	}
	return update
}

func newVerdictUpdate(f model.Fingerprint, v *verdict) model.Rumour {
	payload, _ := json.Marshal(verdictPayload{Crashes: v.crashes, Until: v.until.UTC()})
	return model.Rumour{Kind: model.GossipQuarantine, Key: formatKey(f), Version: v.version, Payload: payload}
}

func formatKey(f model.Fingerprint) string { return strconv.FormatUint(uint64(f), 16) }

// UpdatesFor returns the gossip updates of all crashes and the verdict that this instance has for a fingerprint.
func (q *Quarantine) UpdatesFor(_ time.Time, f model.Fingerprint) []model.Rumour {
	var updates []model.Rumour
	if s, ok := q.suspects.Get(f); ok {
		for _, c := range s.crashes {
			updates = append(updates, newSuspectUpdate(f, c))
		}
	}
	if v, ok := q.verdicts.Get(f); ok {
		updates = append(updates, newVerdictUpdate(f, v))
	}
	return updates
}

// ApplyUpdate merges a gossip update and reports whether it changed anything. Malformed and expired updates are ignored.
func (q *Quarantine) ApplyUpdate(now time.Time, update model.Rumour) bool {
	key, id, _ := strings.Cut(update.Key, "/")
	value, err := strconv.ParseUint(key, 16, 64)
	if err != nil || update.Version < 1 {
		return false
	}
	switch update.Kind {
	case model.GossipSuspect:
		var payload suspectPayload
		if id == "" || json.Unmarshal(update.Payload, &payload) != nil {
			return false
		}
		c := crash{id: model.CrashID(id), until: payload.Until, cleared: update.Version >= versionCleared}
		return q.mergeCrash(now, model.Fingerprint(value), c)
	case model.GossipQuarantine:
		var payload verdictPayload
		if json.Unmarshal(update.Payload, &payload) != nil {
			return false
		}
		v := verdict{version: update.Version, crashes: payload.Crashes, until: payload.Until}
		return q.mergeVerdict(now, model.Fingerprint(value), v)
	}
	return false
}

// Expiry returns when an update expires; zero if it is malformed.
func Expiry(update model.Rumour) time.Time {
	var payload suspectPayload // a verdict has the field, too
	if err := json.Unmarshal(update.Payload, &payload); err != nil {
		return time.Time{}
	}
	return payload.Until
}

// RemoveUpdate forgets the crash or the verdict of an update with this kind and key. An operator removes all those of a
// fingerprint from the store to let it run again.
func (q *Quarantine) RemoveUpdate(kind model.GossipKind, key string) {
	fingerprint, id, _ := strings.Cut(key, "/")
	value, err := strconv.ParseUint(fingerprint, 16, 64)
	if err != nil {
		return
	}
	f := model.Fingerprint(value)
	if kind == model.GossipQuarantine {
		q.verdicts.Delete(f)
		return
	}
	s, ok := q.suspects.Get(f)
	if !ok {
		return
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.id == model.CrashID(id) })
	if len(s.crashes) == 0 {
		q.suspects.Delete(f)
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// mergeCrash merges a crash into a fingerprint's suspicion and reports whether that changed it. A cleared crash takes precedence
// over the same crash uncleared, and the later expiry over the earlier one.
func (q *Quarantine) mergeCrash(now time.Time, f model.Fingerprint, c crash) bool {
	c.until = earliest(c.until, now.Add(q.settings.SuspicionTTL)) // another instance's clock may be ahead
	if !now.Before(c.until) {
		return false
	}
	v, hasVerdict := q.verdicts.Get(f)
	if hasVerdict && v.version%2 == 0 && now.Before(v.until) && slices.Contains(v.crashes, c.id) {
		c.cleared = true
	}
	s, ok := q.suspects.Get(f)
	if !ok {
		s = &suspicion{}
		insertBounded(q.suspects, f, s, q.settings.MaxSuspects, (*suspicion).expiry)
	}
	c.learnedAt = now
	changed := s.merge(now, c)
	q.derive(now, f)
	return changed
}

// merge adds or updates a crash and reports whether that changed anything. It drops expired crashes, and the one that expires
// first when there are too many.
func (s *suspicion) merge(now time.Time, c crash) bool {
	index, found := slices.BinarySearchFunc(s.crashes, c.id, func(c crash, id model.CrashID) int { return cmp.Compare(c.id, id) })
	if found {
		old := s.crashes[index]
		c.cleared, c.learnedAt = c.cleared || old.cleared, old.learnedAt
		if old.until.After(c.until) {
			c.until = old.until
		}
		s.crashes[index] = c
		return c.cleared != old.cleared || !c.until.Equal(old.until)
	}
	s.crashes = slices.Insert(s.crashes, index, c)
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return !now.Before(c.until) })
	if len(s.crashes) > maxCrashes {
		oldest := slices.MinFunc(s.crashes, func(a, b crash) int { return a.until.Compare(b.until) })
		s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.id == oldest.id })
	}
	return true
}

// expiry returns when the last crash expires.
func (s *suspicion) expiry() time.Time {
	var latest time.Time
	for _, c := range s.crashes {
		if c.until.After(latest) {
			latest = c.until
		}
	}
	return latest
}

func (v *verdict) expiry() time.Time { return v.until }

// mergeVerdict merges a verdict and reports whether that changed anything. The higher version takes precedence. Verdicts of the
// same version are merged to the union of their crashes: at most the lowest Settings.Limit ids for a quarantine,
// maxCrashes for a lift.
func (q *Quarantine) mergeVerdict(now time.Time, f model.Fingerprint, v verdict) bool {
	v.until = earliest(v.until, now.Add(q.settings.QuarantineTTL))
	if !now.Before(v.until) {
		return false
	}
	old, ok := q.verdicts.Get(f)
	if ok && v.version < old.version {
		return false
	}
	if ok && v.version == old.version {
		v.crashes = append(slices.Clone(old.crashes), v.crashes...)
		if old.until.After(v.until) {
			v.until = old.until
		}
	}
	slices.Sort(v.crashes)
	v.crashes = slices.Compact(v.crashes)
	limit := maxCrashes
	if v.version%2 == 1 {
		limit = q.settings.Limit
	}
	v.crashes = v.crashes[:min(len(v.crashes), limit)]
	if ok && v.version == old.version && v.until.Equal(old.until) && slices.Equal(v.crashes, old.crashes) {
		return false
	}
	if ok {
		*old = v
	} else {
		insertBounded(q.verdicts, f, &v, q.settings.MaxVerdicts, (*verdict).expiry)
	}
	if s, found := q.suspects.Get(f); found && v.version%2 == 0 {
		for i := range s.crashes {
			s.crashes[i].cleared = s.crashes[i].cleared || slices.Contains(v.crashes, s.crashes[i].id)
		}
	}
	return true
}

// insertBounded adds an entry to a bounded table. When the table is full, it evicts the entry that expires first.
func insertBounded[V any](table *jujubetable.Table[model.Fingerprint, V], f model.Fingerprint, entry V, limit int,
	expiry func(V) time.Time,
) {
	if table.Len() >= limit {
		var evicted model.Fingerprint
		var firstExpiry time.Time
		for key, other := range table.All() {
			if at := expiry(other); firstExpiry.IsZero() || at.Before(firstExpiry) {
				evicted, firstExpiry = key, at
			}
		}
		table.Delete(evicted)
	}
	table.Put(f, entry)
}

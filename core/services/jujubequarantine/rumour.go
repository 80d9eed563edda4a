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

// maxCrashes bounds the crashes kept per fingerprint and named by a lift, so that a rumour stays below 1 KB.
const maxCrashes = 8

// Versions of a RumourSuspect. Its key names the fingerprint and the crash: with one key per fingerprint, two crashes
// that are found at the same time would have the same version, and one of them would be lost.
const (
	versionSuspect = 1
	versionCleared = 2
)

// suspectPayload is the payload of a RumourSuspect.
type suspectPayload struct {
	Until time.Time
}

// verdictPayload is the payload of a RumourQuarantine, whose odd versions quarantine and whose even versions lift.
type verdictPayload struct {
	Crashes []model.CrashID
	Until   time.Time
}

func newSuspectRumour(f model.Fingerprint, c crash) model.Rumour {
	payload, _ := json.Marshal(suspectPayload{Until: c.until.UTC()}) // can't fail: a time of this era
	rumour := model.Rumour{Kind: model.RumourSuspect, Key: formatKey(f) + "/" + string(c.id), Version: versionSuspect, Payload: payload}
	if c.cleared {
		rumour.Version = versionCleared
	}
	return rumour
}

func newVerdictRumour(f model.Fingerprint, v *verdict) model.Rumour {
	payload, _ := json.Marshal(verdictPayload{Crashes: v.crashes, Until: v.until.UTC()})
	return model.Rumour{Kind: model.RumourQuarantine, Key: formatKey(f), Version: v.version, Payload: payload}
}

func formatKey(f model.Fingerprint) string { return strconv.FormatUint(uint64(f), 16) }

// RumoursOf returns all that is known of a fingerprint.
func (q *Quarantine) RumoursOf(_ time.Time, f model.Fingerprint) []model.Rumour {
	var rumours []model.Rumour
	if row, ok := q.suspects.Get(f); ok {
		for _, c := range row.crashes {
			rumours = append(rumours, newSuspectRumour(f, c))
		}
	}
	if v, ok := q.verdicts.Get(f); ok {
		rumours = append(rumours, newVerdictRumour(f, v))
	}
	return rumours
}

// ApplyRumour merges a rumour and tells whether it changed anything. Malformed and expired rumours change nothing.
func (q *Quarantine) ApplyRumour(now time.Time, rumour model.Rumour) bool {
	key, id, _ := strings.Cut(rumour.Key, "/")
	value, err := strconv.ParseUint(key, 16, 64)
	if err != nil || rumour.Version < 1 {
		return false
	}
	switch rumour.Kind {
	case model.RumourSuspect:
		var payload suspectPayload
		if id == "" || json.Unmarshal(rumour.Payload, &payload) != nil {
			return false
		}
		c := crash{id: model.CrashID(id), until: payload.Until, cleared: rumour.Version >= versionCleared}
		return q.mergeCrash(now, model.Fingerprint(value), c)
	case model.RumourQuarantine:
		var payload verdictPayload
		if json.Unmarshal(rumour.Payload, &payload) != nil {
			return false
		}
		v := verdict{version: rumour.Version, crashes: payload.Crashes, until: payload.Until}
		return q.mergeVerdict(now, model.Fingerprint(value), v)
	}
	return false
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// mergeCrash adds a crash to a fingerprint. Cleared wins over not cleared, and the later expiry over the earlier.
func (q *Quarantine) mergeCrash(now time.Time, f model.Fingerprint, c crash) bool {
	c.until = earlier(c.until, now.Add(q.settings.SuspectFor)) // another instance's clock may be ahead
	if !now.Before(c.until) {
		return false
	}
	v, judged := q.verdicts.Get(f)
	if judged && v.version%2 == 0 && now.Before(v.until) && slices.Contains(v.crashes, c.id) {
		c.cleared = true
	}
	row, ok := q.suspects.Get(f)
	if !ok {
		row = &suspicion{}
		insert(q.suspects, f, row, q.settings.Suspects, (*suspicion).expiry)
	}
	changed := row.merge(now, c)
	if judged && v.isInForce(now) {
		return changed
	}
	if active := q.active(now, f); len(active) >= 2 {
		derived := verdict{version: 1, crashes: []model.CrashID{active[0].id, active[1].id}, until: now.Add(q.settings.QuarantineFor)}
		if judged {
			derived.version = v.version + 1 + v.version%2
		}
		q.mergeVerdict(now, f, derived)
		merged, _ := q.verdicts.Get(f)
		q.derived = append(q.derived, newVerdictRumour(f, merged))
	}
	return changed
}

func (s *suspicion) merge(now time.Time, c crash) bool {
	at, found := slices.BinarySearchFunc(s.crashes, c.id, func(c crash, id model.CrashID) int { return cmp.Compare(c.id, id) })
	if found {
		old := s.crashes[at]
		c.cleared = c.cleared || old.cleared
		if old.until.After(c.until) {
			c.until = old.until
		}
		s.crashes[at] = c
		return c.cleared != old.cleared || !c.until.Equal(old.until)
	}
	s.crashes = slices.Insert(s.crashes, at, c)
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return !now.Before(c.until) })
	if len(s.crashes) > maxCrashes {
		oldest := slices.MinFunc(s.crashes, func(a, b crash) int { return a.until.Compare(b.until) })
		s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.id == oldest.id })
	}
	return true
}

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

// mergeVerdict keeps the higher version. Verdicts of the same version unite their crashes: the two lowest ids of a
// quarantine, all of a lift up to maxCrashes.
func (q *Quarantine) mergeVerdict(now time.Time, f model.Fingerprint, v verdict) bool {
	v.until = earlier(v.until, now.Add(q.settings.QuarantineFor))
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
	bound := maxCrashes
	if v.version%2 == 1 {
		bound = 2
	}
	v.crashes = v.crashes[:min(len(v.crashes), bound)]
	if ok && v.version == old.version && v.until.Equal(old.until) && slices.Equal(v.crashes, old.crashes) {
		return false
	}
	if ok {
		*old = v
	} else {
		insert(q.verdicts, f, &v, q.settings.Verdicts, (*verdict).expiry)
	}
	if row, found := q.suspects.Get(f); found && v.version%2 == 0 {
		for i := range row.crashes {
			row.crashes[i].cleared = row.crashes[i].cleared || slices.Contains(v.crashes, row.crashes[i].id)
		}
	}
	return true
}

// insert adds a row to a bounded table; the row that expires first makes room.
func insert[V any](table *jujubetable.Table[model.Fingerprint, V], f model.Fingerprint, row V, bound int, expiry func(V) time.Time) {
	if table.Len() >= bound {
		var oldest model.Fingerprint
		var first time.Time
		for key, other := range table.All() {
			if at := expiry(other); first.IsZero() || at.Before(first) {
				oldest, first = key, at
			}
		}
		table.Delete(oldest)
	}
	table.Put(f, row)
}

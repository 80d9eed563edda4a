package jujubequarantine

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

const (
	// maxCrashes bounds the crashes that are kept per fingerprint and listed by a lift, so that a gossip update stays below 1 KB.
	maxCrashes = 8
	// maxCompletions bounds the completions that are kept per fingerprint; those of two software versions can outweigh maxCrashes.
	maxCompletions = 2 * (maxCrashes + 1)
)

// versionEvidence is the version of a GossipSuspect and of a GossipCompletion. Their keys consist of the fingerprint and the process.
// With one key per fingerprint, two crashes that are detected at the same time would get the same version, and one of them would be
// lost. Earlier builds publish a version 2 for crashes that any response of another endpoint has cleared; here these count.
const versionEvidence = 1

// evidencePayload is the payload of a GossipSuspect, for a process that ended, and of a GossipCompletion.
type evidencePayload struct {
	Until           time.Time
	SoftwareVersion model.SoftwareVersion `json:",omitempty"`
}

// verdictPayload is the payload of a GossipQuarantine, whose odd versions quarantine and whose even versions lift.
type verdictPayload struct {
	Crashes []model.ProcessID
	Until   time.Time
}

func newSuspectUpdate(f model.Fingerprint, e evidence) model.Rumour {
	return newEvidenceUpdate(model.GossipSuspect, f, e)
}

func newCompletionUpdate(f model.Fingerprint, e evidence) model.Rumour {
	return newEvidenceUpdate(model.GossipCompletion, f, e)
}

func newEvidenceUpdate(kind model.GossipKind, f model.Fingerprint, e evidence) model.Rumour {
	payload, _ := json.Marshal(evidencePayload{Until: e.until.UTC(), SoftwareVersion: e.software}) // can't fail: JSON can encode a time of this era
	return model.Rumour{Kind: kind, Key: formatKey(f) + "/" + string(e.process), Version: versionEvidence, Payload: payload}
}

func newVerdictUpdate(f model.Fingerprint, v *verdict) model.Rumour {
	payload, _ := json.Marshal(verdictPayload{Crashes: v.crashes, Until: v.until.UTC()})
	return model.Rumour{Kind: model.GossipQuarantine, Key: formatKey(f), Version: v.version, Payload: payload}
}

func formatKey(f model.Fingerprint) string { return strconv.FormatUint(uint64(f), 16) }

// UpdatesFor returns the gossip updates of all crashes, completions and the verdict that this instance has for a fingerprint.
func (q *Quarantine) UpdatesFor(_ time.Time, f model.Fingerprint) []model.Rumour {
	var updates []model.Rumour
	if s, ok := q.suspects.Get(f); ok {
		for _, e := range s.crashes {
			updates = append(updates, newSuspectUpdate(f, e))
		}
		for _, e := range s.completions {
			updates = append(updates, newCompletionUpdate(f, e))
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
	case model.GossipSuspect, model.GossipCompletion:
		var payload evidencePayload
		if id == "" || json.Unmarshal(update.Payload, &payload) != nil {
			return false
		}
		e := evidence{process: model.ProcessID(id), software: payload.SoftwareVersion, until: payload.Until}
		if update.Kind == model.GossipCompletion {
			return q.mergeCompletion(now, model.Fingerprint(value), e)
		}
		return q.mergeCrash(now, model.Fingerprint(value), e)
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
	var payload evidencePayload // a verdict has the field, too
	if err := json.Unmarshal(update.Payload, &payload); err != nil {
		return time.Time{}
	}
	return payload.Until
}

// RemoveUpdate forgets the crash, the completion or the verdict of an update with this kind and key. An operator removes all those of a
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
	isRemoved := func(e evidence) bool { return e.process == model.ProcessID(id) }
	if kind == model.GossipCompletion {
		s.completions = slices.DeleteFunc(s.completions, isRemoved)
	} else {
		s.crashes = slices.DeleteFunc(s.crashes, isRemoved)
	}
	if len(s.crashes)+len(s.completions) == 0 {
		q.suspects.Delete(f)
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// mergeCrash merges a crash into a fingerprint's suspicion and reports whether that changed it.
func (q *Quarantine) mergeCrash(now time.Time, f model.Fingerprint, e evidence) bool {
	v, hasVerdict := q.verdicts.Get(f)
	e.lifted = hasVerdict && v.version%2 == 0 && now.Before(v.until) && slices.Contains(v.crashes, e.process)
	return q.mergeInto(now, f, e, func(s *suspicion) *[]evidence { return &s.crashes }, maxCrashes)
}

// mergeCompletion merges a completion into a fingerprint's suspicion and reports whether that changed it. It may arrive before the
// crash.
func (q *Quarantine) mergeCompletion(now time.Time, f model.Fingerprint, e evidence) bool {
	return q.mergeInto(now, f, e, func(s *suspicion) *[]evidence { return &s.completions }, maxCompletions)
}

func (q *Quarantine) mergeInto(now time.Time, f model.Fingerprint, e evidence, list func(*suspicion) *[]evidence, limit int) bool {
	e.until = earliest(e.until, now.Add(q.settings.SuspicionTTL)) // another instance's clock may be ahead
	if !now.Before(e.until) {
		return false
	}
	s, ok := q.suspects.Get(f)
	if !ok {
		s = &suspicion{}
		insertBounded(q.suspects, f, s, q.settings.MaxSuspects, func(a, b *suspicion) int { return a.compareForEviction(now, b) })
	}
	e.learnedAt = now
	all := list(s)
	var changed bool
	*all, changed = mergeEvidence(now, *all, e, limit)
	q.derive(now, f)
	return changed
}

// compareForEviction orders verdicts: those that expire first are evicted first.
func (v *verdict) compareForEviction(other *verdict) int { return v.until.Compare(other.until) }

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
		insertBounded(q.verdicts, f, &v, q.settings.MaxVerdicts, (*verdict).compareForEviction)
	}
	if s, found := q.suspects.Get(f); found && v.version%2 == 0 {
		for i := range s.crashes {
			s.crashes[i].lifted = s.crashes[i].lifted || slices.Contains(v.crashes, s.crashes[i].process)
		}
	}
	return true
}

// insertBounded adds an entry to a bounded table. When the table is full, it evicts the lowest entry.
func insertBounded[V any](table *jujubetable.Table[model.Fingerprint, V], f model.Fingerprint, entry V, limit int,
	compare func(a, b V) int,
) {
	if table.Len() >= limit {
		var evicted model.Fingerprint
		var lowest V
		isFirst := true
		for key, other := range table.All() {
			if isFirst || compare(other, lowest) < 0 {
				evicted, lowest, isFirst = key, other, false
			}
		}
		table.Delete(evicted)
	}
	table.Put(f, entry)
}

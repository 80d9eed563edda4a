package jujubenode

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubequarantine"
	"jujubepier.example/core/services/jujuberouter"
)

const (
	// maxProcessCheckWait is how long the next attempt of a request that broke off waits until it is known whether the endpoint
	// crashed. Two connections, one of them opened by another instance, take some ms; one that hangs isn't waited for.
	maxProcessCheckWait = 100 * time.Millisecond
	// quarantineRetryDelay is the delay before updates that couldn't be written to the store are written again.
	quarantineRetryDelay = 200 * time.Millisecond
	// shareDelay is how long an append of updates may take before they are also sent to the other instances directly; the store responds in
	// 4 ms, or in 250 ms when it is slow.
	shareDelay = 100 * time.Millisecond
	// expiredRecordMargin is how long after their expiry records are kept; the clocks of the instances differ, and may jump by
	// seconds.
	expiredRecordMargin = time.Minute
)

// crashes is the node's part of the quarantine of requests that crash endpoints; the node's lock guards it.
type crashes struct {
	quarantine *jujubequarantine.Quarantine
	runs       *jujubequarantine.RunTracker
	// checks holds the endpoints whose process is being checked.
	checks map[model.EndpointID]*processCheck
	// unwritten holds updates that aren't in the store yet, by their keys there; writeCh wakes the writer.
	unwritten map[string]model.Rumour
	writeCh   chan struct{}
	// expiries holds when the records in the store expire, by their keys.
	expiries map[string]time.Time
}

// processCheck is a check whether an incarnation's process still lives; doneCh is closed at its end.
type processCheck struct {
	incarnation model.Incarnation
	doneCh      chan struct{}
}

func newCrashes() *crashes {
	quarantine := jujubequarantine.New(jujubequarantine.PlatformSettings())
	return &crashes{
		quarantine: quarantine, runs: jujubequarantine.NewRunTracker(quarantine), checks: map[model.EndpointID]*processCheck{},
		unwritten: map[string]model.Rumour{}, writeCh: make(chan struct{}, 1), expiries: map[string]time.Time{},
	}
}

// fingerprint identifies the content of a request, whoever of an organisation sends it. Servers may run it differently for another
// organisation, so its crashes don't count against that.
func (r *PlainRequest) fingerprint() model.Fingerprint {
	if r.Organisation != "" {
		return model.NewBodyFingerprint(r.Body, "call", r.Host, r.Method, r.URI, string(r.Organisation))
	}
	return model.NewBodyFingerprint(r.Body, "call", r.Host, r.Method, r.URI)
}

// checkContent returns the refusal of a request whose content has crashed endpoints. A suspect gets no second copy while one runs,
// since both endpoints could crash. The lock is held.
func (f *forwarding) checkContent(now time.Time, kind attemptKind) error {
	if f.fingerprint == 0 {
		return nil
	}
	n := f.node
	status := n.crashes.quarantine.Check(now, f.fingerprint)
	n.publishUpdates(n.crashes.quarantine.PopDerived())
	switch {
	case status == jujubequarantine.Quarantined:
		return jujubeerror.ErrRefused{
			Code: jujubeerror.CodeQuarantined, Ran: model.RanNo, RetryAfter: n.crashes.quarantine.RetryAfter(now, f.fingerprint),
			Message: "requests with this content have crashed endpoints",
		}
	case status == jujubequarantine.Suspect && kind == hedged:
		return refusal(jujubeerror.CodeNoEndpoint, "the content is suspected of crashing endpoints")
	}
	return nil
}

// excludeSuspects returns the endpoints to exclude so that a suspect doesn't run beside another one. The lock is held.
func (f *forwarding) excludeSuspects(now time.Time) []model.EndpointID {
	if f.fingerprint == 0 || f.node.crashes.quarantine.Check(now, f.fingerprint) == jujubequarantine.Clear {
		return nil
	}
	return f.node.crashes.runs.SuspectEndpoints(now, f.fingerprint)
}

// startRun records that the request is sent to an endpoint, unless its content has been quarantined while it waited.
func (f *forwarding) startRun(id model.RequestID, kind attemptKind, decision jujuberouter.Decision) error {
	n := f.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if err := f.checkContent(now, kind); err != nil {
		n.deliverDecisions(n.router.Cancel(now, id))
		return err
	}
	if f.fingerprint != 0 {
		n.crashes.runs.Start(now, jujubequarantine.Attempt{
			ID: id, Fingerprint: f.fingerprint, Process: jujubequarantine.Process{
				Endpoint: decision.Endpoint, Incarnation: decision.Incarnation, SoftwareVersion: decision.SoftwareVersion,
			},
		})
	}
	return nil
}

// endRun records how an attempt ended, and reports whether its endpoint has to be checked because it broke off. The lock is held.
func (n *Node) endRun(ctx context.Context, now time.Time, id model.RequestID, call Call, response Response, err error) bool {
	runs := n.crashes.runs
	var callErr ErrCall
	var updates []model.Rumour
	isPending := false
	switch {
	case err == nil && response.isSuccess():
		updates = runs.Complete(now, id)
		n.logCompletion(id, updates)
	case err == nil:
		runs.Cancel(now, id)
	case !errors.As(err, &callErr) || callErr.Ran == model.RanNo:
		runs.Cancel(now, id)
	default:
		updates, isPending = runs.Break(now, id)
		n.publishCrash(call.Endpoint, call.Incarnation, updates, "its process has ended before")
		updates = nil
	}
	n.publishUpdates(updates)
	// A request that this instance has given up is no reason for a check. If the process has ended silently, its registry entry shows it.
	return isPending && ctx.Err() == nil
}

// logCompletion logs what a completion proves about a suspect.
func (n *Node) logCompletion(id model.RequestID, updates []model.Rumour) {
	for _, update := range updates {
		n.log.Write(jujubeevent.SuspectCompleted, func() logrus.Fields {
			fingerprint, process, _ := strings.Cut(update.Key, "/")
			return logrus.Fields{"Request": id, "Fingerprint": fingerprint, "Process": process}
		})
	}
}

// awaitProcessCheck waits until it is known whether the endpoint of a call that broke off has crashed, for a limited time. One
// check serves all calls to an endpoint that break off at the same time.
func (n *Node) awaitProcessCheck(ctx context.Context, call Call) {
	n.mu.Lock()
	check, ok := n.crashes.checks[call.Endpoint]
	if !ok || check.incarnation != call.Incarnation {
		check = &processCheck{incarnation: call.Incarnation, doneCh: make(chan struct{})}
		n.crashes.checks[call.Endpoint] = check
		n.tomb.Go(func() error {
			n.runProcessCheck(check, call.Endpoint, call.Address)
			return nil
		})
	}
	n.mu.Unlock()
	timer := time.NewTimer(maxProcessCheckWait)
	defer timer.Stop()
	select {
	case <-check.doneCh:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (n *Node) runProcessCheck(check *processCheck, id model.EndpointID, address string) {
	defer close(check.doneCh)
	startedAt := time.Now()
	state := n.endpointPath.checkProcess(n.tomb.Context(nil), address)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.crashes.checks[id] == check {
		delete(n.crashes.checks, id)
	}
	engine, _ := n.scheduler.EngineState(id)
	isPlanned := engine.Leaving && engine.Incarnation == check.incarnation
	switch {
	case state == processAlive || state == processGone && isPlanned:
		n.crashes.runs.RecordAlive(time.Now(), startedAt, id, check.incarnation)
	case state == processGone:
		updates := n.crashes.runs.RecordCrash(time.Now(), id, check.incarnation)
		n.publishCrash(id, check.incarnation, updates, "connections are refused")
	}
}

// recordReplacement blames the crash of an endpoint that has started again on the requests that were in flight on its process. The
// lock is held.
func (n *Node) recordReplacement(now time.Time, id model.EndpointID, incarnation, next model.Incarnation) {
	n.publishCrash(id, incarnation, n.crashes.runs.RecordReplacement(now, id, incarnation, next), "it has started again")
}

// recordRemoval blames the crash of an endpoint whose entry has expired on the requests that broke off on it. The lock is held.
func (n *Node) recordRemoval(now time.Time, id model.EndpointID, incarnation model.Incarnation) {
	n.publishCrash(id, incarnation, n.crashes.runs.RecordRemoval(now, id, incarnation), "its entry has expired")
}

func (n *Node) publishCrash(id model.EndpointID, incarnation model.Incarnation, updates []model.Rumour, evidence string) {
	if len(updates) == 0 {
		return
	}
	n.log.Write(jujubeevent.EndpointLost, func() logrus.Fields {
		var suspects []string
		for _, update := range updates {
			suspects = append(suspects, update.Key)
		}
		return logrus.Fields{"Endpoint": id, "Incarnation": incarnation, "Evidence": evidence, "Suspects": suspects}
	})
	n.publishUpdates(updates)
}

// publishUpdates passes updates to the other instances, through the store. The lock is held.
func (n *Node) publishUpdates(updates []model.Rumour) {
	for _, update := range updates {
		n.crashes.unwritten[updateKey(update)] = update
	}
	if len(updates) > 0 {
		select {
		case n.crashes.writeCh <- struct{}{}:
		default:
		}
	}
}

func updateKey(update model.Rumour) string { return string(update.Kind) + "/" + update.Key }

// writeUpdates writes updates to the store until the context ends.
func (n *Node) writeUpdates(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.crashes.writeCh:
		}
		for updates := n.takeUnwritten(); len(updates) > 0; updates = n.takeUnwritten() {
			if n.shareUpdates(ctx, updates) == nil {
				continue
			}
			n.mu.Lock()
			for _, update := range updates {
				if _, isNewer := n.crashes.unwritten[updateKey(update)]; !isNewer {
					n.crashes.unwritten[updateKey(update)] = update
				}
			}
			n.mu.Unlock()
			n.store.sleep(ctx, quarantineRetryDelay)
			if ctx.Err() != nil {
				return nil
			}
		}
	}
}

// shareUpdates writes updates to the store. If that fails or takes long, it also sends them to the other instances.
func (n *Node) shareUpdates(ctx context.Context, updates []model.Rumour) error {
	writtenCh := make(chan error, 1)
	go func() { writtenCh <- n.appendUpdates(ctx, updates) }()
	timer := time.NewTimer(shareDelay)
	defer timer.Stop()
	select {
	case err := <-writtenCh:
		if err != nil {
			n.broadcast(ctx, "Relay.TellQuarantine", updates)
		}
		return err
	case <-timer.C:
		n.broadcast(ctx, "Relay.TellQuarantine", updates)
		return <-writtenCh
	}
}

func (n *Node) takeUnwritten() []model.Rumour {
	n.mu.Lock()
	defer n.mu.Unlock()
	var updates []model.Rumour
	for _, update := range n.crashes.unwritten {
		updates = append(updates, update)
	}
	clear(n.crashes.unwritten)
	return updates
}

func (n *Node) appendUpdates(ctx context.Context, updates []model.Rumour) error {
	var records []Record
	for _, update := range updates {
		value, err := json.Marshal(update)
		if err != nil {
			return errors.Wrap(err, "quarantine record")
		}
		records = append(records, Record{Key: updateKey(update), Value: value})
	}
	return n.appendQuarantine(ctx, records)
}

func (n *Node) appendQuarantine(ctx context.Context, records []Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := n.store.Append(ctx, topicQuarantine, 0, records, NoCondition)
	if err != nil {
		n.log.Write(jujubeevent.AppendFailed, func() logrus.Fields {
			return logrus.Fields{"Topic": topicQuarantine.Name, "Entries": len(records), "Error": err.Error()}
		})
	}
	return err
}

// applyQuarantine applies a record of the quarantine's topic; the lock is held.
func (n *Node) applyQuarantine(now time.Time, _ int64, record Record) {
	kind, key, _ := strings.Cut(record.Key, "/")
	if len(record.Value) == 0 {
		delete(n.crashes.expiries, record.Key)
		n.crashes.quarantine.RemoveUpdate(model.GossipKind(kind), key)
		return
	}
	var update model.Rumour
	err := json.Unmarshal(record.Value, &update)
	if err == nil && updateKey(update) != record.Key {
		err = errors.New("the key isn't that of the update")
	}
	if err != nil {
		n.log.Write(jujubeevent.RecordUnusable, func() logrus.Fields {
			return logrus.Fields{"Topic": topicQuarantine.Name, "Key": record.Key, "Error": err.Error()}
		})
		return
	}
	n.crashes.expiries[record.Key] = jujubequarantine.Expiry(update)
	n.applyUpdate(now, update)
}

// applyUpdate merges an update of another instance; the lock is held.
func (n *Node) applyUpdate(now time.Time, update model.Rumour) {
	n.crashes.quarantine.ApplyUpdate(now, update)
	n.publishUpdates(n.crashes.quarantine.PopDerived())
}

// resetQuarantine applies all records. Those that were deleted while this instance couldn't read them expire by themselves.
func (n *Node) resetQuarantine(now time.Time, records []Record) {
	for _, record := range records {
		n.applyQuarantine(now, 0, record)
	}
}

// TellQuarantine applies updates that couldn't be written to the store.
func (r *Relay) TellQuarantine(updates []model.Rumour, _ *Empty) error {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, update := range updates {
		n.applyUpdate(time.Now(), update)
	}
	return nil
}

// trimQuarantine deletes the records that have expired from the store.
func (n *Node) trimQuarantine(ctx context.Context) {
	n.mu.Lock()
	var records []Record
	for key, expiry := range n.crashes.expiries {
		if time.Since(expiry) > expiredRecordMargin {
			records = append(records, Record{Key: key})
		}
	}
	n.mu.Unlock()
	if len(records) > 0 {
		_ = n.appendQuarantine(ctx, records) // it is logged, and trimmed again later
	}
}

// formatFingerprint returns a fingerprint as jujubectl prints it.
func formatFingerprint(f model.Fingerprint) string { return fmt.Sprintf("0x%016x", uint64(f)) }

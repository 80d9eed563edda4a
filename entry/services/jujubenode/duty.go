package jujubenode

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/core/services/jujubeduty"
	"jujubepier.example/core/services/jujubelease"
	"jujubepier.example/core/services/jujubeusage"
)

const (
	// dutyInterval is the time between two looks for duty calls that are due.
	dutyInterval = 50 * time.Millisecond
	// dutyCallTimeout bounds a duty call. A call isn't sent any more after it, and the platform may execute it later.
	dutyCallTimeout = time.Second
	// defaultDutiesPerSecond is used if the rate limit isn't set: far below any limit, and enough for the reports.
	defaultDutiesPerSecond = 10
)

// DutyCall identifies the holder of the duties in a call.
type DutyCall struct {
	Holder model.InstanceID
	Token  jujubeduty.Token
}

// PlatformCaller makes the duty calls to the platform's API. The calls go out directly from this machine, each one at most once, and
// are sent only if the context's jujubehttp.SendCheck allows it.
type PlatformCaller interface {
	ReportUsage(ctx context.Context, call DutyCall, report jujubeusage.Report) (jujubeduty.Outcome, error)
	OrderServers(ctx context.Context, call DutyCall, order jujubeduty.ServerOrder) (jujubeduty.Outcome, error)
	// Connect opens a connection to the API and closes it.
	Connect(ctx context.Context) error
}

// duties is the node's part in the duties towards the platform; nil where none is set.
type duties struct {
	caller PlatformCaller
	// gate and usage are guarded by the node's lock.
	gate *jujubeduty.Gate
	// lastReason is the reason of the gate's last decision, for the log.
	lastReason jujubeduty.Reason
	// usage is nil unless the reports of usage are a duty.
	usage *usage
}

// newDuties returns nil without a duty or without a platform's API.
func newDuties(options Options, incarnation model.Incarnation) *duties {
	settings := options.Settings
	if options.PlatformCaller == nil || len(settings.Duties) == 0 {
		return nil
	}
	perSecond := settings.DutiesPerSecond
	if perSecond <= 0 {
		perSecond = defaultDutiesPerSecond
	}
	d := &duties{caller: options.PlatformCaller, gate: jujubeduty.NewGate(options.Identity.Instance, incarnation, jujubeduty.Settings{
		HandOverWait: max(settings.LeaseTime, dutyCallTimeout+leaseMargin), RenewalValidity: leaseTTL - leaseMargin, PerSecond: perSecond,
	})}
	if slices.Contains(settings.Duties, jujubeduty.UsageReport) && settings.UsageWindow > 0 {
		d.usage = newUsage(jujubeusage.Settings{Length: settings.UsageWindow, Late: settings.UsageLate})
	}
	return d
}

// observeLease has to be called after each record of the lease's topic; the node's lock is held.
func (d *duties) observeLease(now time.Time, state jujubelease.State) {
	if d != nil {
		d.gate.ObserveLease(now, state)
	}
}

// decideDuty returns whether this instance may make duty calls now; the lock is held.
func (n *Node) decideDuty(now time.Time) jujubeduty.Decision {
	return n.duties.gate.Decide(now, jujubeclock.Now(), n.lease.State(now))
}

// startDuties starts the goroutines of the duties, if there are any.
func (n *Node) startDuties(ctx context.Context) {
	if n.duties != nil {
		n.tomb.Go(func() error { return n.runDuties(ctx) })
	}
	if n.usage() != nil {
		n.tomb.Go(func() error { return n.fixReports(ctx) })
	}
}

// runDuties makes the duty calls until the context ends.
func (n *Node) runDuties(ctx context.Context) error {
	for ctx.Err() == nil {
		n.mu.Lock()
		n.watchGate(time.Now())
		n.mu.Unlock()
		if n.duties.usage != nil {
			n.sendReport(ctx)
		}
		n.yieldDuties(ctx)
		sleep(ctx, dutyInterval)
	}
	return nil
}

// watchGate logs when this instance may make duty calls and when it no longer may; the lock is held.
func (n *Node) watchGate(now time.Time) {
	decision := n.decideDuty(now)
	if decision.Reason == n.duties.lastReason {
		return
	}
	n.duties.lastReason = decision.Reason
	n.log.Write(jujubeevent.DutyChanged, func() logrus.Fields {
		return logrus.Fields{"Allowed": decision.Allowed(), "Reason": decision.Reason, "Token": decision.Token}
	})
}

// callPlatform makes a duty call if this instance may make one now. It returns false if it made none. The outcome Fenced ends the
// holding of the lease if the duty's calls are fenced because of their token only.
func (n *Node) callPlatform(ctx context.Context, duty jujubeduty.Duty, subject string, call func(context.Context, DutyCall) (jujubeduty.Outcome, error)) (jujubeduty.Outcome, bool) {
	n.mu.Lock()
	startedAt := time.Now()
	decision := n.decideDuty(startedAt)
	permitted := decision.Allowed() && n.duties.gate.TryBegin(startedAt)
	n.mu.Unlock()
	if !permitted {
		return "", false
	}
	callCtx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	// The connection may have taken a while to open, and the machine may have been suspended meanwhile.
	withdrawn := false
	callCtx = jujubehttp.WithSendCheck(callCtx, func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		withdrawn = n.decideDuty(time.Now()) != decision
		return !withdrawn
	})
	outcome, err := call(callCtx, DutyCall{Holder: n.identity.Instance, Token: decision.Token})
	n.mu.Lock()
	defer n.mu.Unlock()
	if withdrawn && outcome == jujubeduty.Unsent {
		outcome = jujubeduty.Withdrawn
	}
	n.metrics.countDuty(duty, outcome)
	// An order of servers is also refused in this way when there are none.
	fenced := outcome == jujubeduty.Fenced && duty == jujubeduty.UsageReport
	n.duties.gate.End(time.Now(), decision.Token, outcome, fenced)
	if fenced {
		n.lease.InvalidateFence(int64(decision.Token) - 1)
	}
	n.log.Write(jujubeevent.DutyCalled, func() logrus.Fields {
		return logrus.Fields{
			"Duty": duty, "Subject": subject, "Token": decision.Token, "Outcome": outcome, "Took": time.Since(startedAt).String(), "Error": errorText(err),
		}
	})
	return outcome, true
}

package jujubenode

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubedesired"
	"jujubepier.example/core/services/jujubeorganisation"
)

// Credentials are what a request carries to authenticate itself.
type Credentials struct {
	// Authorization holds all values of the header of that name.
	Authorization []string
	// Route is the request's, and Host and Path those by which it was matched; all are empty for calls about a submission.
	Route      *jujubedesired.Route
	Host, Path string
}

// Access is what the credentials of a request allow. The zero value is that of a desired state without organisations.
type Access struct {
	// Enforced is true if the desired state has organisations.
	Enforced bool
	// Organisation is that of the key; empty for a request on a public route and without organisations.
	Organisation model.OrganisationName
	// Level orders waiting requests: the organisation's priority or, failing that, the route's; 0 is the highest.
	Level int
}

// allowsSubmission reports whether a request may read, end or repeat a submission of an organisation; empty for none.
func (a Access) allowsSubmission(organisation model.OrganisationName) bool {
	return !a.Enforced || organisation == "" || organisation == a.Organisation
}

// ErrUnauthenticated is returned for a request without a known key.
type ErrUnauthenticated struct {
	Problem jujubeorganisation.Problem
}

// Error returns the problem. It doesn't contain what the request carried.
func (e ErrUnauthenticated) Error() string { return "authenticate: " + string(e.Problem) }

// Authenticate returns what a request may do. The result remains valid for the request, whatever changes afterwards. It returns
// ErrUnauthenticated for a key that isn't known, and a refusal if the desired state was read too long ago to tell, or a version of it may have been missed. While the desired
// state has no organisations, every request may do everything, but with a bound on revocations one that carries a key is refused likewise.
func (n *Node) Authenticate(ctx context.Context, credentials Credentials) (Access, error) {
	var timer *time.Timer
	for mayWait := true; ; {
		n.mu.Lock()
		if n.desired == nil || n.desiredFollower == nil {
			n.mu.Unlock()
			return Access{}, refusal(jujubeerror.CodeNotReady, "the desired state hasn't been read yet")
		}
		desired, changedCh := n.desired, n.desiredFollower.readCh
		view := jujubeorganisation.View{
			Directory: desired.Organisations, Read: n.desiredFollower.viewTime, IsUncertain: n.desiredDoubt.isUncertain,
		}
		now := n.bootClock()
		n.mu.Unlock()
		level := 0
		if view.Directory != nil {
			var isPublic bool
			if isPublic, level = credentials.matchRoute(desired); isPublic {
				return Access{Enforced: true, Level: level}, nil
			}
		}
		verdict := view.Decide(now, credentials.Authorization, n.settings.RevokeTime, mayWait)
		if verdict.Decision == jujubeorganisation.Accept && view.Directory == nil {
			return credentials.unrestricted(), nil
		}
		if verdict.Decision != jujubeorganisation.Wait {
			return n.access(verdict, desired, level)
		}
		n.refreshDesired()
		if timer == nil {
			timer = time.NewTimer(maxDesiredWait)
			defer timer.Stop()
		}
		select {
		case <-changedCh:
		case <-timer.C:
			mayWait = false
		case <-ctx.Done():
			mayWait = false
		}
	}
}

// minRefreshInterval bounds the reads of the desired state because of requests that can't be decided on. One takes 4 ms, or 250 ms when
// the store is slow.
const minRefreshInterval = 250 * time.Millisecond

// refreshDesired begins to read the desired state at once. The reader's own next read may be asked for only after its interval, and waits
// for records; after a suspension of the machine that would take longer than requests may wait.
func (n *Node) refreshDesired() {
	n.mu.Lock()
	f, now := n.desiredFollower, n.bootClock()
	isDue := now.Sub(n.desiredRefreshedAt) >= minRefreshInterval
	if isDue {
		n.desiredRefreshedAt = now
	}
	n.mu.Unlock()
	if isDue {
		n.tomb.Go(func() error { f.refresh(n.tomb.Context(nil)); return nil })
	}
}

// unrestricted returns the access of a request while there are no organisations.
func (c *Credentials) unrestricted() Access {
	if c.Route == nil {
		return Access{}
	}
	return Access{Level: c.Route.Priority}
}

// matchRoute reports whether the request's route is public, and returns its priority. The route was matched earlier, so it must be
// public still.
func (c *Credentials) matchRoute(desired *jujubedesired.State) (isPublic bool, level int) {
	if c.Route == nil {
		return false, 0
	}
	if current, ok := desired.Match(c.Host, c.Path); ok {
		return c.Route.Public && current.Public, current.Priority
	}
	return c.Route.Public, c.Route.Priority
}

// access logs and counts a verdict, and returns what it allows.
func (n *Node) access(verdict jujubeorganisation.Verdict, desired *jujubedesired.State, level int) (Access, error) {
	n.metrics.countAuthentication(verdict)
	event := jujubeevent.RequestAuthenticated
	switch verdict.Decision {
	case jujubeorganisation.Deny:
		event = jujubeevent.RequestDenied
	case jujubeorganisation.Refuse:
		event = jujubeevent.AuthenticationFailed
	}
	n.log.Write(event, func() logrus.Fields {
		return logrus.Fields{
			"Organisation": verdict.Organisation.Name, "Problem": verdict.Problem, "Revision": desired.Version, "Age": verdict.Age.String(),
			"RevokeTime": n.settings.RevokeTime.String(),
		}
	})
	switch verdict.Decision {
	case jujubeorganisation.Accept:
		if verdict.Organisation.HasPriority {
			level = verdict.Organisation.Priority
		}
		return Access{Enforced: true, Organisation: verdict.Organisation.Name, Level: level}, nil
	case jujubeorganisation.Deny:
		return Access{}, ErrUnauthenticated{Problem: verdict.Problem}
	}
	return Access{}, refusal(jujubeerror.CodeNotReady, "the desired state hasn't been read lately")
}

// AuthenticateSubmission returns what a request about a submission may do: one with a key may use the submissions of its organisation and
// those without one, and a request without a known key only those that were accepted on a public route. It returns ErrUnknownSubmission
// for a submission that doesn't exist or is another organisation's.
func (n *Node) AuthenticateSubmission(ctx context.Context, id jujubebatch.SubmissionID, authorization []string) error {
	if n.isPublicSubmission(id) {
		return nil
	}
	access, err := n.Authenticate(ctx, Credentials{Authorization: authorization})
	isDenied := errors.As(err, new(ErrUnauthenticated))
	switch {
	case err == nil && !access.Enforced:
		return nil
	case err != nil && !(isDenied && n.hasPublicRollout()):
		return err
	}
	if knownErr := n.ensureKnown(ctx, id); knownErr != nil {
		if err != nil && errors.As(knownErr, new(ErrUnknownSubmission)) {
			return err
		}
		return knownErr
	}
	if err != nil && n.isPublicSubmission(id) {
		return nil // its record has been read only now
	}
	if err != nil {
		return err
	}
	n.mu.Lock()
	origin, _ := n.scheduler.Origin(id)
	n.mu.Unlock()
	if !access.allowsSubmission(origin.Organisation) {
		n.logForeign(id, access)
		return ErrUnknownSubmission{ID: id}
	}
	return nil
}

// isPublicSubmission reports whether a submission is known, has no organisation, and came over a route that is public still.
func (n *Node) isPublicSubmission(id jujubebatch.SubmissionID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	origin, ok := n.scheduler.Origin(id)
	if !ok || origin.Organisation != "" || n.desired == nil || n.desired.Organisations == nil {
		return false
	}
	route, ok := n.desired.Match(origin.Host, origin.Path)
	return ok && route.Public
}

// hasPublicRollout reports whether there may be submissions that need no key.
func (n *Node) hasPublicRollout() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range n.desired.Routes {
		if n.desired.Routes[i].Public && n.desired.Routes[i].Kind == jujubedesired.Rollout {
			return true
		}
	}
	return false
}

// hasOrganisations reports whether the desired state has organisations.
func (n *Node) hasOrganisations() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.desired != nil && n.desired.Organisations != nil
}

// setHolding makes plain requests wait in the router while servers have waiting ones, if there are organisations: only there they wait by
// the priority of their organisations, and in turn. The lock is held.
func (n *Node) setHolding() {
	members := 0
	if n.desired != nil && n.desired.Organisations != nil {
		members = max(1, len(n.liveInstances))
	}
	n.router.SetHolding(members)
}

// checkItems returns ErrUnauthenticated if a submission without an organisation has items on routes that need a key.
func (n *Node) checkItems(access Access, submission *jujubebatch.Submission) error {
	if !access.Enforced || access.Organisation != "" {
		return nil
	}
	n.mu.Lock()
	desired := n.desired
	n.mu.Unlock()
	for i := range submission.Items {
		if route, ok := desired.Match(submission.Host, submission.Items[i].Path); ok && !route.Public {
			return ErrUnauthenticated{Problem: jujubeorganisation.KeyMissing}
		}
	}
	return nil
}

func (n *Node) logForeign(id jujubebatch.SubmissionID, access Access) {
	n.log.Write(jujubeevent.SubmissionForeign, func() logrus.Fields {
		return logrus.Fields{"Submission": id, "Organisation": access.Organisation}
	})
}

package jujubenode

import (
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubedesired"
)

// SetDesired applies a newer desired state, and reports whether it is one. It is called from a feed, with the node's lock held.
func (n *Node) SetDesired(now time.Time, state *jujubedesired.State) (isNewer bool) {
	if n.desired != nil && state.Version <= n.desired.Version {
		n.desiredDoubt.isConfirmed = n.desiredDoubt.isConfirmed || state.Version == n.desired.Version
		return false
	}
	n.desired = state
	n.desiredDoubt.isConfirmed, n.desiredDoubt.isUncertain = true, false
	n.scheduler.SetDesired(state)
	singleVersion, routed := false, map[model.ServiceName]bool{}
	for i := range state.Routes {
		singleVersion = singleVersion || state.Routes[i].SingleVersion
		for _, target := range state.Routes[i].Targets {
			routed[target.Service] = true
		}
	}
	n.fleet.SetSingleVersion(singleVersion)
	n.fleet.SetRoutedServices(routed)
	n.putWaitingEntries(now)
	n.log.Write(jujubeevent.ConfigApplied, func() logrus.Fields {
		return logrus.Fields{"Revision": state.Version, "Routes": len(state.Routes), "Services": len(state.Services)}
	})
	return true
}

// SetTargetVersion records a model's newest weight version. It is called from a feed, with the node's lock held.
func (n *Node) SetTargetVersion(_ time.Time, name model.ModelName, version model.WeightVersion) {
	if n.fleet.SetTargetVersion(name, version) {
		n.log.Write(jujubeevent.WeightsAnnounced, func() logrus.Fields {
			return logrus.Fields{"Model": name, "Version": version}
		})
	}
}

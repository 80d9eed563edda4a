package jujuberegistry

import (
	"slices"

	model "jujubepier.example/core/models/jujubemodel"
)

// RelayGroupSize is the size of the groups in which one instance, the relay, reads the platform's log for the others. With 372
// instances, 47 read the log, and each sends seven others the 0.35 MB/s that 600 endpoints and all instances write. That is
// 20 Mbit/s of a link of 140 Mbit/s.
const RelayGroupSize = 8

// RelayOf returns the relay that reads the log for an instance. It returns false if the instance reads the log itself. The
// ready instances of a data centre are grouped in the order of their names, and the first one of each group is its relay.
// live must be sorted by name, as returned by Registry.Live.
func RelayOf(live []Heartbeat, self model.InstanceID) (relay Heartbeat, ok bool) {
	index := slices.IndexFunc(live, func(instance Heartbeat) bool { return instance.Instance == self })
	if index < 0 || live[index].State != Ready {
		return Heartbeat{}, false
	}
	var group []Heartbeat
	for _, instance := range live {
		if instance.State != Ready || instance.DataCentre != live[index].DataCentre {
			continue
		}
		if len(group) == RelayGroupSize {
			group = nil
		}
		group = append(group, instance)
		if instance.Instance == self && len(group) > 1 {
			return group[0], true
		}
	}
	return Heartbeat{}, false
}

package jujubecore

import (
	"slices"

	model "jujubepier.example/core/models/jujubemodel"
)

const (
	// followAll is the number of instances up to which all follow the log.
	followAll = 16
	// followersPerDC are enough that one is left in each data centre when another restarts.
	followersPerDC = 2
)

// followers returns the instances that read the log continuously: all while they are few, and otherwise two in each data
// centre and the candidates for the lease, so that the reads of the log don't grow with the instances.
func (c *Core) followers() []model.Member {
	live := c.members.Live()
	if len(live) <= followAll {
		return live
	}
	var followers []model.Member
	counts := make(map[model.DataCentre]int)
	for rank, member := range live {
		if rank < leaseCandidates || counts[member.DataCentre] < followersPerDC {
			followers = append(followers, member)
		}
		counts[member.DataCentre]++
	}
	return followers
}

// IsFollowing tells whether this instance reads the log continuously.
func (c *Core) IsFollowing() bool {
	return slices.ContainsFunc(c.followers(), func(member model.Member) bool { return member.ID == c.self.ID })
}

package jujubecore

import (
	"slices"

	model "jujubepier.example/core/models/jujubemodel"
)

const (
	// followAllLimit is the highest number of live instances at which all of them follow the log.
	followAllLimit = 16
	// followersPerDC leaves one follower in each data centre while another restarts.
	followersPerDC = 2
)

// followers returns the instances that read the log continuously: all up to followAllLimit, otherwise two in each data centre
// and the lease candidates, so that the read load on the log doesn't grow with the number of instances.
func (c *Core) followers() []model.Member {
	live := c.members.Live()
	if len(live) <= followAllLimit {
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

// IsFollowing reports whether this instance reads the log continuously.
func (c *Core) IsFollowing() bool {
	return slices.ContainsFunc(c.followers(), func(member model.Member) bool { return member.ID == c.self.ID })
}

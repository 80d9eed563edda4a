package jujubenode

import (
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubethrottle"
)

// NamedRate is what an endpoint's response says about the rate of requests that it accepts from all instances together.
type NamedRate struct {
	// Limited is false if the response names no rate.
	Limited   bool
	PerSecond float64
	// Malformed is the error of a rate that can't be decoded; nil for none.
	Malformed error
}

// ObserveRate records the rate that an endpoint named in a response. A malformed rate has no effect.
func (n *Node) ObserveRate(id model.EndpointID, incarnation model.Incarnation, rate NamedRate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if rate.Malformed != nil {
		n.metrics.countMalformedRate()
		n.log.Write(jujubeevent.RateUnusable, func() logrus.Fields {
			return logrus.Fields{"Endpoint": id, "Error": rate.Malformed.Error()}
		})
		return
	}
	if n.endpointIncarnation(id) != incarnation {
		return
	}
	notice := jujubethrottle.Notice{Endpoint: id, Limited: rate.Limited, PerSecond: rate.PerSecond}
	if n.throttle.Apply(time.Now(), incarnation, notice) {
		n.logRate(notice, "Response")
	}
}

// logRate logs a changed rate of an endpoint and where this instance learned of it.
func (n *Node) logRate(notice jujubethrottle.Notice, source string) {
	n.log.Write(jujubeevent.EndpointLimited, func() logrus.Fields {
		return logrus.Fields{
			"Endpoint": notice.Endpoint, "Limited": notice.Limited, "PerSecond": notice.PerSecond, "Age": notice.Age.Std().String(),
			"Source": source,
		}
	})
}

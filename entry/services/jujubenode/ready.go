package jujubenode

import (
	"time"

	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujuberegistry"
)

// updateReady marks the instance as ready once all topics have been read up to their ends and a desired state has been
// read.
func (n *Node) updateReady(now time.Time) {
	if n.ready || n.desired == nil || n.state != jujuberegistry.Starting {
		return
	}
	for _, f := range n.followers {
		if f.caughtUpAt.IsZero() {
			return
		}
	}
	n.ready, n.state = true, jujuberegistry.Ready
	n.requestHeartbeat()
	n.log.Write(jujubeevent.InstanceReady, func() logrus.Fields {
		reads, records, bytes := 0, 0, 0
		for _, f := range n.followers {
			reads, records, bytes = reads+f.reads, records+f.records, bytes+f.bytes
		}
		return logrus.Fields{
			"Instance": n.identity.Instance, "Revision": n.desired.Version, "Reads": reads, "Records": records, "Bytes": bytes,
			"After": now.Sub(n.started).String(),
		}
	})
}

// IsReady reports whether callers may be sent to this instance.
func (n *Node) IsReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready && n.state == jujuberegistry.Ready
}

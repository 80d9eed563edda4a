package jujubenode

import (
	"time"

	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/modules/jujubeevent"
)

// maxPause is the time between two ticks from which on the process counts as having been paused.
const maxPause = time.Second

// pauseDetector notices that the process was paused or that its machine was suspended. Until the log has been read again since then,
// nothing starts: submissions may have ended meanwhile.
type pauseDetector struct {
	// lastTick is the time of the last tick. The monotonic clock in it stops while the machine is suspended, that of lastBootTick
	// doesn't.
	lastTick     time.Time
	lastBootTick jujubeclock.Instant
	// resumedAt is the time of the last tick after a pause.
	resumedAt time.Time
}

// recordTick records a tick.
func (d *pauseDetector) recordTick(now time.Time, boot jujubeclock.Instant) {
	if d.isLate(now, boot) {
		d.resumedAt = now
	}
	d.lastTick, d.lastBootTick = now, boot
}

// isLate reports whether the last tick is so long ago that the process must have been paused.
func (d *pauseDetector) isLate(now time.Time, boot jujubeclock.Instant) bool {
	return now.Sub(d.lastTick) > maxPause || boot.Sub(d.lastBootTick) > maxPause
}

// recordTick records a tick, and logs a pause before it. The lock is held.
func (n *Node) recordTick(now time.Time) {
	lastTick := n.pauses.lastTick
	n.pauses.recordTick(now, n.bootClock())
	if !lastTick.IsZero() && n.pauses.resumedAt.Equal(now) {
		n.log.Write(jujubeevent.InstancePaused, func() logrus.Fields { return logrus.Fields{"SinceTick": now.Sub(lastTick).String()} })
	}
}

// wasPausedSince reports whether the process was paused after a time.
func (n *Node) wasPausedSince(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pauses.resumedAt.After(at) || n.pauses.isLate(time.Now(), n.bootClock())
}
